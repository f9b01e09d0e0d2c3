/// A rollout, as the register records it and as proxies receive it, and look-ups in a list of them. Encoded
/// by messages/codec.hpp.
///
/// Pure. Thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lichenlanding::messages {

// The states of a rollout, in the register and in the responses of the admin API.
inline constexpr const char* kRolloutInProgress = "in_progress";
inline constexpr const char* kRolloutCompleted = "completed";
inline constexpr const char* kRolloutRolledBack = "rolled_back";

/// An operator's request to roll out a version of a service.
struct Rollout {
    std::string service, target, state = kRolloutInProgress;
    // 0: a share of the traffic; 1: all traffic, as a short trial; 2: all traffic until the end.
    int stage = 0;
    std::int64_t number = 0;  // increases with each change of any rollout other than an update of its ages
    std::int64_t timeLimitMs = 0;
    // Milliseconds since the request and since the stage began, as of the last write. verdict::OrderAges adds
    // the time since then.
    std::int64_t ageMs = 0, stageAgeMs = 0;
    // Higher than those of all earlier rollouts of the same service and version. Tells this one from them.
    std::int64_t generation = 0;

    bool running() const { return state == kRolloutInProgress; }
    bool completed() const { return state == kRolloutCompleted; }
    /// Service and version, for maps.
    std::string versionKey() const;
    /// Identifies this rollout: the versionKey(), and the generation unless that is 0.
    std::string key() const;
    /// Whether `other` comes from an order with the same content, whenever that was given.
    bool hasSameOrder(const Rollout& other) const {
        return service == other.service && target == other.target && timeLimitMs == other.timeLimitMs;
    }
};
using Rollouts = std::vector<Rollout>;

/// The versionKey() of rollouts to the version.
std::string versionKey(const std::string& service, const std::string& version);

/// The service's rollout that was completed last, whose target is in service since; null if there is none.
const Rollout* lastCompleted(const Rollouts& rollouts, const std::string& service);

}  // namespace lichenlanding::messages
