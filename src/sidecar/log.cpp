#include "sidecar/log.hpp"

#include <array>
#include <chrono>
#include <cstdio>

namespace lichenlanding::net {
namespace {

constexpr const char* names[] = {"start", "stop", "ready",    "discovery", "platform", "vote",  "client",
                                 "pod",   "peer", "overload", "failure",   "metadata", "memory"};
static_assert(std::size(names) == static_cast<std::size_t>(Kind::count));

// Ten lines at once and one more a second; what was held back is told with the next line of the kind.
struct Allowance {
    double left = 10;
    std::chrono::steady_clock::time_point filled = std::chrono::steady_clock::now();
    int held = 0;
};

}  // namespace

void log(Kind kind, const std::string& text) {
    static std::array<Allowance, std::size(names)> allowances;
    auto& allowance = allowances[static_cast<std::size_t>(kind)];
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> since = now - allowance.filled;
    allowance.left = std::min(10.0, allowance.left + since.count());
    allowance.filled = now;
    if (allowance.left < 1) {
        ++allowance.held;
        return;
    }
    --allowance.left;
    const std::chrono::duration<double> clock = std::chrono::system_clock::now().time_since_epoch();
    const auto held = allowance.held > 0 ? " (" + std::to_string(allowance.held) + " more held back)" : "";
    std::fprintf(stderr, "%.3f %s: %s%s\n", clock.count(), names[static_cast<std::size_t>(kind)],
                 text.c_str(), held.c_str());
    allowance.held = 0;
}

}  // namespace lichenlanding::net
