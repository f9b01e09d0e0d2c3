#include "verdict/stages.hpp"

#include <algorithm>

namespace lichenlanding::verdict {
namespace {

constexpr double kWatchPart = 0.55;  // of the term, that a version is watched with its share at least
constexpr std::int64_t kTrialAndJudgement =
    1400;                                 // the trial of all traffic, and until its outcomes are judged
constexpr std::int64_t kMoved = 2500;     // with all traffic, before the old pods are let go
constexpr std::int64_t kUndecided = 700;  // before the term, so that it is told in time

constexpr Nanos kMillisecond = 1'000'000;
constexpr std::int64_t kOldest = 7 * 24 * 3600 * std::int64_t{1000};  // no order runs for a week

}  // namespace

void OrderAges::merge(const std::string& order, const OrderAge& told, Nanos now) {
    const auto since = [now](std::int64_t age) {
        return now - std::clamp<std::int64_t>(age, 0, kOldest) * kMillisecond;
    };
    const auto [at, anew] =
        began_.try_emplace(order, Began{since(told.order), since(told.inStage), told.stage});
    if (anew) return;
    auto& began = at->second;
    began.order = std::min(began.order, since(told.order));
    if (told.stage > began.at) began.at = told.stage, began.stage = since(told.inStage);
    else if (told.stage == began.at) began.stage = std::min(began.stage, since(told.inStage));
}

OrderAge OrderAges::ageOf(const std::string& order, Nanos now) const {
    const auto at = began_.find(order);
    if (at == began_.end()) return {};
    return {(now - at->second.order) / kMillisecond, at->second.at, (now - at->second.stage) / kMillisecond};
}

void OrderAges::retainOnly(const std::set<std::string>& running) {
    std::erase_if(began_, [&](const auto& one) { return !running.contains(one.first); });
}

std::optional<StageTransition> nextTransition(int stage, const VoteCounts& votes, std::int64_t elapsed,
                                              std::int64_t inStage, std::int64_t term) {
    const auto majority = votes.voters / 2 + 1;
    if (votes.voters > 0 && votes.rollBack >= majority) return StageTransition{false, true, "voters"};
    const bool on = votes.voters > 0 && votes.advance >= majority;
    if (stage == canary && on && static_cast<double>(elapsed) >= kWatchPart * static_cast<double>(term))
        return StageTransition{false, false, "voters"};
    if (stage == fullTrafficTrial && on && inStage >= kTrialAndJudgement)
        return StageTransition{false, false, "voters, after the trial of all traffic"};
    if (stage == allTraffic && on && inStage >= kMoved)
        return StageTransition{true, false, "voters, with all traffic"};
    if (elapsed >= term - kUndecided) return StageTransition{false, true, "undecided at its term"};
    return std::nullopt;
}

}  // namespace lichenlanding::verdict
