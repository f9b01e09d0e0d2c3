#include "verdict/rank.hpp"  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include <algorithm>

namespace lichenlanding::verdict {
namespace {

constexpr double kStrength = 0.41421356237309515;  // s = sqrt(2) - 1

// One draw of Dirichlet weights: s on the unseen point (first), then each bin's count.
Bins weights(const Bins& counts, std::mt19937& chance) {
    Bins drawn(counts.size() + 1);
    double sum = 0;
    for (std::size_t at = 0; at < drawn.size(); ++at) {
        const double shape = at == 0 ? kStrength : counts[at - 1];
        drawn[at] = shape > 0 ? std::gamma_distribution<double>(shape, 1)(chance) : 0;
        sum += drawn[at];
    }
    for (auto& weight : drawn) weight /= sum > 0 ? sum : 1;
    return drawn;
}

}  // namespace

Bins inTwo(double bad, double all) { return {std::max(all - bad, 0.0), bad}; }

RankBounds rankTest(const std::vector<double>& x, const std::vector<double>& y, double bar, int times,
                    std::mt19937& chance) {
    RankBounds bounds;
    for (int draw = 0; draw < times; ++draw) {
        const auto w = weights(x, chance), v = weights(y, chance);
        double lower = 0, slower = 1 - v[0];  // slower: weight of the Y that are slower than the bin at hand
        for (std::size_t bin = 1; bin < w.size(); ++bin) {
            slower -= v[bin];
            lower += w[bin] * (std::max(slower, 0.0) + v[bin] / 2);
        }
        const double upper = w[0] * v[0] + w[0] * (1 - v[0]) + v[0] * (1 - w[0]) + lower;
        bounds.lowerChance += lower > bar;
        bounds.upperChance += upper > bar;
        bounds.lowerMean += lower;
        bounds.upperMean += upper;
    }
    for (auto* figure : {&bounds.lowerChance, &bounds.upperChance, &bounds.lowerMean, &bounds.upperMean})
        *figure /= times;
    return bounds;
}  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::verdict
