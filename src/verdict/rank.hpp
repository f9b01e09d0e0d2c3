/// The rank test on binned latencies, used by the sidecar's policy and the gateway's voters. Pure functions:
/// the random generator is an argument. Mechanism and source: docs/design.md.
#pragma once

#include <random>
#include <vector>

namespace lichenlanding::verdict {

using Bins = std::vector<double>;  ///< non-negative counts, from the fastest to the slowest

/// Result of rankTest(): the probabilities that the lower and the upper bound of P(X <= Y) exceed the
/// threshold, and the means of both bounds.
struct RankBounds {
    double lowerChance = 0, upperChance = 0, lowerMean = 0, upperMean = 0;
};
/// The imprecise Dirichlet rank-sum test on binned samples, estimated by `draws` random draws.
RankBounds rankTest(const Bins& x, const Bins& y, double threshold, int draws, std::mt19937& random);

/// Two bins: outcomes that are not `bad`, and those that are.
Bins twoBins(double bad, double all);

}  // namespace lichenlanding::verdict
