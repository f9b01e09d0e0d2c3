#include "admin/rollout_requests.hpp"

#include <algorithm>
#include <vector>

#include "admin/needed_rollouts.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::admin {
namespace {

std::int64_t nextNumber(const messages::Rollouts& rollouts) {
    std::int64_t next = 1;
    for (const auto& one : rollouts) next = std::max(next, one.number + 1);
    return next;
}

// Whether dropOldest() may have dropped rollouts of this record.
bool mayHaveDropped(const messages::Rollouts& rollouts) {
    const auto ended = std::count_if(rollouts.begin(), rollouts.end(),
                                     [](const auto& rollout) { return !rollout.running(); });
    return static_cast<std::size_t>(ended) >= kMaxEndedRollouts;
}

// Above those of all earlier rollouts of the version, also if they were dropped. 0 for its first one, unless
// that is uncertain.
std::int64_t nextGeneration(const messages::Rollouts& rollouts, const messages::Rollout& request) {
    std::int64_t ofVersion = 0;
    std::int64_t ofService = 0;
    for (const auto& one : rollouts) {
        if (one.service != request.service) continue;
        ofService = std::max(ofService, one.generation + 1);
        if (one.target == request.target) ofVersion = std::max(ofVersion, one.generation + 1);
    }
    return ofVersion == 0 && mayHaveDropped(rollouts) ? ofService : ofVersion;
}

// Removes and returns the running rollout that the request asks for, which must be there.
messages::Rollout takeRunning(messages::Rollouts& rollouts, const messages::Rollout& request) {
    const auto running = std::find_if(rollouts.begin(), rollouts.end(), [&](const auto& one) {
        return one.running() && one.hasSameOrder(request);
    });
    auto taken = std::move(*running);
    rollouts.erase(running);
    return taken;
}

// Drops the oldest ended rollouts beyond kMaxEndedRollouts that no later answer depends on.
void dropOldest(messages::Rollouts& rollouts, const RepeatWindow& window) {
    const NeededRollouts needed(rollouts, window);
    std::vector<bool> keep(rollouts.size());
    std::size_t ended = 0;
    for (auto index = rollouts.size(); index-- > 0;)
        keep[index] = needed.contains(rollouts[index]) || ++ended <= kMaxEndedRollouts;
    messages::Rollouts kept;
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
        case RolloutRequestOutcome::running:
            return "running";
        case RolloutRequestOutcome::inForce:
            return "in_force";
        case RolloutRequestOutcome::underWay:
            return "under_way";
    }
    return "";
}

const messages::Rollout* newestRollout(const messages::Rollouts& rollouts, const std::string& service) {
    const auto newest = std::find_if(rollouts.rbegin(), rollouts.rend(),
                                     [&](const auto& rollout) { return rollout.service == service; });
    return newest == rollouts.rend() ? nullptr : &*newest;
}

RolloutRequestOutcome classifyRequest(const messages::Rollouts& rollouts, const messages::Rollout& request,
                                      const RepeatWindow& window) {
    const messages::Rollout* running = nullptr;
    for (const auto& one : rollouts) {
        if (one.service != request.service) continue;
        if (one.hasSameOrder(request) && window.contains(one)) return RolloutRequestOutcome::known;
        if (one.target == request.target && one.running()) running = &one;
    }
    if (running)
        return running->hasSameOrder(request) ? RolloutRequestOutcome::running
                                              : RolloutRequestOutcome::underWay;
    const auto* completed = messages::lastCompleted(rollouts, request.service);
    if (completed && completed->target == request.target) return RolloutRequestOutcome::inForce;
    return RolloutRequestOutcome::begun;
}

std::string addRollout(const std::string& value, const messages::Rollout& request,
                       const RepeatWindow& window) {
    auto rollouts = messages::decodeRollouts(value);
    const auto outcome = classifyRequest(rollouts, request, window);
    if (outcome == RolloutRequestOutcome::known || outcome == RolloutRequestOutcome::underWay) return value;
    const auto* newest = newestRollout(rollouts, request.service);
    const bool readsSo = newest && newest->target == request.target;
    if (readsSo && outcome != RolloutRequestOutcome::begun) return value;
    auto added = request;
    if (outcome == RolloutRequestOutcome::running) added = takeRunning(rollouts, request);
    else added.generation = nextGeneration(rollouts, request);
    if (outcome == RolloutRequestOutcome::inForce) added.state = messages::kRolloutCompleted;
    added.number = nextNumber(rollouts);
    rollouts.push_back(std::move(added));
    dropOldest(rollouts, window);
    return messages::encode(rollouts);
}

}  // namespace lichenlanding::admin
