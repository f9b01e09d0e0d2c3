#include "membership/replica_lag.hpp"

#include <algorithm>

namespace lichenlanding::membership {

void ReplicaLag::noteInForce(const consensus::ProposalNumber& number, Nanos now) {
    if (history_.empty()) {
        history_.push_back({number, now - horizon_});
    } else if (number > history_.back().number) {
        history_.push_back({number, now});
        dropBeyondHorizon(now);
    }
}

// A copy that lacks an entry beyond the horizon lacks its successor as well.
void ReplicaLag::dropBeyondHorizon(Nanos now) {
    while (history_.size() > 1 && history_[1].since <= now - horizon_) history_.pop_front();
}

Nanos ReplicaLag::of(const consensus::ProposalNumber& accepted, Nanos now) const {
    const auto missing =
        std::upper_bound(history_.begin(), history_.end(), accepted,
                         [](const auto& number, const InForce& inForce) { return number < inForce.number; });
    return missing == history_.end() ? 0 : now - missing->since;
}

}  // namespace lichenlanding::membership
