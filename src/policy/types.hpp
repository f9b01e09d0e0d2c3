// Plain types that the policy shares with its hosts. Times and spans are whole nanoseconds; times are
// monotonic, and a time long ago stands for one that is not known.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding {

/// What a repeated execution of a request does: nothing, nothing within the deduplication window and scope of
/// its idempotency key, or its effect a second time.
enum class Effect { idempotent, deduplicated, nonIdempotent };
/// Which pods drop repeats of a deduplicated request.
enum class DedupScope { all, zone, cell };
/// How an attempt or a vote ended. `rejected` and `unreachable`: it was never executed.
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
/// Who moves stages on: one vote, a majority, or a clock that votes can only stop.
enum class VoteMode { single, majority, timed };
enum class Availability { up, draining, removed };
/// What signed metadata say of a build.
enum class Attestation { none, valid, withdrawn };

/// Requests of one kind, with their service levels.
struct PathGroup {
    std::string name;
    Nanos target = 0;   ///< latency target
    Nanos timeout = 0;  ///< of the client
    double priorityWeight = 1;
    Effect effect = Effect::idempotent;
    DedupScope dedupScope = DedupScope::all;
    Nanos dedupWindow = 0;  ///< how long pods recognize a repeat
    bool streaming = false;
    int index = 0;  ///< in Settings::groups
};

/// The settings of a sidecar; readSettings() names the keys they are read from.
struct Settings {
    int index = 0, sidecarCount = 1, zone = 0;  ///< own index among `sidecarCount`; own zone in zones
    std::vector<std::string> zones;
    std::vector<PathGroup> groups;
    bool peerMessages = false, cancellationAllowed = false, probesAllowed = false, hedgingAllowed = false;
    bool pullEndpoints = false;    ///< the endpoint list must be asked for
    bool reportsOnProbes = false;  ///< load reports come only as answers to probes
    bool sendRetryAfter = false;
    int maxAttempts = 1;  ///< of one request, the first included
    Nanos maxRetryAfter = 0;
    Nanos drainGrace = 0, slowStartTime = 0, overloadTime = 0;
    double slowStartFloor = 1;    ///< capacity of a pod at its start, as a share of a warm one's
    double overloadMultiple = 1;  ///< of its capacity, at which a pod is overloaded
    VoteMode voteMode = VoteMode::majority;
    std::vector<double> caps;  ///< by stage: share of requests that a build on trial may get
    double freeAttempts = 0;   ///< at a build on trial, beyond the cap
    Nanos exposureWindow = 0, voteTtl = 0, voteTimeout = 0;
    int restrictedStages = 0;  ///< the first ones, open to idempotent requests only
    int backVotesNeeded = 1;
    int onVotesNeeded = 0;       ///< 0: not known
    bool perGroup = false;       ///< exposure is counted by path group
    bool monotonicKeys = false;  ///< a routing key does not go back to an earlier build
    double votesPerSecond = 1;   ///< rate limit of the platform for all sidecars together
    bool attestationRequired = false;
    // Of connections and the clock; the policy does not use them. 0: not set.
    Nanos connectTimeout = 0, idleTimeout = 0, clockGranularity = 0;
    int maxInFlight = 0;
};

struct Build {
    int number = 0;
    std::vector<double> allowance;  ///< attempts left by the exposure rule: one, or one for each path group
    Attestation attestation = Attestation::none;
};

/// Outcomes at one pod. Slowness is the sum of their latencies in latency targets.
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

/// A pod as the policy sees it; all but id belongs to the policy.
struct Pod {
    std::uint32_t id = 0;
    int zone = -1, cell = -1;
    Build* build = nullptr;
    Availability availability = Availability::removed;
    Nanos startedAt = std::numeric_limits<Nanos>::min() / 4;  ///< as listed
    int inFlight = 0;                                         ///< own attempts
    Nanos lastResponseAt = 0;     ///< when an attempt last ended, or the first of those in flight began
    double slowStartCredit = 0;   ///< cost that may be sent while warming up; at most 0
    Nanos slowStartFilledAt = 0;  ///< when the credit was last filled
    Nanos backoffUntil = 0;       ///< after a rejection
    PodStats recentStats;         ///< own outcomes
    PodStats unsentStats;         ///< own outcomes not yet sent to the voters
    PodStats pooledStats;         ///< as a voter: outcomes of all sidecars
    double pooledSlowness = 1;    ///< by the voters, relative to the mean of all pods
    Nanos pooledSlownessAt = std::numeric_limits<Nanos>::min() / 4;
    double reportedInFlight = 0;  ///< by its own load report
    Nanos reportedAt = std::numeric_limits<Nanos>::min() / 4;
    bool lost = false;  ///< removed without having been drained
};

struct Request;

/// One send of a request to a pod.
struct Attempt {
    Request* request = nullptr;
    Pod* pod = nullptr;
    Build* build = nullptr;  ///< the pod's at the send, as are zone and cell
    int zone = -1, cell = -1;
    Nanos sentAt = 0;
    bool inFlight = true, mayHaveRun = true;
};

struct Request {
    std::string id, key;  ///< key: of monotonic routing; empty if it has none
    const PathGroup* group = nullptr;
    Nanos deadline = 0;  ///< when the client gives up
    Nanos cost = 0;      ///< estimated work; 0 if not known
    bool isRetry = false, ended = false;
    std::deque<Attempt> attempts;  ///< a deque, since Attempts must keep their addresses
};

/// One line of the endpoint list, or a change of it.
struct EndpointUpdate {
    Pod* pod = nullptr;
    int build = 0, zone = -1, cell = -1;
    Availability availability = Availability::up;
    Nanos startedAt = std::numeric_limits<Nanos>::min() / 4;
};

}  // namespace lichenlanding
