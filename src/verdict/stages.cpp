#include "verdict/stages.hpp"

namespace lichenlanding::verdict {
namespace {

constexpr double watchPart = 0.55;        // of the term, that a version is watched with its share at least
constexpr std::int64_t rehearsed = 1400;  // the rehearsal, and until its outcomes are judged
constexpr std::int64_t moved = 2500;      // with all traffic, before the old pods are let go
constexpr std::int64_t undecided = 700;   // before the term, so that it is told in time

}  // namespace

std::optional<Move> nextMove(int stage, const Ballots& ballots, std::int64_t elapsed, std::int64_t inStage,
                             std::int64_t term) {
    const auto majority = ballots.voters / 2 + 1;
    if (ballots.voters > 0 && ballots.back >= majority) return Move{false, true, "voters"};
    const bool on = ballots.voters > 0 && ballots.on >= majority;
    if (stage == share && on && static_cast<double>(elapsed) >= watchPart * static_cast<double>(term))
        return Move{false, false, "voters"};
    if (stage == rehearsal && on && inStage >= rehearsed)
        return Move{false, false, "voters, after the rehearsal"};
    if (stage == all && on && inStage >= moved) return Move{true, false, "voters, with all traffic"};
    if (elapsed >= term - undecided) return Move{false, true, "undecided at its term"};
    return std::nullopt;
}

}  // namespace lichenlanding::verdict
