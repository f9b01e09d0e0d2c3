// The verdict of a voter on the build on trial, from the pooled counts.
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/votes.hpp"

namespace lichenlanding::policy {

struct VoterVerdict : Voting {
    using Voting::Voting;

    struct Comparison {
        const OutcomeSums *newer, *older;
    };

    void judge() {
        trial.judgedAt = now;
        if (trial.verdict == Verdict::rollBack) return;  // final for this build
        const auto before = std::exchange(trial.verdict, computeVerdict());
        if (trial.verdict != before) sendVerdict();
        castVote();
    }

    bool surelyBelow(const Bins& x, const Bins& y, double threshold, double confidence) {
        return rankTest(x, y, threshold, kRankTestDraws, random).upperChance < 1 - confidence;
    }

    // Whether the new build is worse than the earlier ones, over one path group or all of them.
    bool worse(const OutcomeSums& newer, const OutcomeSums& earlier, bool concurrent) {
        const double n = newer.total(), m = earlier.total();
        if (n < kMinOutcomes || m < kMinOutcomes) return false;
        const auto more = [&](double x, double y, double margin) {
            return surelyBelow(inTwo(x, n), inTwo(y, m), 0.5 - margin / 2, kHighConfidence);
        };
        return more(newer.errored, earlier.errored, kErrorMargin + earlier.errored / m) ||
               more(newer.flagged, earlier.flagged, kFlagMargin) ||
               (concurrent && (surelyBelow(newer.bins, earlier.bins, kBackThreshold, kHighConfidence) ||
                               more(newer.bins[kLastBin], earlier.bins[kLastBin], kLateMargin)));
    }

    // Sums over the path groups, the older ones weighted by the newer ones' mix: it changes with the stages.
    static std::array<OutcomeSums, 2> sameMix(const std::vector<Comparison>& groups) {
        double most = 0;
        for (const auto& [newer, older] : groups)
            if (older->total() > 0) most = std::max(most, newer->total() / older->total());
        std::array<OutcomeSums, 2> sums;
        for (const auto& [newer, older] : groups) {
            if (newer->total() <= 0 || older->total() <= 0) continue;
            sums[0].add(*newer, 1);
            sums[1].add(*older, newer->total() / older->total() / most);
        }
        return sums;
    }

    // A burst (without clients' retries, which a slow build causes), or unhealthy, lost or warming pods.
    bool knownSlownessCause() const {
        const double usual = trial.demandBaseline * kDemandSeconds;  // a low one fluctuates by chance
        if (demandRate * kDemandSeconds > usual * kBurstFactor + 2 * std::sqrt(usual)) return true;
        const auto isSlow = [&](auto* pod) { return peerSlowness(*pod) > kSlowFactor; };
        const auto unhealthy = lostPods + std::count_if(pods.begin(), pods.end(), isSlow);
        return static_cast<double>(unhealthy) > static_cast<double>(pods.size()) * kUnhealthyPodShare ||
               std::any_of(pods.begin(), pods.end(), [&](auto* pod) { return warmingUp(*pod); });
    }

    // Exception: a build may slow all pods, old and new, so recent outcomes are ranked against those before
    // it. While they are slower voters abstain; after two poolings without a known cause they vote back,
    // unless in the first stage, whose traffic is too little. After release half of all must be late or
    // rejected. Harm: a slow spell of that length in a later stage rolls a good build back.
    bool slowerThanBefore(const OutcomeSums& recent, const OutcomeSums& before, bool released) {
        const double n = recent.total(), m = before.total();
        if (n < kMinOutcomes || m < kMinOutcomes || (trial.slownessExcused && !released)) return false;
        const auto late = before.bins[kLastBin];
        if (late > m * kBusyBaselineShare) return false;  // ranks of a busy fleet follow its load
        if (!released) return surelyBelow(recent.bins, before.bins, kSlowThreshold, kHighConfidence);
        const auto lateNow = inTwo(recent.bins[kLastBin], n);
        return surelyBelow(lateNow, inTwo(late, m), kWreckedThreshold, kHighConfidence);
    }

    Verdict computeVerdict() {
        const bool released = rollout.build == trial.build && rollout.state == RolloutState::released;
        // Ranks of latencies from different times would show the load.
        const auto concurrent = [&](const OutcomeSums& newer, const OutcomeSums& earlier) {
            return !released && earlier.recent >= newer.recent * kMinConcurrentShare;
        };
        bool back = false;
        std::vector<Comparison> builds, times;
        for (std::size_t group = 0; group < binEdges.size(); ++group) {
            const auto& [newer, earlier, before] = trial.sums[group];
            builds.push_back({&newer, &earlier});
            times.push_back({&trial.recentSums[group], &before});
            // Exception: a failing path group, errors and flags show little in the ranks of the whole.
            back = back || worse(newer, earlier, concurrent(newer, earlier));
        }
        const auto [x, y] = sameMix(builds);
        const bool enough = std::min(x.total(), y.total()) >= kMinOutcomes, compared = concurrent(x, y);
        if (back || worse(x, y, compared)) return Verdict::rollBack;
        if (enough && compared && surelyBelow(x.bins, y.bins, kBackThreshold, kConfidence))
            return Verdict::rollBack;
        const auto surelyAbove = [&](double threshold) {
            if (!enough) return false;
            return rankTest(x.bins, y.bins, threshold, kRankTestDraws, random).lowerChance > kConfidence;
        };
        const auto [recent, before] = sameMix(times);
        if (slowerThanBefore(recent, before, released)) {
            if (trial.slowSince < 0) trial.slowSpellStart = now;
            if (trial.slowSince < 0 || knownSlownessCause()) trial.slowSince = now;
            // Exception: the earlier build may be the slow one; a new one that surely ranks ahead is the way
            // out, and one that slows both does not rank ahead. Harm: one that is ahead under little traffic.
            const bool ahead = !released && compared && surelyAbove(kAheadThreshold);
            trial.slownessExcused = ahead || now - trial.slowSpellStart >= kLongSpell;
            if (!trial.slownessExcused && now - trial.slowSince < kSlowSpell) return Verdict::none;
            if (!trial.slownessExcused && rollout.stage > 0) return Verdict::rollBack;
            trial.slownessExcused = true;
        } else {
            trial.slowSince = -1;
        }
        if (released) return Verdict::none;
        if (timed()) {
            const bool young = rollout.build == trial.build && now - rollout.since < kUndecidedTimeout;
            return young ? Verdict::hold : Verdict::none;
        }
        const bool timeout = trial.firstCountedAt >= 0 && now - trial.firstCountedAt >= kUndecidedTimeout;
        return surelyAbove(kOnThreshold) || timeout ? Verdict::advance : Verdict::none;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
