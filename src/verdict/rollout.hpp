/// Evaluation of a new version of a service (the canary) by the gateway's proxies. Each proxy counts outcomes
/// in a latency histogram per route and side, and sends running totals to the voters. A voter evaluates the
/// sums.
///
/// Pure: times (nanoseconds) and the random generator are arguments. Uses the rank test of verdict/rank.hpp.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "state.hpp"
#include "verdict/rank.hpp"

namespace lichenlanding::verdict {

constexpr int kRolloutBins = 12;  ///< the last one: far above the target latency, errors and time-outs

/// The bin of a response after `latency` on a route with target latency `target` (> 0).
int histogramBin(Nanos latency, Nanos target);

/// Outcomes on one route and side.
struct Counts {
    std::array<std::uint32_t, kRolloutBins> bins{};
    std::uint32_t failures = 0;  ///< errors and time-outs, which are also in the last bin

    void count(Nanos latency, Nanos target, bool failed);
    std::uint32_t total() const;
};

/// Outcomes of one rollout by route: the canary's and the stable version's.
using Totals = std::map<std::string, std::array<Counts, 2>>;

/// A voter's sums for one rollout. Totals of a sender replace its earlier ones, so duplicated, late or lost
/// messages count nothing twice.
class TotalsAggregator {
  public:
    /// `incarnation` is random at each start of the sender. What earlier incarnations counted is kept.
    /// `number` increases with each message of an incarnation; totals with an old one are ignored.
    void update(const std::string& sender, std::uint64_t incarnation, std::uint64_t number, Totals totals);
    Totals sum() const;

  private:
    struct Sender {
        std::uint64_t number = 0;
        Totals totals;
    };
    std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;  // by name and incarnation
};

/// A voter's verdict on a canary and the figures behind it.
struct CanaryEvaluation {
    Verdict verdict = Verdict::none;
    RankBounds bounds;  ///< over all routes together
    std::uint32_t canaryOutcomes = 0, stableOutcomes = 0, canaryFailures = 0;
};

/// Verdict::advance by the lower bound, rollBack by the upper one, hold if neither is conclusive, and none
/// with too few outcomes.
CanaryEvaluation evaluateCanary(const Totals& sums, std::mt19937& random);

}  // namespace lichenlanding::verdict
