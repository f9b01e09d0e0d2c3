/// The rollouts on record that a later answer or decision depends on, however many others came since.
///
/// Pure: no I/O, no clock, no random numbers. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "admin/repeat_window.hpp"

namespace lichenlanding::admin {

/// These are needed:
///   - each running rollout;
///   - each whose order may still be repeated: the repeat begins nothing;
///   - of each service the newest, which rollouts.read returns, and the one completed last, whose target
///     serves;
///   - of each service the one with the highest generation, from which that of the next one follows;
///   - of each service without a completed rollout the newest of each version: proxies infer the version that
///     serves from those that never had one.
class NeededRollouts {
  public:
    /// `rollouts` is in the order of start; both must outlive the object.
    NeededRollouts(const messages::Rollouts& rollouts, const RepeatWindow& window);

    /// `rollout` must be an element of the list.
    bool contains(const messages::Rollout& rollout) const;

  private:
    struct Service {
        const messages::Rollout* newest = nullptr;
        const messages::Rollout* lastCompleted = nullptr;
        const messages::Rollout* highestGeneration = nullptr;
        std::map<std::string, const messages::Rollout*> newestOfVersion;  // by target
    };

    const RepeatWindow& window_;
    std::map<std::string, Service> services_;  // by name
};

}  // namespace lichenlanding::admin
