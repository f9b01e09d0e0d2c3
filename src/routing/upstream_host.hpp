/// A host (pod) as this proxy knows it: its endpoint, load, slow start, backoff and outlier state. Pure:
/// steady time in nanoseconds comes in as an argument. One thread, its owner's.
#pragma once

#include <memory>
#include <vector>

#include "discovery/endpoint_set.hpp"
#include "routing/attempt.hpp"

namespace lichenlanding::routing {

/// Kept until no attempt is in flight at it and it has left the list of endpoints.
struct UpstreamHost {
    discovery::Endpoint endpoint;
    bool gone = false;
    int inFlight = 0;     ///< attempts of this proxy that have not ended
    int connections = 0;  ///< open from this proxy; counted by proxy::UpstreamConnection
    Nanos firstSeen = 0;
    Nanos slowStartUntil = 0;
    Nanos backoffUntil = 0;        ///< nothing is sent to it before, while others can take it
    int consecutiveFailures = 0;   ///< attempts without an answer, in a row
    double relativeLatency = 1;    ///< its answers' times against the route's usual one, averaged
    int reportedLoad = 0;          ///< requests, running and waiting, by its last report
    int inFlightAtReport = 0;      ///< `inFlight` at that moment
    Nanos reportedAt = 0;          ///< 0: it has not reported
    std::uint64_t subsetRank = 0;  ///< see HostSubset
    bool preferred = true;         ///< in this proxy's subset of its zone
    Nanos unansweredSince = 0;     ///< since when attempts are in flight without any answer; 0: none are
};

/// Whether attempts are sent to it while there are others: it is neither leaving nor backed off nor silent.
bool isAvailable(const UpstreamHost& host, Nanos now);
/// Whether what it answers says something of its version: a host that has just started is slow, whatever its
/// version.
bool isWarm(const UpstreamHost& host, Nanos now);

/// Keeps the counts of an attempt that starts.
void onAttemptStarted(UpstreamHost& host, Nanos now);
/// Keeps the counts of an attempt that has ended, and backs off from a host in trouble.
void onAttemptEnded(UpstreamHost& host, AttemptEvent end, Nanos now);
/// An attempt was cancelled after `latencyRatio` usual times without an answer: its answer would have taken
/// at least that long.
void recordLatencyAtLeast(UpstreamHost& host, double latencyRatio, Nanos now);
/// A success took `latencyRatio` times as long as usual on its route. Not counted in slow start.
void recordLatency(UpstreamHost& host, double latencyRatio, Nanos now);

/// How long an idle connection is used again, from the host's Keep-Alive timeout (0: it has told none).
Nanos idleLimit(Nanos keepAliveTimeout);
/// Whether a request that may run only once may go on a connection that has been idle for `age`, of
/// `idleLimit`.
bool safeToReuse(Nanos age, Nanos idleLimit);

/// Hosts among which one is chosen; the pointers are into the router's list of hosts, and as short-lived.
using HostRefs = std::vector<const std::shared_ptr<UpstreamHost>*>;
struct Candidates {
    HostRefs ownZone, ownZoneRest, otherZones, backedOff;  ///< `ownZoneRest`: not in the proxy's subset
};

}  // namespace lichenlanding::routing
