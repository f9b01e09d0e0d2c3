#include "subscription/quorum_contact.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::subscription {

QuorumContact::Change QuorumContact::onControlNodeMessage(const std::string& controlNode, bool confirmed,
                                                          Nanos now) {
    controlNodes_[controlNode] = confirmed;
    return reevaluate(now);
}

QuorumContact::Change QuorumContact::onControlNodeDisconnected(const std::string& controlNode, Nanos now) {
    controlNodes_.erase(controlNode);
    return reevaluate(now);
}

bool QuorumContact::reachesQuorumContact() const {
    return std::any_of(controlNodes_.begin(), controlNodes_.end(),
                       [](const auto& node) { return node.second; });
}

QuorumContact::Change QuorumContact::reevaluate(Nanos now) {
    if (reachesQuorumContact()) {
        unconfirmedSince_ = -1, fallbackRequested_ = false;
        return std::exchange(reportedUnconfirmed_, false) ? Change::confirmed : Change::none;
    }
    if (controlNodes_.empty()) return Change::none;
    if (unconfirmedSince_ < 0) unconfirmedSince_ = now;
    return std::exchange(reportedUnconfirmed_, true) ? Change::none : Change::unconfirmed;
}

bool QuorumContact::acceptsUpdates(bool confirmed, bool hasConfiguration, Nanos now) {
    if (confirmed || hasConfiguration) return true;
    if (unconfirmedSince_ < 0 && !reachesQuorumContact())
        unconfirmedSince_ = now;  // from another proxy, while no control node is connected
    return hasWaitedLongEnough(now);
}

bool QuorumContact::waitElapsed(bool hasConfiguration, Nanos now) {
    if (fallbackRequested_ || hasConfiguration || !hasWaitedLongEnough(now)) return false;
    return fallbackRequested_ = true;
}

}  // namespace lichenlanding::subscription
