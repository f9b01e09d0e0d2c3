#include "transport/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

namespace lichenlanding::transport {
namespace {

struct Allowance {
    double left = 10;
    std::chrono::steady_clock::time_point filled = std::chrono::steady_clock::now();
    int held = 0;
};

std::string node;

}  // namespace

void openLog(const std::string& name) {
    node = name;
    auto logger = spdlog::stderr_logger_st("lichenlanding");
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void log(const char* event, nlohmann::json about) {
    static std::map<std::string, Allowance> allowances;
    auto& allowance = allowances[event];
    const auto now = std::chrono::steady_clock::now();
    allowance.left =
        std::min(10.0, allowance.left + std::chrono::duration<double>(now - allowance.filled).count());
    allowance.filled = now;
    if (allowance.left < 1) {
        ++allowance.held;
        return;
    }
    --allowance.left;
    about["event"] = event, about["node"] = node;
    const std::chrono::duration<double> clock = std::chrono::system_clock::now().time_since_epoch();
    about["at"] = std::round(clock.count() * 1000) / 1000;
    if (allowance.held > 0) about["held_back"] = std::exchange(allowance.held, 0);
    spdlog::info("{}", about.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace lichenlanding::transport
