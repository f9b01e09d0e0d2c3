// The stages of a rollout: what the voters' word and the time since the order make of it. Pure; spans in
// milliseconds of wall clock, as the order's term is told.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "state.hpp"

namespace lichenlanding::verdict {

constexpr std::size_t voterCount = 3;
constexpr Nanos countsEvery = 1'000'000'000;  // running totals go to the voters
constexpr Nanos urgentEvery = 250'000'000;    // and sooner once bad answers have come
constexpr Nanos judgeEvery = 500'000'000;     // a voter judges no more often
constexpr Nanos voteLife = 1'500'000'000;     // a vote that has not been said again by then is none

enum Stage : int { share = 0, rehearsal = 1, all = 2 };

struct Ballots {
    std::size_t voters = 0;  // that there are, not those that have voted
    std::size_t on = 0;      // said of the order's present stage
    std::size_t back = 0;    // said of any stage
};

struct Move {
    bool completed = false, rolledBack = false;  // else on to the next stage
    const char* why = "";
};

// What is to be done now, if anything. `elapsed` since the order, `inStage` since the stage began.
std::optional<Move> nextMove(int stage, const Ballots& ballots, std::int64_t elapsed, std::int64_t inStage,
                             std::int64_t term);

}  // namespace lichenlanding::verdict
