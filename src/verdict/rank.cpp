#include "verdict/rank.hpp"  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include <algorithm>

namespace lichenlanding::verdict {
namespace {

constexpr double kPriorStrength = 0.41421356237309515;  // s = sqrt(2) - 1

// Draws Dirichlet weights with parameters s for the unobserved value (first) and each bin's count.
Bins drawWeights(const Bins& counts, std::mt19937& random) {
    Bins drawn(counts.size() + 1);
    double sum = 0;
    for (std::size_t at = 0; at < drawn.size(); ++at) {
        const double shape = at == 0 ? kPriorStrength : counts[at - 1];
        drawn[at] = shape > 0 ? std::gamma_distribution<double>(shape, 1)(random) : 0;
        sum += drawn[at];
    }
    for (auto& weight : drawn) weight /= sum > 0 ? sum : 1;
    return drawn;
}

}  // namespace

Bins twoBins(double bad, double all) { return {std::max(all - bad, 0.0), bad}; }

RankBounds rankTest(const std::vector<double>& x, const std::vector<double>& y, double threshold, int draws,
                    std::mt19937& random) {
    RankBounds bounds;
    for (int draw = 0; draw < draws; ++draw) {
        const auto w = drawWeights(x, random), v = drawWeights(y, random);
        double lower = 0, slower = 1 - v[0];  // slower: weight of the Y slower than this bin
        for (std::size_t bin = 1; bin < w.size(); ++bin) {
            slower -= v[bin];
            lower += w[bin] * (std::max(slower, 0.0) + v[bin] / 2);
        }
        const double upper = w[0] * v[0] + w[0] * (1 - v[0]) + v[0] * (1 - w[0]) + lower;
        bounds.lowerChance += lower > threshold;
        bounds.upperChance += upper > threshold;
        bounds.lowerMean += lower;
        bounds.upperMean += upper;
    }
    for (auto* value : {&bounds.lowerChance, &bounds.upperChance, &bounds.lowerMean, &bounds.upperMean})
        *value /= draws;
    return bounds;
}  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::verdict
