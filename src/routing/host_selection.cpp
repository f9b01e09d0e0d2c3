#include "routing/host_selection.hpp"

#include <algorithm>
#include <cmath>

namespace lichenlanding::routing {
namespace {

constexpr double kMillisecond = 1e6;
constexpr double kOtherZoneCost = 0.5;  // what a host in another zone costs more, in usual answers
constexpr double kSlowStartFactor = 2;  // a host in slow start is so much slower
constexpr double kReportFadesOver = 400 * kMillisecond;
constexpr double kLoadWeight = 0.15;  // of each request at a host, against its slots
// A difference between zones that moves nothing to another zone: bytes between zones are priced.
constexpr double kZoneWaitTolerance = 0.3;
constexpr std::size_t kSubsetLeft = 6;    // available hosts of the subset; with fewer, others of the zone
constexpr double kZoneWaitWeight = 0.03;  // of the newest report in its zone's usual wait

double slotsOf(const UpstreamHost& host) { return std::max(host.endpoint.slots, 1); }

// How long one more request waits at a host with `load` requests, in usual answers.
double queueingWait(double load, double slots) { return std::max(0.0, load + 1 - slots) / slots; }

}  // namespace

void HostSelection::onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now) {
    host.reportedLoad = running + waiting;
    host.inFlightAtReport = host.inFlight;
    host.reportedAt = now;
    const double wait = queueingWait(running + waiting, slotsOf(host));
    const auto zone = std::make_pair(host.endpoint.service, host.endpoint.zone);
    auto& usual = usualWaits_.try_emplace(zone, wait).first->second;
    usual += kZoneWaitWeight * (wait - usual);
}

// By how much longer hosts of the own zone have made requests wait than those of the quietest other one.
double HostSelection::excessWaitOfOwnZone(const std::string& service) const {
    const auto own = usualWaits_.find({service, ownZone_});
    if (own == usualWaits_.end()) return 0;
    double least = own->second;
    for (auto at = usualWaits_.lower_bound({service, ""});
         at != usualWaits_.end() && at->first.first == service; ++at)
        least = std::min(least, at->second);
    return std::max(0.0, own->second - least - kZoneWaitTolerance);
}

double HostSelection::cost(const UpstreamHost& host, Nanos now) const {
    const double slots = slotsOf(host);
    // A host's last report fades; then what hosts of its zone have reported of late stands for it. One proxy
    // of many hears of a host every few seconds at best, and would take its own full zone for an empty one.
    const double fresh =
        host.reportedAt == 0 ? 0 : std::exp(-static_cast<double>(now - host.reportedAt) / kReportFadesOver);
    const bool ownZone = host.endpoint.zone == ownZone_;
    const double zoneWait = ownZone ? excessWaitOfOwnZone(host.endpoint.service) : 0;
    const double load = host.inFlight + fresh * std::max(0, host.reportedLoad - host.inFlightAtReport);
    const double wait = queueingWait(load, slots) + kLoadWeight * load / slots;
    const double latency = host.relativeLatency * (now < host.slowStartUntil ? kSlowStartFactor : 1);
    return latency * (1 + wait + (1 - fresh) * zoneWait) + (ownZone ? 0 : kOtherZoneCost);
}

std::shared_ptr<UpstreamHost> HostSelection::select(const Candidates& candidates, Nanos now,
                                                    std::mt19937_64& chance) const {
    std::shared_ptr<UpstreamHost> best;
    double leastCost = 0;
    const auto draw = [&](const HostRefs& hosts, int draws) {
        for (int drawn = 0; drawn < draws && !hosts.empty(); ++drawn) {
            const auto& host = *hosts[chance() % hosts.size()];
            const double hostCost = cost(*host, now);
            if (best && hostCost >= leastCost) continue;
            best = host;
            leastCost = hostCost;
        }
    };
    const auto& ownZone = candidates.ownZone.size() >= kSubsetLeft || candidates.ownZoneRest.empty()
                              ? candidates.ownZone
                              : candidates.ownZoneRest;
    draw(ownZone, 2);
    draw(candidates.otherZones, ownZone.empty() ? 2 : 1);
    if (!best) draw(candidates.backedOff, 2);
    return best;
}

}  // namespace lichenlanding::routing
