#include "admin/rollout_requests.hpp"

#include <algorithm>

namespace lichenlanding::orders {
namespace {

bool sameOrder(const cues::Rollout& one, const cues::Rollout& other) {
    return one.service == other.service && one.target == other.target && one.term == other.term;
}

// Lets go of the oldest that have ended.
void bound(std::vector<cues::Rollout>& rollouts) {
    const auto needed = [&](const cues::Rollout& rollout) {
        if (rollout.running()) return true;
        return rollout.state == "completed" &&
               std::none_of(rollouts.begin(), rollouts.end(), [&](const auto& other) {
                   return other.service == rollout.service && other.state == "completed" &&
                          other.number > rollout.number;
               });
    };
    std::vector<bool> keep(rollouts.size());
    std::size_t ended = 0;
    for (auto at = rollouts.size(); at-- > 0;) keep[at] = needed(rollouts[at]) || ++ended <= endedKept;
    std::vector<cues::Rollout> kept;
    for (std::size_t at = 0; at < rollouts.size(); ++at)
        if (keep[at]) kept.push_back(rollouts[at]);
    rollouts = std::move(kept);
}

}  // namespace

const char* name(Ordered outcome) {
    switch (outcome) {
        case Ordered::begun:
            return "begun";
        case Ordered::known:
            return "known";
        case Ordered::inForce:
            return "in_force";
        case Ordered::underWay:
            return "under_way";
    }
    return "";
}

const cues::Rollout* newest(const std::vector<cues::Rollout>& rollouts, const std::string& service) {
    const auto at = std::find_if(rollouts.rbegin(), rollouts.rend(),
                                 [&](const auto& rollout) { return rollout.service == service; });
    return at == rollouts.rend() ? nullptr : &*at;
}

Ordered ordered(const std::vector<cues::Rollout>& rollouts, const cues::Rollout& order) {
    const auto any = [&](auto holds) { return std::any_of(rollouts.begin(), rollouts.end(), holds); };
    if (any([&](const auto& one) { return sameOrder(one, order); })) return Ordered::known;
    if (any([&](const auto& one) {
            return one.service == order.service && one.target == order.target && one.running();
        }))
        return Ordered::underWay;
    const cues::Rollout* reached = nullptr;
    for (const auto& one : rollouts)
        if (one.service == order.service && one.state == "completed" &&
            (!reached || one.number > reached->number))
            reached = &one;
    if (reached && reached->target == order.target) return Ordered::inForce;
    return Ordered::begun;
}

std::string begin(const std::string& value, const cues::Rollout& order) {
    auto rollouts = cues::readRollouts(value);
    if (ordered(rollouts, order) != Ordered::begun) return value;
    auto added = order;
    for (const auto& one : rollouts) added.number = std::max(added.number, one.number + 1);
    added.number = std::max<std::int64_t>(added.number, 1);
    rollouts.push_back(std::move(added));
    bound(rollouts);
    return cues::write(rollouts);
}

}  // namespace lichenlanding::orders
