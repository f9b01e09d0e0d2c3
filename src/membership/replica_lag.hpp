/// How far a replica's copy of one register is behind the values in force.
///
/// Values may come into force faster than replicas report what they have stored, so that no report ever shows
/// the newest one. The lag of a copy is therefore a time, not a difference of proposal numbers.
///
/// Pure: time is an argument, in nanoseconds of one monotonic clock. Not thread-safe.
#pragma once

#include <deque>

#include "consensus/consensus.hpp"
#include "state.hpp"

namespace lichenlanding::membership {

class ReplicaLag {
  public:
    /// Lags below `horizon` are exact; a longer lag is at least `horizon`.
    explicit ReplicaLag(Nanos horizon) : horizon_(horizon) {}

    /// Records that a value with this number is in force. A number that is not above the last one is ignored.
    /// The first value may have been in force for any time before, and counts as older than the horizon.
    void noteInForce(const consensus::ProposalNumber& number, Nanos now);

    /// For how long a copy that has accepted `accepted` has lacked a value in force; 0 if it lacks none.
    Nanos of(const consensus::ProposalNumber& accepted, Nanos now) const;

  private:
    struct InForce {
        consensus::ProposalNumber number;
        Nanos since;
    };
    void dropBeyondHorizon(Nanos now);

    Nanos horizon_;
    std::deque<InForce> history_;  // in rising order; the first entry is the oldest that can still matter
};

}  // namespace lichenlanding::membership
