#include "verdict/rollout.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lichenlanding::verdict {
namespace {

constexpr double kLeastOutcomes = 20;  // of each side, for ranks
constexpr double kLeastFailing = 6;    // of the new side, where failures alone speak
// Bars below the sidecar's own: the share goes to a few pods whose pace is not known yet, loaded like the
// rest, while the earlier side is sent to the quicker of several; a version that is as good ranks at 0.25 to
// 0.45, as its pods happen to be. One of whose answers half are eight times slower shows by those that come
// late, which hardly depends on a pod's pace.
constexpr double kOnBar = 0.25, kBackBar = 0.2, kSure = 0.95, kCertainly = 0.99;
constexpr double kPerhaps = 0.7;      // that a route is worse: enough against going on
constexpr double kFailMargin = 0.08;  // failures that a version may have more than the earlier one
constexpr double kLateMargin = 0.15;  // answers late, likewise
constexpr int kDraws = 200;
constexpr int kLastBin = kRolloutBins - 1;
constexpr int kLateBins = 3;  // the last ones: later than 1.4 targets

Bins binsOf(const Counts& counts) { return {counts.bins.begin(), counts.bins.end()}; }

double late(const Counts& counts) {
    return std::accumulate(counts.bins.end() - kLateBins, counts.bins.end(), 0.0);
}

void add(Counts& into, const Counts& more) {
    for (int bin = 0; bin < kRolloutBins; ++bin) into.bins[bin] += more.bins[bin];
    into.failures += more.failures;
}

// Exception to ranks: failures of a part of the requests move few ranks, so the same test is made on ranks
// coarsened to two as well.
bool worse(const Counts& canary, const Counts& stable, std::mt19937& chance, double certain = kCertainly) {
    const double n = canary.total();
    const double m = stable.total();
    const auto more = [&](double x, double y, double margin, double least) {
        return n >= least && m >= kLeastOutcomes && x >= 3 &&
               rankTest(inTwo(x, n), inTwo(y, m), 0.5 - margin / 2, kDraws, chance).upperChance < 1 - certain;
    };
    return more(canary.failures, stable.failures, kFailMargin, kLeastFailing) ||
           more(late(canary), late(stable), kLateMargin, kLeastFailing) ||
           (n >= kLeastOutcomes && m >= kLeastOutcomes &&
            rankTest(binsOf(canary), binsOf(stable), kBackBar, kDraws, chance).upperChance < 1 - kSure);
}

}  // namespace

int histogramBin(Nanos took, Nanos target) {
    // Steps of a square root of two up to 2.8 targets: what is slow eight times over ends in the last bin.
    const double part = static_cast<double>(std::max<Nanos>(took, 1)) / static_cast<double>(target);
    const int bin = static_cast<int>(std::ceil(2 * std::log2(part))) + kLastBin - 4;
    return std::clamp(bin, 0, kLastBin);
}

void Counts::count(Nanos took, Nanos target, bool failed) {
    ++bins[static_cast<std::size_t>(failed ? kLastBin : histogramBin(took, target))];
    if (failed) ++failures;
}

std::uint32_t Counts::total() const { return std::accumulate(bins.begin(), bins.end(), 0U); }

void TotalsAggregator::update(const std::string& sender, std::uint64_t life, std::uint64_t number,
                              Totals totals) {
    auto& from = senders_[{sender, life}];
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

CanaryEvaluation evaluateCanary(const Totals& sums, std::mt19937& chance) {
    CanaryEvaluation judged;
    std::array<Counts, 2> all;
    bool back = false;
    bool doubt = false;
    for (const auto& [route, sides] : sums) {
        for (std::size_t side = 0; side < 2; ++side) add(all[side], sides[side]);
        back = back || worse(sides[0], sides[1], chance);
        doubt = doubt || worse(sides[0], sides[1], chance, kPerhaps);
    }
    judged.canaryOutcomes = all[0].total();
    judged.stableOutcomes = all[1].total();
    judged.canaryFailures = all[0].failures;
    if (judged.canaryOutcomes > 0 && judged.stableOutcomes > 0)
        judged.bounds = rankTest(binsOf(all[0]), binsOf(all[1]), kOnBar, kDraws, chance);
    if (back || worse(all[0], all[1], chance)) judged.verdict = Verdict::rollBack;
    else if (judged.canaryOutcomes >= kLeastOutcomes && judged.stableOutcomes >= kLeastOutcomes)
        judged.verdict = judged.bounds.lowerChance > kSure && !doubt ? Verdict::advance : Verdict::hold;
    return judged;
}

}  // namespace lichenlanding::verdict
