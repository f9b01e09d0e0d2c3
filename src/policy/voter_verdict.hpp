// A voter's verdict on the build on trial, computed from the pooled counts.
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/votes.hpp"

namespace lichenlanding::policy {

struct VoterVerdict : Voting {
    using Voting::Voting;

    struct Comparison {
        const OutcomeSums *newer, *older;
    };

    void evaluate() {
        trial.evaluatedAt = now;
        if (trial.verdict == Verdict::rollBack) return;  // final for this build
        const auto before = std::exchange(trial.verdict, computeVerdict());
        if (trial.verdict != before) sendVerdict();
        castVote();
    }

    bool surelyBelow(const Bins& x, const Bins& y, double threshold, double confidence) {
        return rankTest(x, y, threshold, kRankTestDraws, random).upperChance < 1 - confidence;
    }

    // Whether the new build is worse than the earlier ones, in one path group or in all together.
    bool isWorse(const OutcomeSums& newer, const OutcomeSums& earlier, bool concurrent) {
        const double n = newer.total(), m = earlier.total();
        if (n < kMinOutcomes || m < kMinOutcomes) return false;
        const auto higher = [&](double x, double y, double margin) {
            return surelyBelow(twoBins(x, n), twoBins(y, m), 0.5 - margin / 2, kHighConfidence);
        };
        return higher(newer.errored, earlier.errored, kErrorMargin + earlier.errored / m) ||
               higher(newer.flagged, earlier.flagged, kFlagMargin) ||
               (concurrent && (surelyBelow(newer.bins, earlier.bins, kRollBackThreshold, kHighConfidence) ||
                               higher(newer.bins[kLastBin], earlier.bins[kLastBin], kLateMargin)));
    }

    // Sums over path groups, the older ones weighted to the newer ones' mix, which changes with the stages.
    static std::array<OutcomeSums, 2> sumWithSameMix(const std::vector<Comparison>& groups) {
        double maxRatio = 0;
        for (const auto& [newer, older] : groups)
            if (older->total() > 0) maxRatio = std::max(maxRatio, newer->total() / older->total());
        std::array<OutcomeSums, 2> sums;
        for (const auto& [newer, older] : groups) {
            if (newer->total() <= 0 || older->total() <= 0) continue;
            sums[0].add(*newer, 1);
            sums[1].add(*older, newer->total() / older->total() / maxRatio);
        }
        return sums;
    }

    // A burst (not counting clients' retries, which a slow build causes) or unhealthy, lost or warming pods.
    bool hasKnownSlownessCause() const {
        const double expected = trial.demandBaseline * kDemandSeconds;  // low demand varies by chance
        if (demandRate * kDemandSeconds > expected * kBurstFactor + 2 * std::sqrt(expected)) return true;
        const auto isSlow = [&](auto* pod) { return peerSlowness(*pod) > kSlowFactor; };
        const auto unhealthy = lostPods + std::count_if(pods.begin(), pods.end(), isSlow);
        return static_cast<double>(unhealthy) > static_cast<double>(pods.size()) * kUnhealthyPodShare ||
               std::any_of(pods.begin(), pods.end(), [&](auto* pod) { return warmingUp(*pod); });
    }

    // Exception: a build may slow down all pods, old and new, so recent outcomes are ranked against those
    // before the build. While they are slower, voters abstain; after two poolings without a known cause they
    // vote to roll back, except in the first stage, which has too little traffic. After the release half of
    // all must be late or rejected. Harm: slowness of that length in a later stage rolls a good build back.
    bool slowerThanBefore(const OutcomeSums& recent, const OutcomeSums& before, bool released) {
        const double n = recent.total(), m = before.total();
        if (n < kMinOutcomes || m < kMinOutcomes || (trial.slownessExcused && !released)) return false;
        const auto late = before.bins[kLastBin];
        if (late > m * kBusyBaselineShare) return false;  // a busy fleet's latencies follow its load
        if (!released) return surelyBelow(recent.bins, before.bins, kSlowThreshold, kHighConfidence);
        const auto lateNow = twoBins(recent.bins[kLastBin], n);
        return surelyBelow(lateNow, twoBins(late, m), kMostlyLateThreshold, kHighConfidence);
    }

    Verdict computeVerdict() {
        const bool released = rollout.build == trial.build && rollout.state == RolloutState::released;
        // Latencies are ranked only if measured at the same time: otherwise they reflect the load.
        const auto concurrent = [&](const OutcomeSums& newer, const OutcomeSums& earlier) {
            return !released && earlier.recent >= newer.recent * kMinConcurrentShare;
        };
        bool rollBack = false;
        std::vector<Comparison> builds, times;
        for (std::size_t group = 0; group < binEdges.size(); ++group) {
            const auto& [newer, earlier, before] = trial.sums[group];
            builds.push_back({&newer, &earlier});
            times.push_back({&trial.recentSums[group], &before});
            // Exception: checked by path group, since faults of one barely move the ranks of all together.
            rollBack = rollBack || isWorse(newer, earlier, concurrent(newer, earlier));
        }
        const auto [x, y] = sumWithSameMix(builds);
        const bool enough = std::min(x.total(), y.total()) >= kMinOutcomes, compared = concurrent(x, y);
        if (rollBack || isWorse(x, y, compared)) return Verdict::rollBack;
        if (enough && compared && surelyBelow(x.bins, y.bins, kRollBackThreshold, kConfidence))
            return Verdict::rollBack;
        const auto surelyAbove = [&](double threshold) {
            if (!enough) return false;
            return rankTest(x.bins, y.bins, threshold, kRankTestDraws, random).lowerChance > kConfidence;
        };
        const auto [recent, before] = sumWithSameMix(times);
        if (slowerThanBefore(recent, before, released)) {
            if (trial.unexplainedSince < 0) trial.slowPeriodStart = now;
            if (trial.unexplainedSince < 0 || hasKnownSlownessCause()) trial.unexplainedSince = now;
            // Exception: the earlier build may be the slow one. A new build that ranks ahead is excused; one
            // that slows both does not rank ahead. Harm: under little traffic one may rank ahead by chance.
            const bool ahead = !released && compared && surelyAbove(kAheadThreshold);
            trial.slownessExcused = ahead || now - trial.slowPeriodStart >= kLongSlowTimeout;
            if (!trial.slownessExcused && now - trial.unexplainedSince < kSlowTimeout) return Verdict::none;
            if (!trial.slownessExcused && rollout.stage > 0) return Verdict::rollBack;
            trial.slownessExcused = true;
        } else {
            trial.unexplainedSince = -1;
        }
        if (released) return Verdict::none;
        if (timed()) {
            const bool pending = rollout.build == trial.build && now - rollout.since < kUndecidedTimeout;
            return pending ? Verdict::hold : Verdict::none;
        }
        const bool timeout = trial.firstCountedAt >= 0 && now - trial.firstCountedAt >= kUndecidedTimeout;
        return surelyAbove(kAdvanceThreshold) || timeout ? Verdict::advance : Verdict::none;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
