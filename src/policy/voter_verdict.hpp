// The verdict of a voter on the build on trial, from the pooled counts.
#pragma once

#include "policy/votes.hpp"

namespace lichenlanding::policy {

struct Verdicts : Votes {
    using Votes::Votes;

    void judge() {
        trial.judged = now;
        if (trial.verdict == Verdict::back) return;  // stands for this build
        if (const auto before = std::exchange(trial.verdict, verdictNow()); trial.verdict != before)
            tellVerdict();
        castVote();
    }

    // One side by side look at a new build and an earlier one, over one path group or over all.
    bool worse(const Side& newer, const Side& earlier, bool beside) {
        const double n = newer.all(), m = earlier.all();
        if (n < leastOutcomes || m < leastOutcomes) return false;
        const auto fails = [&](const Bins& x, const Bins& y, double bar) {
            return rankTest(x, y, bar, draws, chance).upperChance < 1 - certain;
        };
        const auto more = [&](double x, double y, double margin) {
            return fails(inTwo(x, n), inTwo(y, m), 0.5 - margin / 2);
        };
        // Where many err, chance errs more: twice the earlier builds' and the margin.
        return more(newer.errored, earlier.errored, errorMargin + earlier.errored / m) ||
               more(newer.flagged, earlier.flagged, flagMargin) ||
               (beside && (fails(newer.bins, earlier.bins, backBar) ||
                           more(newer.bins[lastBin], earlier.bins[lastBin], lateMargin)));
    }

    using Sides = std::vector<std::pair<const Side*, const Side*>>;

    // Sums over all path groups; the second side is mixed as the first one's hits are, since some stages are
    // closed to some path groups, and the mix of hits changes.
    static std::pair<Side, Side> mixed(const Sides& sides) {
        double most = 0;
        for (const auto& [one, other] : sides)
            if (other->all() > 0) most = std::max(most, one->all() / other->all());
        Side x, y;
        for (const auto& [one, other] : sides) {
            if (one->all() <= 0 || other->all() <= 0) continue;
            x.add(*one, 1);
            y.add(*other, one->all() / other->all() / most);
        }
        return {x, y};
    }

    // Pods that are cold, that fail, or that are gone (a lost data centre) slow the rest whatever the build
    // does, and so does a burst. Clients' retries do not count for one: a slow build draws them.
    bool knownCause() const {
        // A quiet sidecar's demand swings by chance.
        const double usualHits = trial.demandBefore * demandSeconds;
        if (demand * demandSeconds > usualHits * demandRise + 2 * std::sqrt(usualHits)) return true;
        const auto amiss = lostPods + std::count_if(pods.begin(), pods.end(),
                                                    [&](auto* pod) { return word(*pod) > slowPart; });
        return static_cast<double>(amiss) > static_cast<double>(pods.size()) * podsAmiss ||
               std::any_of(pods.begin(), pods.end(), [&](auto* pod) { return cold(*pod); });
    }

    // Exception: a build may slow all pods, old and new, in step with its traffic; new against earlier then
    // shows nothing. So the same test ranks all answers of late against those before the build came. While
    // these are slower, voters abstain and the timer waits; if that lasts for two poolings with no known
    // cause, it is 'back', unless it held in the first stage already, whose traffic is too little. Also
    // guards against going on in a jam. After release it takes a wreck: half of all more than before
    // is late or kept out. Harm: a slow spell of that length in a later stage takes a good build off.
    bool slowerThanBefore(const Side& lately, const Side& before, bool released) {
        const double n = lately.all(), m = before.all();
        if (n < leastOutcomes || m < leastOutcomes || (trial.slowAnyway && !released)) return false;
        if (before.bins[lastBin] > m * calmShare) return false;  // a busy fleet's ranks swing with its load
        const auto chances = released ? rankTest(inTwo(lately.bins[lastBin], n),
                                                 inTwo(before.bins[lastBin], m), wreckedBar, draws, chance)
                                      : rankTest(lately.bins, before.bins, slowBar, draws, chance);
        return chances.upperChance < 1 - certain;
    }

    Verdict verdictNow() {
        const bool released = told.build == trial.build && told.standing == Standing::released;
        // Latency is compared only while both sides flow: ranks of one minute against another's show the
        // load.
        const auto beside = [&](const Side& newer, const Side& earlier) {
            return !released && earlier.recent >= newer.recent * besidePart;
        };
        bool back = false;
        Sides present, past;
        for (std::size_t group = 0; group < edges.size(); ++group) {
            const auto& [newer, earlier, before] = trial.sums[group];
            present.emplace_back(&newer, &earlier);
            past.emplace_back(&trial.lately[group], &before);
            // Exception: a failing path group holds few ranks of the whole, and errors and wrong answers too
            // few for any. The same test on that group's ranks, and on ranks coarsened to two (errored,
            // flagged or in time against not), votes back if hardly a draw passes the bar.
            back = back || worse(newer, earlier, beside(newer, earlier));
        }
        const auto [x, y] = mixed(present);
        if (back || worse(x, y, beside(x, y))) return Verdict::back;
        const bool enough = x.all() >= leastOutcomes && y.all() >= leastOutcomes, flows = beside(x, y);
        const auto ranks = [&](double bar) { return rankTest(x.bins, y.bins, bar, draws, chance); };
        if (enough && flows && ranks(backBar).upperChance < 1 - sure) return Verdict::back;
        const auto surelyOn = [&](double bar) { return enough && ranks(bar).lowerChance > sure; };
        const auto [these, those] = mixed(past);
        if (slowerThanBefore(these, those, released)) {
            if (trial.slowSince < 0) trial.heldSince = now;
            if (trial.slowSince < 0 || knownCause()) trial.slowSince = now;
            // Exception: slow because the earlier build is (it turned bad after its release): a new one that
            // surely ranks ahead is the way out, and one that slows old and new alike does not rank ahead.
            // Harm: one that is ahead while it has little traffic.
            const bool ahead = !released && flows && surelyOn(aheadBar);
            trial.slowAnyway = ahead || now - trial.heldSince >= longSpell;
            if (!trial.slowAnyway && now - trial.slowSince < slowSpell) return Verdict::none;
            if (!trial.slowAnyway && told.stage > 0) return Verdict::back;
            trial.slowAnyway = true;
        } else {
            trial.slowSince = -1;
        }
        if (released) return Verdict::none;
        if (!clocked && surelyOn(onBar)) return Verdict::on;
        if (clocked) {
            const bool young = told.build == trial.build && now - told.since < undecidedFor;
            return young ? Verdict::hold : Verdict::none;
        }
        return trial.counted >= 0 && now - trial.counted >= undecidedFor ? Verdict::on : Verdict::none;
    }
};

}  // namespace lichenlanding::policy
