// Types that the policy shares with its hosts. Times and durations are in nanoseconds; times are of a
// monotonic clock, and a time in the distant past stands for an unknown one.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding {

/// The effect of executing a request again: none; none within the window and scope of the deduplication by
/// its idempotency key; or the whole effect again.
enum class Effect { idempotent, deduplicated, nonIdempotent };
/// Which pods recognize a repeat of a deduplicated request: all, those of the same zone or the same cell.
enum class DedupScope { all, zone, cell };
/// How an attempt or a vote ended. After `rejected` and `unreachable` it was certainly not executed.
enum class Outcome {
    succeeded,
    failed,
    rejected,
    timedOut,
    unreachable,
    connectionLost,
    cancelled,
    superseded
};
enum class RolloutState { testing, rollingBack, released, rolledBack };
/// What advances a rollout's stage: one vote, a majority of votes, or a timer that votes can only stop.
enum class VoteMode { single, majority, timed };
enum class Availability { up, draining, removed };
/// The state of a build in the signed metadata.
enum class Attestation { none, valid, withdrawn };

/// Requests of one kind with their latency target and retry semantics.
struct PathGroup {
    std::string name;
    Nanos target = 0;   ///< latency target
    Nanos timeout = 0;  ///< after which the client gives up
    double priorityWeight = 1;
    Effect effect = Effect::idempotent;
    DedupScope dedupScope = DedupScope::all;
    Nanos dedupWindow = 0;  ///< how long pods recognize a repeat, from the first attempt
    bool streaming = false;
    int index = 0;  ///< in Settings::groups
};

/// The settings of a sidecar; readSettings() names the keys they are read from.
struct Settings {
    /// The sidecar's index among `sidecarCount` sidecars, and its zone's index in `zones`.
    int index = 0, sidecarCount = 1, zone = 0;
    std::vector<std::string> zones;
    std::vector<PathGroup> groups;
    bool peerMessages = false, cancellationAllowed = false, probesAllowed = false, hedgingAllowed = false;
    bool pullEndpoints = false;    ///< the endpoint list is not pushed
    bool reportsOnProbes = false;  ///< load reports come only in answers to probes
    bool sendRetryAfter = false;   ///< rejections say when to retry
    int maxAttempts = 1;           ///< of one request, the first included
    Nanos maxRetryAfter = 0;
    Nanos drainGrace = 0, slowStartTime = 0, overloadTime = 0;
    double slowStartFloor = 1;    ///< capacity of a pod at its start, as a share of a warm pod's
    double overloadMultiple = 1;  ///< load at which a pod is overloaded, as a multiple of its capacity
    VoteMode voteMode = VoteMode::majority;
    std::vector<double> caps;  ///< by stage: the share of requests that a build on trial may get
    double freeAttempts = 0;   ///< attempts at a build on trial beyond the cap
    /// exposureWindow: no free attempts for so long after a start. voteTtl: a vote expires unless renewed.
    Nanos exposureWindow = 0, voteTtl = 0, voteTimeout = 0;
    int restrictedStages = 0;  ///< number of initial stages that admit idempotent requests only
    int rollBackVotesNeeded = 1;
    int advanceVotesNeeded = 0;  ///< 0: unknown
    bool perGroup = false;       ///< exposure is counted by path group
    bool monotonicKeys = false;  ///< requests of a routing key never return to an earlier build
    double votesPerSecond = 1;   ///< rate limit of the platform for all sidecars together
    bool attestationRequired = false;
    // Connection limits and clock granularity; not used by the policy. 0: not set.
    Nanos connectTimeout = 0, idleTimeout = 0, clockGranularity = 0;
    int maxInFlight = 0;
};

/// A version of the service, with the policy's state of it.
struct Build {
    int number = 0;
    std::vector<double> allowance;  ///< attempts left under the exposure rule; one, or one per path group
    Attestation attestation = Attestation::none;
};

/// Outcomes at one pod. `slowness` is the sum of their latencies, each divided by its latency target.
struct PodStats {
    double attempts = 0, slowness = 0;

    void operator+=(const PodStats& more) {
        attempts += more.attempts;
        slowness += more.slowness;
    }
    void halve() {
        attempts /= 2;
        slowness /= 2;
    }
};

/// The policy's state of a pod. The host sets `id` only.
struct Pod {
    std::uint32_t id = 0;
    int zone = -1, cell = -1;
    Build* build = nullptr;
    Availability availability = Availability::removed;
    Nanos startedAt = std::numeric_limits<Nanos>::min() / 4;  ///< from the endpoint list
    int inFlight = 0;                                         ///< attempts of this sidecar
    Nanos lastResponseAt = 0;     ///< last end of an attempt, or send of the first in flight
    double slowStartCredit = 0;   ///< cost that may be sent while warming up; never above 0
    Nanos slowStartFilledAt = 0;  ///< when the credit was last refilled
    Nanos backoffUntil = 0;       ///< no requests until then, after a rejection
    PodStats recentStats;         ///< of this sidecar
    PodStats unsentStats;         ///< of this sidecar, not yet sent to the voters
    PodStats pooledStats;         ///< of all sidecars, if this one is a voter
    double pooledSlowness = 1;    ///< from the voters, relative to the mean of all pods
    Nanos pooledSlownessAt = std::numeric_limits<Nanos>::min() / 4;
    double reportedInFlight = 0;  ///< from its last load report
    Nanos reportedAt = std::numeric_limits<Nanos>::min() / 4;
    bool lost = false;  ///< removed without having been draining before
};

struct Request;

/// One attempt of a request, at one pod.
struct Attempt {
    Request* request = nullptr;
    Pod* pod = nullptr;
    Build* build = nullptr;  ///< the pod's build when it was sent; likewise zone and cell
    int zone = -1, cell = -1;
    Nanos sentAt = 0;
    bool inFlight = true, mayHaveRun = true;
};

/// A client's request and its attempts. The host fills in all but `ended` and `attempts`.
struct Request {
    std::string id, key;  ///< key: for Settings::monotonicKeys; may be empty
    const PathGroup* group = nullptr;
    Nanos deadline = 0;  ///< when the client gives up
    Nanos cost = 0;      ///< estimated work; 0 if unknown
    bool isRetry = false, ended = false;
    std::deque<Attempt> attempts;  ///< a deque, because pointers to Attempts must stay valid
};

/// An entry of the endpoint list, or a change of one.
struct EndpointUpdate {
    Pod* pod = nullptr;
    int build = 0, zone = -1, cell = -1;
    Availability availability = Availability::up;
    Nanos startedAt = std::numeric_limits<Nanos>::min() / 4;
};

}  // namespace lichenlanding
