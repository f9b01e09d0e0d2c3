/// The stages of a rollout: what the voters' word and the time since the order make of it. Pure; spans in
/// milliseconds, as the order's term is told, each counted by somebody's steady clock.
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
constexpr Nanos kCountsInterval = 1'000'000'000;      ///< running totals go to the voters
constexpr Nanos kUrgentCountsInterval = 250'000'000;  ///< and sooner once bad answers have come
constexpr Nanos kEvaluationInterval = 500'000'000;    ///< a voter judges no more often
constexpr Nanos kVoteTtl = 1'500'000'000;             ///< a vote that has not been said again by then is none

/// Of a running rollout, as numbers on the wire and in the register.
enum Stage : int {
    canary = 0,            ///< a share of the traffic
    fullTrafficTrial = 1,  ///< all traffic for a moment
    allTraffic = 2,        ///< all traffic, before the old hosts are let go
};

struct VoteCounts {
    std::size_t voters = 0;    ///< that there are, not those that have voted
    std::size_t advance = 0;   ///< said of the order's present stage
    std::size_t rollBack = 0;  ///< said of any stage
};

struct StageTransition {
    bool completed = false, rolledBack = false;  ///< else on to the next stage
    const char* reason = "";
};

/// What is to be done now, if anything. `elapsed` since the order, `inStage` since the stage began.
std::optional<StageTransition> nextTransition(int stage, const VoteCounts& votes, std::int64_t elapsed,
                                              std::int64_t inStage, std::int64_t term);

/// How old an order is, in milliseconds.
struct OrderAge {
    std::int64_t order = 0;    ///< since it was given
    int stage = 0;             ///< that it is in
    std::int64_t inStage = 0;  ///< since that stage began
    bool operator==(const OrderAge&) const = default;
};

/// Ages of the running orders, counted on by the own steady clock from what was handed on: by the register
/// (as of its last write) and by other control nodes. Of two words the larger holds, as a span only loses on
/// its way.
class OrderAges {
  public:
    void merge(const std::string& order, const OrderAge& told, Nanos now);
    OrderAge ageOf(const std::string& order, Nanos now) const;  ///< nothing known of it: zero
    void retainOnly(const std::set<std::string>& running);      ///< forgets all others

  private:
    struct Began {
        Nanos order = 0, stage = 0;
        int at = 0;
    };
    std::map<std::string, Began> began_;
};

}  // namespace lichenlanding::verdict
