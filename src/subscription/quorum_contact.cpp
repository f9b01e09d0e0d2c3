#include "subscription/quorum_contact.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::subscription {

QuorumContact::Change QuorumContact::heard(const std::string& controlNode, bool sure, Nanos now) {
    controlNodes_[controlNode] = sure;
    return changed(now);
}

QuorumContact::Change QuorumContact::onPeerDisconnected(const std::string& controlNode, Nanos now) {
    controlNodes_.erase(controlNode);
    return changed(now);
}

bool QuorumContact::reached() const {
    return std::any_of(controlNodes_.begin(), controlNodes_.end(),
                       [](const auto& one) { return one.second; });
}

QuorumContact::Change QuorumContact::changed(Nanos now) {
    if (reached()) {
        aloneSince_ = -1, asked_ = false;
        return std::exchange(doubted_, false) ? Change::sure : Change::none;
    }
    if (controlNodes_.empty()) return Change::none;
    if (aloneSince_ < 0) aloneSince_ = now;
    return std::exchange(doubted_, true) ? Change::none : Change::unsure;
}

bool QuorumContact::takes(bool sure, bool holding, Nanos now) {
    if (sure || holding) return true;
    if (aloneSince_ < 0 && !reached()) aloneSince_ = now;  // a neighbour's, with no control node in reach
    return waitOver(now);
}

bool QuorumContact::waited(bool holding, Nanos now) {
    if (asked_ || holding || !waitOver(now)) return false;
    return asked_ = true;
}

}  // namespace lichenlanding::subscription
