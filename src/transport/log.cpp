#include "transport/log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>

#include "transport/stderr_sink.hpp"

namespace lichenlanding::transport {
namespace {

// Token bucket of one event.
struct RateLimit {
    double tokens = 10;
    std::chrono::steady_clock::time_point refilledAt = std::chrono::steady_clock::now();
    int suppressed = 0;
};

std::string ownNodeName;
std::shared_ptr<StderrSink> stderrSink;  // null before openLog()

}  // namespace

void openLog(const std::string& nodeName) {
    ownNodeName = nodeName;
    stderrSink = std::make_shared<StderrSink>();
    auto logger = std::make_shared<spdlog::logger>("lichenlanding", stderrSink);
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void log(const char* event, nlohmann::json fields) {
    static std::map<std::string, RateLimit> rateLimits;
    auto& limit = rateLimits[event];
    const auto now = std::chrono::steady_clock::now();
    limit.tokens =
        std::min(10.0, limit.tokens + std::chrono::duration<double>(now - limit.refilledAt).count());
    limit.refilledAt = now;
    if (limit.tokens < 1) {
        ++limit.suppressed;
        return;
    }
    --limit.tokens;
    fields["event"] = event;
    fields["node"] = ownNodeName;
    const std::chrono::duration<double> clock = std::chrono::system_clock::now().time_since_epoch();
    fields["at"] = std::round(clock.count() * 1000) / 1000;
    if (limit.suppressed > 0) fields["held_back"] = std::exchange(limit.suppressed, 0);
    if (const auto dropped = stderrSink ? stderrSink->takeDroppedLines() : 0; dropped > 0)
        fields["dropped_lines"] = dropped;
    spdlog::info("{}", fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace lichenlanding::transport
