/// How the gateway's proxies judge a new version of a service: each counts outcomes into a latency histogram
/// for each side and route, sends running totals to the voters, and a voter judges the sums of all.
///
/// Pure: times (nanoseconds) and chance come in as arguments. Ranks and bounds are those of verdict/rank.hpp.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "state.hpp"
#include "verdict/rank.hpp"

namespace lichenlanding::verdict {

constexpr int kRolloutBins = 12;  ///< the last one: later than the target latency by far, errors, time-outs

/// The bin for an answer that took `took`, on a route of target latency `target` (> 0).
int histogramBin(Nanos took, Nanos target);

struct Counts {
    std::array<std::uint32_t, kRolloutBins> bins{};
    std::uint32_t failures = 0;  ///< of those in the last bin: errors and time-outs

    void count(Nanos took, Nanos target, bool failed);
    std::uint32_t total() const;
};

/// Of one rollout: by route, the new side and the earlier one.
using Totals = std::map<std::string, std::array<Counts, 2>>;

/// What a voter holds of one rollout. Totals of a sender replace its earlier ones, so a message that comes
/// twice, late or not at all counts nothing twice.
class TotalsAggregator {
  public:
    /// `life` is drawn at each start of the sender; a sender of a new life keeps what its earlier one
    /// counted.
    void update(const std::string& sender, std::uint64_t life, std::uint64_t number, Totals totals);
    Totals sum() const;

  private:
    struct Sender {
        std::uint64_t number = 0;
        Totals totals;
    };
    std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;
};

struct CanaryEvaluation {
    Verdict verdict = Verdict::none;
    RankBounds bounds;  ///< of all routes together
    std::uint32_t canaryOutcomes = 0, stableOutcomes = 0, canaryFailures = 0;
};

/// 'on' from the lower bound, 'back' from the upper one, 'hold' while neither; none below the least outcomes.
CanaryEvaluation evaluateCanary(const Totals& sums, std::mt19937& chance);

}  // namespace lichenlanding::verdict
