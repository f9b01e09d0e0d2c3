#include "admin/needed_rollouts.hpp"

namespace lichenlanding::admin {

NeededRollouts::NeededRollouts(const messages::Rollouts& rollouts, const RepeatWindow& window)
    : window_(window) {
    for (const auto& rollout : rollouts) {
        auto& service = services_[rollout.service];
        service.newest = &rollout;
        service.newestOfVersion[rollout.target] = &rollout;
        const auto* highest = service.highestGeneration;
        if (!highest || rollout.generation > highest->generation) service.highestGeneration = &rollout;
    }
    for (auto& [name, service] : services_) service.lastCompleted = messages::lastCompleted(rollouts, name);
}

bool NeededRollouts::contains(const messages::Rollout& rollout) const {
    if (rollout.running() || window_.contains(rollout)) return true;
    const auto& service = services_.at(rollout.service);
    if (&rollout == service.newest || &rollout == service.highestGeneration) return true;
    if (service.lastCompleted) return &rollout == service.lastCompleted;
    return &rollout == service.newestOfVersion.at(rollout.target);
}

}  // namespace lichenlanding::admin
