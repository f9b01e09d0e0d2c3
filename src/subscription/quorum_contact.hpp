/// Whether a proxy goes by what it is told.
///
/// A control node that is out of contact with a majority says so in each message (the field "sure" is false):
/// what it tells was in force once, and may be so no more. For a proxy that holds a configuration this does
/// no harm: it takes what is higher than its own, as always, and nothing else. One that holds none cannot
/// tell how old such updates are, and takes them only where after a short wait no control node in contact is
/// in reach.
///
/// Pure; one thread: steady time comes in as an argument.
#pragma once

#include <map>
#include <string>

#include "state.hpp"

namespace lichenlanding::subscription {

class QuorumContact {
  public:
    /// For a control node in contact, from when unconfirmed updates could first be had.
    static constexpr Nanos kUnconfirmedWait = 1'500'000'000;
    /// Of whether any control node in contact with a majority is in reach.
    enum class Change { none, unconfirmed, confirmed };

    /// `confirmed`: the control node says that it is in contact with a majority.
    Change onControlNodeMessage(const std::string& controlNode, bool confirmed, Nanos now);
    Change onControlNodeDisconnected(const std::string& controlNode, Nanos now);
    /// Whether a message is looked at. `confirmed`: its sender, a control node or a proxy, says that what it
    /// tells is. `holding`: this proxy has a configuration already.
    bool acceptsUpdates(bool confirmed, bool holding, Nanos now);
    /// What is held has come, or was confirmed, by a confirmed message.
    void markConfirmed(bool confirmed) { confirmed_ = confirmed_ || confirmed; }
    /// True once, when the wait is over: the control nodes in reach are to be asked again.
    bool waitElapsed(bool holding, Nanos now);
    bool isConfirmed() const { return confirmed_; }

  private:
    Change changed(Nanos now);
    bool hasWaitedLongEnough(Nanos now) const {
        return unconfirmedSince_ >= 0 && now - unconfirmedSince_ >= kUnconfirmedWait;
    }
    bool reached() const;

    std::map<std::string, bool> controlNodes_;  // in reach, and whether each is in contact
    bool confirmed_ = false;                    // what is held was told by one in contact
    bool reportedUnconfirmed_ = false;          // by the last Change
    bool fallbackRequested_ = false;
    Nanos unconfirmedSince_ = -1;  // since when only unconfirmed updates could be had
};

}  // namespace lichenlanding::subscription
