/// Decides whether a proxy accepts the updates it receives.
///
/// A control node without contact to a majority marks its messages as unconfirmed (the field "sure" is
/// false): their content was in force once, but may be outdated. That is harmless for a proxy that has a
/// configuration: as always it applies only what is newer than its own. A proxy without one cannot tell how
/// old such updates are, and accepts them only if, after a short wait, it reaches no control node with quorum
/// contact.
///
/// Pure: steady time is an argument. Not thread-safe.
#pragma once

#include <map>
#include <string>

#include "state.hpp"

namespace lichenlanding::subscription {

class QuorumContact {
  public:
    /// How long to wait for a control node with quorum contact once only unconfirmed updates are available.
    static constexpr Nanos kUnconfirmedWait = 1'500'000'000;
    /// The change of whether any connected control node has quorum contact.
    enum class Change { none, unconfirmed, confirmed };

    /// `confirmed`: the control node states that it has contact to a majority.
    Change onControlNodeMessage(const std::string& controlNode, bool confirmed, Nanos now);
    Change onControlNodeDisconnected(const std::string& controlNode, Nanos now);
    /// Whether to process a message. `confirmed`: its sender, a control node or a proxy, marked it as
    /// confirmed. `hasConfiguration`: this proxy already has a configuration.
    bool acceptsUpdates(bool confirmed, bool hasConfiguration, Nanos now);
    /// With true: the proxy's state was received in or confirmed by a confirmed message.
    void markConfirmed(bool confirmed) { confirmed_ = confirmed_ || confirmed; }
    /// True once, when the wait is over: request the state again from the connected control nodes.
    bool waitElapsed(bool hasConfiguration, Nanos now);
    bool isConfirmed() const { return confirmed_; }

  private:
    Change reevaluate(Nanos now);
    bool hasWaitedLongEnough(Nanos now) const {
        return unconfirmedSince_ >= 0 && now - unconfirmedSince_ >= kUnconfirmedWait;
    }
    bool reachesQuorumContact() const;

    std::map<std::string, bool> controlNodes_;  // connected ones, and whether each has quorum contact
    bool confirmed_ = false;                    // see markConfirmed()
    bool reportedUnconfirmed_ = false;          // the last Change reported was `unconfirmed`
    bool fallbackRequested_ = false;
    Nanos unconfirmedSince_ = -1;  // since when only unconfirmed updates are available; -1: not
};

}  // namespace lichenlanding::subscription
