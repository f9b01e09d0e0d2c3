/// The stages of a rollout and the transitions between them, by votes and by the time since the rollout was
/// ordered. Pure. Durations are in milliseconds, like the order's term, and measured with steady clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "state.hpp"

namespace lichenlanding::verdict {

constexpr std::size_t kVoterCount = 3;
constexpr Nanos kCountsInterval = 1'000'000'000;      ///< between sends of running totals to the voters
constexpr Nanos kUrgentCountsInterval = 250'000'000;  ///< the same after a failure of the canary
constexpr Nanos kEvaluationInterval = 500'000'000;    ///< minimum, between evaluations by a voter
constexpr Nanos kVoteTtl = 1'500'000'000;             ///< a vote that is not renewed expires

/// The stage of a running rollout. The numbers are used on the wire and in the register.
enum Stage : int {
    canary = 0,            ///< the canary gets a share of the traffic
    fullTrafficTrial = 1,  ///< the canary gets all traffic for a moment
    allTraffic = 2,        ///< the canary gets all traffic, before the old hosts are released
};

struct VoteCounts {
    std::size_t voters = 0;    ///< number of voters, whether they have voted or not
    std::size_t advance = 0;   ///< votes to advance the current stage
    std::size_t rollBack = 0;  ///< votes to roll back, of any stage
    std::size_t stable = 0;    ///< votes that the target is in service already, of any stage
    bool mostUnheard = false;  ///< most voters have never voted on this rollout
};

/// The end of a stage: the rollout is completed, rolled back or, if neither, advances to the next stage.
struct StageTransition {
    bool completed = false, rolledBack = false;
    const char* reason = "";
};

/// The transition that is due now, if any. `elapsed`: time since the order; `inStage`: since the stage began;
/// `term`: after which an undecided rollout is rolled back, though not before most voters have been heard:
/// only they know whether the target is in service already.
std::optional<StageTransition> nextTransition(int stage, const VoteCounts& votes, std::int64_t elapsed,
                                              std::int64_t inStage, std::int64_t term);

/// The age of a rollout order in milliseconds.
struct OrderAge {
    std::int64_t order = 0;    ///< since the order was given
    int stage = 0;             ///< the current stage
    std::int64_t inStage = 0;  ///< since that stage began
    bool operator==(const OrderAge&) const = default;
};

/// Ages of the running orders, advanced by the local steady clock from ages that were received: from the
/// register (as of its last write) and from other control nodes. Of two ages the larger one is used, since an
/// age can only get too small on its way.
class OrderAges {
  public:
    void merge(const std::string& order, const OrderAge& received, Nanos now);
    OrderAge ageOf(const std::string& order, Nanos now) const;  ///< zero if the order is unknown
    void retainOnly(const std::set<std::string>& running);      ///< drops all others

  private:
    struct StartTimes {
        Nanos order = 0, stage = 0;  // when the order was given, when the stage began
        int stageNumber = 0;         // the stage
    };
    std::map<std::string, StartTimes> startTimes_;
};

}  // namespace lichenlanding::verdict
