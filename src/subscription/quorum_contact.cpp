#include "subscription/quorum_contact.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::subscription {

QuorumContact::Change QuorumContact::onControlNodeMessage(const std::string& controlNode, bool confirmed,
                                                          Nanos now) {
    controlNodes_[controlNode] = confirmed;
    return changed(now);
}

QuorumContact::Change QuorumContact::onControlNodeDisconnected(const std::string& controlNode, Nanos now) {
    controlNodes_.erase(controlNode);
    return changed(now);
}

bool QuorumContact::reached() const {
    return std::any_of(controlNodes_.begin(), controlNodes_.end(),
                       [](const auto& one) { return one.second; });
}

QuorumContact::Change QuorumContact::changed(Nanos now) {
    if (reached()) {
        unconfirmedSince_ = -1, fallbackRequested_ = false;
        return std::exchange(reportedUnconfirmed_, false) ? Change::confirmed : Change::none;
    }
    if (controlNodes_.empty()) return Change::none;
    if (unconfirmedSince_ < 0) unconfirmedSince_ = now;
    return std::exchange(reportedUnconfirmed_, true) ? Change::none : Change::unconfirmed;
}

bool QuorumContact::acceptsUpdates(bool confirmed, bool holding, Nanos now) {
    if (confirmed || holding) return true;
    if (unconfirmedSince_ < 0 && !reached())
        unconfirmedSince_ = now;  // another proxy's, with no control node in reach
    return hasWaitedLongEnough(now);
}

bool QuorumContact::waitElapsed(bool holding, Nanos now) {
    if (fallbackRequested_ || holding || !hasWaitedLongEnough(now)) return false;
    return fallbackRequested_ = true;
}

}  // namespace lichenlanding::subscription
