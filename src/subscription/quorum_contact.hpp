// Whether a proxy goes by what it is told. A control node that is out of contact with a majority says so with
// each word ("sure": false): what it tells was in force once, and may be so no more. For a proxy that holds
// news this does no harm: it takes what is higher than its own, as always, and nothing else. One that holds
// nothing cannot tell how old such news are, and takes them only where after a short wait nobody surer is in
// reach.
//
// Pure: steady time comes in as an argument.
#pragma once

#include <map>
#include <string>

#include "state.hpp"

namespace lichenlanding::subscription {

class QuorumContact {
  public:
    // For a control node in contact, from when news that are not sure could first be had.
    static constexpr Nanos kUnconfirmedWait = 1'500'000'000;
    enum class Change { none, unconfirmed, confirmed };  // of whether anybody in contact is in reach

    // A control node's word of itself.
    Change onControlNodeMessage(const std::string& controlNode, bool confirmed, Nanos now);
    Change onControlNodeDisconnected(const std::string& controlNode, Nanos now);
    // Whether news are looked at, of a control node or a neighbour that says so of itself, by a proxy that
    // has news already
    // (`holding`) or not.
    bool acceptsUpdates(bool confirmed, bool holding, Nanos now);
    // What is held has come, or was confirmed, by such a word.
    void markConfirmed(bool confirmed) { confirmed_ = confirmed_ || confirmed; }
    // True once, when the wait is over: those in reach are to be asked again.
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
    bool reportedUnconfirmed_ = false;          // as last told
    bool fallbackRequested_ = false;
    Nanos unconfirmedSince_ = -1;  // since when only unsure news could be had
};

}  // namespace lichenlanding::subscription
