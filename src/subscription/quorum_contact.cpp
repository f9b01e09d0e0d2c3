#include "subscription/quorum_contact.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::callboard {

Confidence::Change Confidence::heard(const std::string& prompter, bool sure, Nanos now) {
    prompters_[prompter] = sure;
    return changed(now);
}

Confidence::Change Confidence::parted(const std::string& prompter, Nanos now) {
    prompters_.erase(prompter);
    return changed(now);
}

bool Confidence::reached() const {
    return std::any_of(prompters_.begin(), prompters_.end(), [](const auto& one) { return one.second; });
}

Confidence::Change Confidence::changed(Nanos now) {
    if (reached()) {
        aloneSince_ = -1, asked_ = false;
        return std::exchange(doubted_, false) ? Change::sure : Change::none;
    }
    if (prompters_.empty()) return Change::none;
    if (aloneSince_ < 0) aloneSince_ = now;
    return std::exchange(doubted_, true) ? Change::none : Change::unsure;
}

bool Confidence::takes(bool sure, bool holding, Nanos now) {
    if (sure || holding) return true;
    if (aloneSince_ < 0 && !reached()) aloneSince_ = now;  // a neighbour's, with no prompter in reach
    return waitOver(now);
}

bool Confidence::waited(bool holding, Nanos now) {
    if (asked_ || holding || !waitOver(now)) return false;
    return asked_ = true;
}

}  // namespace lichenlanding::callboard
