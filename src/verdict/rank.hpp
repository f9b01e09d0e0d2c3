/// The rank test on binned latencies, for the sidecar's decisions and the gateway's voters. Pure: chance
/// comes in as an argument. Mechanism and source: docs/design.md.
#pragma once

#include <random>
#include <vector>

namespace lichenlanding::verdict {

using Bins = std::vector<double>;  ///< counts, 0 or more, from the quickest to the slowest

/// The imprecise Dirichlet rank-sum test on binned samples: the chances that P(X <= Y) passes the bar under
/// the lower and the upper bound, and both bounds' means.
struct RankBounds {
    double lowerChance = 0, upperChance = 0, lowerMean = 0, upperMean = 0;
};
RankBounds rankTest(const Bins& x, const Bins& y, double bar, int times, std::mt19937& chance);

/// Ranks coarsened to two: well and not.
Bins inTwo(double bad, double all);

}  // namespace lichenlanding::verdict
