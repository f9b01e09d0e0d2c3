/// Which of the candidates gets an attempt: the cheapest of a few drawn at random, by latency, load and zone.
/// Pure: times are steady nanoseconds, chance comes in as an argument. One thread, its owner's.
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
    /// A host's word on its load: requests that it runs, and that wait there.
    void onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now);
    /// Two drawn of the own zone and one elsewhere (two where the own zone has none); a host that is backed
    /// off only where there is no other. Null where there are no candidates.
    std::shared_ptr<UpstreamHost> select(const Candidates& candidates, Nanos now,
                                         std::mt19937_64& chance) const;

  private:
    double cost(const UpstreamHost& host, Nanos now) const;
    double excessWaitOfOwnZone(const std::string& service) const;

    std::string ownZone_;
    std::map<std::pair<std::string, std::string>, double>
        usualWaits_;  // by service and zone, in usual answers
};

}  // namespace lichenlanding::routing
