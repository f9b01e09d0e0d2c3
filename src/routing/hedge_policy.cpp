#include "routing/hedge_policy.hpp"

#include <algorithm>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr double kAfterUsualTimes = 2.3;             // a hedged request is due after so many usual times
constexpr double kAfterTargetPart = 0.6;             // or so much of the route's target latency
constexpr Nanos kCheckAgainMin = 50 * kMillisecond;  // after a hedged request that was not to be had
constexpr double kUsualWeight = 0.15;                // of the newest answer in the usual time
constexpr double kTargetDivisor = 3;                 // of the target: the usual time before any answer

double initialUsualTime(const config::Route& route) {
    return static_cast<double>(route.targetLatency) / kTargetDivisor;
}

}  // namespace

Nanos HedgePolicy::hedgeAt(const config::Route& route, Nanos deadline, Nanos sentAt) const {
    if (!route.idempotent) return deadline;
    const auto usual = usualTimes_.find(route.name);
    const auto target = static_cast<double>(route.targetLatency);
    const double after = std::min(usual == usualTimes_.end() ? target : kAfterUsualTimes * usual->second,
                                  kAfterTargetPart * target);
    return std::min(deadline, sentAt + static_cast<Nanos>(after));
}

Nanos HedgePolicy::nextCheckAt(const config::Route& route, Nanos deadline, Nanos now) const {
    if (!route.idempotent) return deadline;
    return std::min(deadline, now + std::max(static_cast<Nanos>(usualTime(route) / 2), kCheckAgainMin));
}

double HedgePolicy::usualTime(const config::Route& route) const {
    const auto at = usualTimes_.find(route.name);
    return at == usualTimes_.end() ? initialUsualTime(route) : at->second;
}

double HedgePolicy::ratioToUsual(const config::Route& route, Nanos took) const {
    return static_cast<double>(took) / usualTime(route);
}

double HedgePolicy::record(const config::Route& route, Nanos took) {
    auto& usual = usualTimes_.try_emplace(route.name, initialUsualTime(route)).first->second;
    const double ratio = static_cast<double>(took) / usual;
    usual += kUsualWeight * (static_cast<double>(took) - usual);
    return ratio;
}

}  // namespace lichenlanding::routing
