/// The state that this proxy keeps of a host (pod): its endpoint, load, slow start, backoff and latency.
///
/// Pure: steady time in nanoseconds is an argument. Not thread-safe.
#pragma once

#include <memory>
#include <vector>

#include "discovery/endpoint_set.hpp"
#include "routing/attempt.hpp"

namespace lichenlanding::routing {

/// Lives until it has left the list of endpoints and no attempt at it is in flight.
struct UpstreamHost {
    discovery::Endpoint endpoint;
    bool gone = false;    ///< removed from the list, or another host has its address: no further attempts
    int inFlight = 0;     ///< attempts of this proxy that have not ended
    int connections = 0;  ///< open connections of this proxy; counted by proxy::UpstreamConnection
    Nanos firstSeen = 0;
    Nanos slowStartUntil = 0;
    Nanos backoffUntil = 0;        ///< until then it gets attempts only if no other host is available
    int consecutiveFailures = 0;   ///< attempts in a row without a response
    double relativeLatency = 1;    ///< moving average of its latency / the route's typical latency
    int reportedLoad = 0;          ///< requests executing and waiting, by its last report
    int inFlightAtReport = 0;      ///< `inFlight` when it reported
    Nanos reportedAt = 0;          ///< 0: no report yet
    std::uint64_t subsetRank = 0;  ///< see HostSubset::rankOf()
    bool preferred = true;         ///< in this proxy's subset of its zone
    /// Since when attempts are in flight without any response; 0: none are in flight.
    Nanos unansweredSince = 0;
};

/// Whether the host may get attempts while others can: it is neither draining nor in backoff nor
/// unresponsive.
bool isAvailable(const UpstreamHost& host, Nanos now);
/// Whether its outcomes count for its version: a host that has just started is slow, whatever its version.
bool isWarm(const UpstreamHost& host, Nanos now);

/// Counts an attempt that starts.
void onAttemptStarted(UpstreamHost& host, Nanos now);
/// Counts an attempt that has ended, and starts a backoff after failures or a rejection.
void onAttemptEnded(UpstreamHost& host, AttemptEvent end, Nanos now);
/// Records an attempt that was cancelled after `latencyRatio` times the route's typical latency: its response
/// would have taken at least that long.
void recordLatencyAtLeast(UpstreamHost& host, double latencyRatio, Nanos now);
/// Records a success that took `latencyRatio` times the route's typical latency. Ignored in slow start.
void recordLatency(UpstreamHost& host, double latencyRatio, Nanos now);

/// How long an idle connection may be reused, given the host's Keep-Alive timeout (0: none received).
Nanos idleLimit(Nanos keepAliveTimeout);
/// Whether a non-idempotent request may use a connection that has been idle for `age`. `idleLimit`: see
/// above.
bool safeToReuse(Nanos age, Nanos idleLimit);

/// The hosts to select from. The pointers are into the router's list of hosts, valid until it changes.
using HostRefs = std::vector<const std::shared_ptr<UpstreamHost>*>;
struct Candidates {
    /// `ownZoneRest`: hosts of this proxy's zone outside its subset.
    HostRefs ownZone, ownZoneRest, otherZones, backedOff;
};

}  // namespace lichenlanding::routing
