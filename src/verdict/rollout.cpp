#include "verdict/rollout.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lichenlanding::verdict {
namespace {

constexpr double kMinOutcomes = 20;            // of each side, for the rank test
constexpr double kMinOutcomesForFailures = 6;  // of the canary, to compare shares of failures
// The thresholds are lower than the sidecar's. The canary's share goes to a few pods of unknown speed under
// usual load, while stable requests go to the faster ones of several pods: an equally good version ranks at
// 0.25 to 0.45, depending on its pods. A version with half of its responses eight times slower is detected by
// its late responses, whose share hardly depends on a pod's speed.
constexpr double kAdvanceThreshold = 0.25, kRollBackThreshold = 0.2, kConfidence = 0.95,
                 kHighConfidence = 0.99;
constexpr double kLowConfidence = 0.7;  // that a route is worse: sufficient not to advance
constexpr double kFailMargin = 0.08;    // by which the canary's share of failures may be larger
constexpr double kLateMargin = 0.15;    // likewise for late responses
constexpr int kDraws = 200;
constexpr int kLastBin = kRolloutBins - 1;
constexpr int kLateBins = 3;  // the last ones: above 1.4 times the target latency

Bins toBins(const Counts& counts) { return {counts.bins.begin(), counts.bins.end()}; }

double lateResponses(const Counts& counts) {
    return std::accumulate(counts.bins.end() - kLateBins, counts.bins.end(), 0.0);
}

void add(Counts& into, const Counts& more) {
    for (int bin = 0; bin < kRolloutBins; ++bin) into.bins[bin] += more.bins[bin];
    into.failures += more.failures;
}

// Failures of a part of the requests barely move the ranks. So besides latencies, shares of failures and of
// late responses are compared, by the same test with two bins.
bool isWorse(const Counts& canary, const Counts& stable, std::mt19937& random,
             double confidence = kHighConfidence) {
    const double n = canary.total();
    const double m = stable.total();
    const auto hasLargerShare = [&](double x, double y, double margin, double minimum) {
        return n >= minimum && m >= kMinOutcomes && x >= 3 &&
               rankTest(twoBins(x, n), twoBins(y, m), 0.5 - margin / 2, kDraws, random).upperChance <
                   1 - confidence;
    };
    return hasLargerShare(canary.failures, stable.failures, kFailMargin, kMinOutcomesForFailures) ||
           hasLargerShare(lateResponses(canary), lateResponses(stable), kLateMargin,
                          kMinOutcomesForFailures) ||
           (n >= kMinOutcomes && m >= kMinOutcomes &&
            rankTest(toBins(canary), toBins(stable), kRollBackThreshold, kDraws, random).upperChance <
                1 - kConfidence);
}

}  // namespace

int histogramBin(Nanos latency, Nanos target) {
    // In steps of a square root of two up to 2.8 targets: a response that is eight times slower is in the
    // last bin.
    const double ratio = static_cast<double>(std::max<Nanos>(latency, 1)) / static_cast<double>(target);
    const int bin = static_cast<int>(std::ceil(2 * std::log2(ratio))) + kLastBin - 4;
    return std::clamp(bin, 0, kLastBin);
}

void Counts::count(Nanos latency, Nanos target, bool failed) {
    ++bins[static_cast<std::size_t>(failed ? kLastBin : histogramBin(latency, target))];
    if (failed) ++failures;
}

std::uint32_t Counts::total() const { return std::accumulate(bins.begin(), bins.end(), 0U); }

void TotalsAggregator::update(const std::string& sender, std::uint64_t incarnation, std::uint64_t number,
                              Totals totals) {
    auto& from = senders_[{sender, incarnation}];
    if (number <= from.number) return;
    from = {number, std::move(totals)};
}

Totals TotalsAggregator::sum() const {
    Totals all;
    for (const auto& [_, sender] : senders_)
        for (const auto& [route, sides] : sender.totals)
            for (std::size_t side = 0; side < 2; ++side) add(all[route][side], sides[side]);
    return all;
}

CanaryEvaluation evaluateCanary(const Totals& sums, std::mt19937& random) {
    CanaryEvaluation evaluation;
    std::array<Counts, 2> all;
    bool rollBack = false;
    bool doubt = false;
    for (const auto& [route, sides] : sums) {
        for (std::size_t side = 0; side < 2; ++side) add(all[side], sides[side]);
        rollBack = rollBack || isWorse(sides[0], sides[1], random);
        doubt = doubt || isWorse(sides[0], sides[1], random, kLowConfidence);
    }
    evaluation.canaryOutcomes = all[0].total();
    evaluation.stableOutcomes = all[1].total();
    evaluation.canaryFailures = all[0].failures;
    if (evaluation.canaryOutcomes > 0 && evaluation.stableOutcomes > 0)
        evaluation.bounds = rankTest(toBins(all[0]), toBins(all[1]), kAdvanceThreshold, kDraws, random);
    if (rollBack || isWorse(all[0], all[1], random)) evaluation.verdict = Verdict::rollBack;
    else if (evaluation.canaryOutcomes >= kMinOutcomes && evaluation.stableOutcomes >= kMinOutcomes)
        evaluation.verdict =
            evaluation.bounds.lowerChance > kConfidence && !doubt ? Verdict::advance : Verdict::hold;
    return evaluation;
}

}  // namespace lichenlanding::verdict
