#include "routing/hedge_policy.hpp"

#include <algorithm>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
// Times the typical latency until a hedged request is due.
constexpr double kHedgeAfterTypicalLatencies = 2.3;
// Or this fraction of the route's target latency, if sooner.
constexpr double kHedgeAfterTargetFraction = 0.6;
constexpr Nanos kMinRecheckDelay = 50 * kMillisecond;  // after a hedged request that could not be sent
constexpr double kLatencyWeight = 0.15;                // of the newest success in the moving average
constexpr double kInitialTargetDivisor = 3;  // typical latency before the first success: target / this

double initialTypicalLatency(const config::Route& route) {
    return static_cast<double>(route.targetLatency) / kInitialTargetDivisor;
}

}  // namespace

Nanos HedgePolicy::hedgeAt(const config::Route& route, Nanos deadline, Nanos sentAt) const {
    if (!route.idempotent) return deadline;
    const auto typical = typicalLatencies_.find(route.name);
    const auto target = static_cast<double>(route.targetLatency);
    const double delay =
        std::min(typical == typicalLatencies_.end() ? target : kHedgeAfterTypicalLatencies * typical->second,
                 kHedgeAfterTargetFraction * target);
    return std::min(deadline, sentAt + static_cast<Nanos>(delay));
}

Nanos HedgePolicy::nextCheckAt(const config::Route& route, Nanos deadline, Nanos now) const {
    if (!route.idempotent) return deadline;
    return std::min(deadline,
                    now + std::max(static_cast<Nanos>(typicalLatency(route) / 2), kMinRecheckDelay));
}

double HedgePolicy::typicalLatency(const config::Route& route) const {
    const auto found = typicalLatencies_.find(route.name);
    return found == typicalLatencies_.end() ? initialTypicalLatency(route) : found->second;
}

double HedgePolicy::ratioToTypical(const config::Route& route, Nanos elapsed) const {
    return static_cast<double>(elapsed) / typicalLatency(route);
}

double HedgePolicy::record(const config::Route& route, Nanos elapsed) {
    auto& typical = typicalLatencies_.try_emplace(route.name, initialTypicalLatency(route)).first->second;
    const double ratio = static_cast<double>(elapsed) / typical;
    typical += kLatencyWeight * (static_cast<double>(elapsed) - typical);
    return ratio;
}

}  // namespace lichenlanding::routing
