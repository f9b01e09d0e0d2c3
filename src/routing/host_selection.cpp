#include "routing/host_selection.hpp"

#include <algorithm>
#include <cmath>

namespace lichenlanding::routing {
namespace {

constexpr double kMillisecond = 1e6;
constexpr double kOtherZoneCost = 0.5;         // extra cost of a host in another zone, in typical latencies
constexpr double kSlowStartLatencyFactor = 2;  // latency factor of a host in slow start
constexpr double kReportDecayTime = 400 * kMillisecond;
constexpr double kLoadWeight = 0.15;  // cost of each request at a host, relative to its slots
// A smaller difference in wait moves no traffic to another zone: traffic between zones costs money.
constexpr double kZoneWaitTolerance = 0.3;
// With fewer available hosts in the subset, use the zone's other hosts.
constexpr std::size_t kMinSubsetHosts = 6;
constexpr double kZoneWaitWeight = 0.03;  // of the newest load report in its zone's moving average

double slotsOf(const UpstreamHost& host) { return std::max(host.endpoint.slots, 1); }

// The queueing wait of one more request at a host with `load` requests, in typical latencies.
double queueingWait(double load, double slots) { return std::max(0.0, load + 1 - slots) / slots; }

}  // namespace

void HostSelection::onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now) {
    host.reportedLoad = running + waiting;
    host.inFlightAtReport = host.inFlight;
    host.reportedAt = now;
    const double wait = queueingWait(running + waiting, slotsOf(host));
    const auto zone = std::make_pair(host.endpoint.service, host.endpoint.zone);
    auto& typical = typicalWaits_.try_emplace(zone, wait).first->second;
    typical += kZoneWaitWeight * (wait - typical);
}

// How much longer requests wait in this proxy's zone than in the least loaded zone, beyond the tolerance.
double HostSelection::excessWaitOfOwnZone(const std::string& service) const {
    const auto own = typicalWaits_.find({service, ownZone_});
    if (own == typicalWaits_.end()) return 0;
    double least = own->second;
    for (auto zone = typicalWaits_.lower_bound({service, ""});
         zone != typicalWaits_.end() && zone->first.first == service; ++zone)
        least = std::min(least, zone->second);
    return std::max(0.0, own->second - least - kZoneWaitTolerance);
}

double HostSelection::cost(const UpstreamHost& host, Nanos now) const {
    const double slots = slotsOf(host);
    // The weight of a host's last report decays; the recent average of its zone takes its place. In a large
    // fleet a proxy gets a report from a host every few seconds at best, and would take its own overloaded
    // zone for an idle one.
    const double reportWeight =
        host.reportedAt == 0 ? 0 : std::exp(-static_cast<double>(now - host.reportedAt) / kReportDecayTime);
    const bool inOwnZone = host.endpoint.zone == ownZone_;
    const double zoneWait = inOwnZone ? excessWaitOfOwnZone(host.endpoint.service) : 0;
    const double load = host.inFlight + reportWeight * std::max(0, host.reportedLoad - host.inFlightAtReport);
    const double wait = queueingWait(load, slots) + kLoadWeight * load / slots;
    const double latency = host.relativeLatency * (now < host.slowStartUntil ? kSlowStartLatencyFactor : 1);
    return latency * (1 + wait + (1 - reportWeight) * zoneWait) + (inOwnZone ? 0 : kOtherZoneCost);
}

std::shared_ptr<UpstreamHost> HostSelection::select(const Candidates& candidates, Nanos now,
                                                    std::mt19937_64& random) const {
    std::shared_ptr<UpstreamHost> best;
    double leastCost = 0;
    const auto draw = [&](const HostRefs& hosts, int draws) {
        for (int drawn = 0; drawn < draws && !hosts.empty(); ++drawn) {
            const auto& host = *hosts[random() % hosts.size()];
            const double hostCost = cost(*host, now);
            if (best && hostCost >= leastCost) continue;
            best = host;
            leastCost = hostCost;
        }
    };
    const auto& ownZone = candidates.ownZone.size() >= kMinSubsetHosts || candidates.ownZoneRest.empty()
                              ? candidates.ownZone
                              : candidates.ownZoneRest;
    draw(ownZone, 2);
    draw(candidates.otherZones, ownZone.empty() ? 2 : 1);
    if (!best) draw(candidates.backedOff, 2);
    return best;
}

}  // namespace lichenlanding::routing
