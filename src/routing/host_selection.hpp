/// Selects the host for an attempt: the cheapest of a few random candidates, by latency, load and zone.
///
/// Pure: times are steady nanoseconds; the random generator is an argument. Not thread-safe.
#pragma once

#include <map>
#include <random>
#include <string>

#include "routing/upstream_host.hpp"

namespace lichenlanding::routing {

class HostSelection {
  public:
    explicit HostSelection(std::string ownZone) : ownZone_(std::move(ownZone)) {}

    const std::string& ownZone() const { return ownZone_; }
    /// Records a host's load report: the requests that it executes and those that wait there.
    void onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now);
    /// The cheapest of two random hosts of this proxy's zone and one of other zones (two if its own zone has
    /// none). Hosts in backoff are considered only if there are no others. Null without candidates.
    std::shared_ptr<UpstreamHost> select(const Candidates& candidates, Nanos now,
                                         std::mt19937_64& random) const;

  private:
    double cost(const UpstreamHost& host, Nanos now) const;
    double excessWaitOfOwnZone(const std::string& service) const;

    std::string ownZone_;
    std::map<std::pair<std::string, std::string>, double>
        typicalWaits_;  // queueing wait by service and zone, in multiples of the typical latency
};

}  // namespace lichenlanding::routing
