#include "sidecar/log.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <utility>

namespace lichenlanding::sidecar {
namespace {

constexpr const char* kEventNames[] = {"start",   "stop",     "ready", "discovery", "platform",
                                       "vote",    "client",   "pod",   "peer",      "overload",
                                       "failure", "metadata", "memory"};
static_assert(std::size(kEventNames) == static_cast<std::size_t>(LogEvent::count));

constexpr double kBurstLines = 10;  // refilled at one per second

class RateLimit {
  public:
    bool take() {
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> elapsed = now - filledAt_;
        tokens_ = std::min(kBurstLines, tokens_ + elapsed.count());
        filledAt_ = now;
        if (tokens_ < 1) {
            ++suppressed_;
            return false;
        }
        --tokens_;
        return true;
    }
    int takeSuppressed() { return std::exchange(suppressed_, 0); }

  private:
    double tokens_ = kBurstLines;
    std::chrono::steady_clock::time_point filledAt_ = std::chrono::steady_clock::now();
    int suppressed_ = 0;
};

}  // namespace

void log(LogEvent event, const std::string& text) {
    static std::array<RateLimit, std::size(kEventNames)> rateLimits;
    const auto index = static_cast<std::size_t>(event);
    auto& rateLimit = rateLimits[index];
    if (!rateLimit.take()) return;
    const std::chrono::duration<double> unixTime = std::chrono::system_clock::now().time_since_epoch();
    const int suppressed = rateLimit.takeSuppressed();
    const auto suffix = suppressed > 0 ? " (" + std::to_string(suppressed) + " more suppressed)" : "";
    std::fprintf(stderr, "%.3f %s: %s%s\n", unixTime.count(), kEventNames[index], text.c_str(),
                 suffix.c_str());
}

}  // namespace lichenlanding::sidecar
