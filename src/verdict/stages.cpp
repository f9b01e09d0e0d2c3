#include "verdict/stages.hpp"

#include <algorithm>

namespace lichenlanding::verdict {
namespace {

constexpr double kMinCanaryShare = 0.55;  // of the term, that the canary stage lasts at least
// The trial with all traffic includes the time until its outcomes are evaluated.
constexpr std::int64_t kMinFullTrafficTrialMs = 1400;
constexpr std::int64_t kMinAllTrafficMs = 2500;  // before the old pods are released
// Before the end of the term, so that the decision arrives in time.
constexpr std::int64_t kDecisionMarginMs = 700;

constexpr Nanos kMillisecond = 1'000'000;
constexpr std::int64_t kMaxAgeMs = 7 * 24 * 3600 * std::int64_t{1000};  // no order runs for a week

}  // namespace

void OrderAges::merge(const std::string& order, const OrderAge& received, Nanos now) {
    const auto since = [now](std::int64_t age) {
        return now - std::clamp<std::int64_t>(age, 0, kMaxAgeMs) * kMillisecond;
    };
    const auto [entry, inserted] = startTimes_.try_emplace(
        order, StartTimes{since(received.order), since(received.inStage), received.stage});
    if (inserted) return;
    auto& start = entry->second;
    start.order = std::min(start.order, since(received.order));
    if (received.stage > start.stageNumber)
        start.stageNumber = received.stage, start.stage = since(received.inStage);
    else if (received.stage == start.stageNumber)
        start.stage = std::min(start.stage, since(received.inStage));
}

OrderAge OrderAges::ageOf(const std::string& order, Nanos now) const {
    const auto entry = startTimes_.find(order);
    if (entry == startTimes_.end()) return {};
    return {(now - entry->second.order) / kMillisecond, entry->second.stageNumber,
            (now - entry->second.stage) / kMillisecond};
}

void OrderAges::retainOnly(const std::set<std::string>& running) {
    std::erase_if(startTimes_, [&](const auto& entry) { return !running.contains(entry.first); });
}

std::optional<StageTransition> nextTransition(int stage, const VoteCounts& votes, std::int64_t elapsed,
                                              std::int64_t inStage, std::int64_t term) {
    const auto majority = votes.voters / 2 + 1;
    if (votes.voters > 0 && votes.stable >= majority)
        return StageTransition{true, false, "voters, the version is in service already"};
    if (votes.voters > 0 && votes.rollBack >= majority) return StageTransition{false, true, "voters"};
    const bool advance = votes.voters > 0 && votes.advance >= majority;
    if (stage == canary && advance &&
        static_cast<double>(elapsed) >= kMinCanaryShare * static_cast<double>(term))
        return StageTransition{false, false, "voters"};
    if (stage == fullTrafficTrial && advance && inStage >= kMinFullTrafficTrialMs)
        return StageTransition{false, false, "voters, after the trial of all traffic"};
    if (stage == allTraffic && advance && inStage >= kMinAllTrafficMs)
        return StageTransition{true, false, "voters, with all traffic"};
    if (elapsed >= term - kDecisionMarginMs && !votes.mostUnheard)
        return StageTransition{false, true, "undecided at its term"};
    return std::nullopt;
}

}  // namespace lichenlanding::verdict
