/// The rollouts on record that a later answer or decision depends on, however many others came since.
///
/// Pure: no I/O, no clock, no random numbers. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "messages/rollout.hpp"

namespace lichenlanding::admin {

/// These are needed:
///   - each running rollout;
///   - of each service the newest, which rollouts.read returns, and the one completed last, whose target
///     serves.
class NeededRollouts {
  public:
    /// `rollouts` is in the order of start, and must outlive the object.
    explicit NeededRollouts(const messages::Rollouts& rollouts);

    /// `rollout` must be an element of the list.
    bool contains(const messages::Rollout& rollout) const;

  private:
    struct Service {
        const messages::Rollout* newest = nullptr;
        const messages::Rollout* lastCompleted = nullptr;
    };

    std::map<std::string, Service> services_;  // by name
};

}  // namespace lichenlanding::admin
