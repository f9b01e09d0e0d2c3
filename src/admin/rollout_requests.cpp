#include "admin/rollout_requests.hpp"

#include <algorithm>

namespace lichenlanding::admin {
namespace {

bool isSameRequest(const messages::Rollout& one, const messages::Rollout& other) {
    return one.service == other.service && one.target == other.target && one.timeLimitMs == other.timeLimitMs;
}

// Drops the oldest ended rollouts beyond kMaxEndedRollouts.
void dropOldest(std::vector<messages::Rollout>& rollouts) {
    const auto needed = [&](const messages::Rollout& rollout) {
        if (rollout.running()) return true;
        return rollout.state == "completed" &&
               std::none_of(rollouts.begin(), rollouts.end(), [&](const auto& other) {
                   return other.service == rollout.service && other.state == "completed" &&
                          other.number > rollout.number;
               });
    };
    std::vector<bool> keep(rollouts.size());
    std::size_t ended = 0;
    for (auto index = rollouts.size(); index-- > 0;)
        keep[index] = needed(rollouts[index]) || ++ended <= kMaxEndedRollouts;
    std::vector<messages::Rollout> kept;
    for (std::size_t index = 0; index < rollouts.size(); ++index)
        if (keep[index]) kept.push_back(rollouts[index]);
    rollouts = std::move(kept);
}

}  // namespace

const char* outcomeName(RolloutRequestOutcome outcome) {
    switch (outcome) {
        case RolloutRequestOutcome::begun:
            return "begun";
        case RolloutRequestOutcome::known:
            return "known";
        case RolloutRequestOutcome::inForce:
            return "in_force";
        case RolloutRequestOutcome::underWay:
            return "under_way";
    }
    return "";
}

const messages::Rollout* newestRollout(const std::vector<messages::Rollout>& rollouts,
                                       const std::string& service) {
    const auto newest = std::find_if(rollouts.rbegin(), rollouts.rend(),
                                     [&](const auto& rollout) { return rollout.service == service; });
    return newest == rollouts.rend() ? nullptr : &*newest;
}

RolloutRequestOutcome classifyRequest(const std::vector<messages::Rollout>& rollouts,
                                      const messages::Rollout& request) {
    const auto any = [&](auto matches) { return std::any_of(rollouts.begin(), rollouts.end(), matches); };
    if (any([&](const auto& one) { return isSameRequest(one, request); }))
        return RolloutRequestOutcome::known;
    if (any([&](const auto& one) {
            return one.service == request.service && one.target == request.target && one.running();
        }))
        return RolloutRequestOutcome::underWay;
    const messages::Rollout* lastCompleted = nullptr;
    for (const auto& one : rollouts)
        if (one.service == request.service && one.state == "completed" &&
            (!lastCompleted || one.number > lastCompleted->number))
            lastCompleted = &one;
    if (lastCompleted && lastCompleted->target == request.target) return RolloutRequestOutcome::inForce;
    return RolloutRequestOutcome::begun;
}

std::string addRollout(const std::string& value, const messages::Rollout& request) {
    auto rollouts = messages::decodeRollouts(value);
    if (classifyRequest(rollouts, request) != RolloutRequestOutcome::begun) return value;
    auto added = request;
    for (const auto& one : rollouts) added.number = std::max(added.number, one.number + 1);
    added.number = std::max<std::int64_t>(added.number, 1);
    rollouts.push_back(std::move(added));
    dropOldest(rollouts);
    return messages::encode(rollouts);
}

}  // namespace lichenlanding::admin
