/// Decides when to send a hedged request beside one in flight, by the typical latency of the route.
///
/// Pure: times are steady nanoseconds. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "config/configuration.hpp"

namespace lichenlanding::routing {

class HedgePolicy {
  public:
    /// When a hedged request is due for a request sent at `sentAt`; `deadline` if the route is not
    /// idempotent. Never after `deadline`.
    Nanos hedgeAt(const config::Route& route, Nanos deadline, Nanos sentAt) const;
    /// When to check again after a hedged request was due but could not be sent.
    Nanos nextCheckAt(const config::Route& route, Nanos deadline, Nanos now) const;
    /// Adds the latency of a success to the route's typical latency. Returns its ratio to the typical latency
    /// before.
    double record(const config::Route& route, Nanos elapsed);
    /// The ratio of `elapsed` to the route's typical latency.
    double ratioToTypical(const config::Route& route, Nanos elapsed) const;

  private:
    double typicalLatency(const config::Route& route) const;

    std::map<std::string, double> typicalLatencies_;  // by route; nanoseconds
};

}  // namespace lichenlanding::routing
