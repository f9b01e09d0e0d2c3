#include "admin/rollout_requests.hpp"

#include <algorithm>

namespace lichenlanding::admin {
namespace {

bool isSameRequest(const messages::Rollout& one, const messages::Rollout& other) {
    return one.service == other.service && one.target == other.target && one.timeLimitMs == other.timeLimitMs;
}

// Lets go of the oldest that have ended.
void bound(std::vector<messages::Rollout>& rollouts) {
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
    for (auto at = rollouts.size(); at-- > 0;) keep[at] = needed(rollouts[at]) || ++ended <= kEndedKept;
    std::vector<messages::Rollout> kept;
    for (std::size_t at = 0; at < rollouts.size(); ++at)
        if (keep[at]) kept.push_back(rollouts[at]);
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
    const auto at = std::find_if(rollouts.rbegin(), rollouts.rend(),
                                 [&](const auto& rollout) { return rollout.service == service; });
    return at == rollouts.rend() ? nullptr : &*at;
}

RolloutRequestOutcome classifyRequest(const std::vector<messages::Rollout>& rollouts,
                                      const messages::Rollout& request) {
    const auto any = [&](auto holds) { return std::any_of(rollouts.begin(), rollouts.end(), holds); };
    if (any([&](const auto& one) { return isSameRequest(one, request); }))
        return RolloutRequestOutcome::known;
    if (any([&](const auto& one) {
            return one.service == request.service && one.target == request.target && one.running();
        }))
        return RolloutRequestOutcome::underWay;
    const messages::Rollout* reached = nullptr;
    for (const auto& one : rollouts)
        if (one.service == request.service && one.state == "completed" &&
            (!reached || one.number > reached->number))
            reached = &one;
    if (reached && reached->target == request.target) return RolloutRequestOutcome::inForce;
    return RolloutRequestOutcome::begun;
}

std::string addRollout(const std::string& value, const messages::Rollout& request) {
    auto rollouts = messages::decodeRollouts(value);
    if (classifyRequest(rollouts, request) != RolloutRequestOutcome::begun) return value;
    auto added = request;
    for (const auto& one : rollouts) added.number = std::max(added.number, one.number + 1);
    added.number = std::max<std::int64_t>(added.number, 1);
    rollouts.push_back(std::move(added));
    bound(rollouts);
    return messages::encode(rollouts);
}

}  // namespace lichenlanding::admin
