/// For how long a request for a rollout is taken for a repeat of an earlier one with the same content.
///
/// Pure. Thread-safe.
#pragma once

#include <cstdint>
#include <functional>

#include "messages/rollout.hpp"

namespace lichenlanding::admin {

/// Clients repeat a request that was not answered, for a limited time; what comes later is an order of its
/// own.
struct RepeatWindow {
    std::int64_t lengthMs = 0;
    /// Milliseconds since the order of a rollout on record, by this process's steady clock.
    std::function<std::int64_t(const messages::Rollout&)> ageMs;

    bool contains(const messages::Rollout& rollout) const { return ageMs(rollout) <= lengthMs; }
};

}  // namespace lichenlanding::admin
