/// Whether a majority of the open epoch's members is in reach: pings, their answers, and what follows.
///
/// Runs on the event loop's thread. Out of contact nothing is confirmed, no lease is kept, and what is told
/// to proxies is told as not sure. Answers are dated by when their ping was sent, so a standstill of this
/// process never looks like contact.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/bootstrap_settings.hpp"
#include "control_plane/epoch_tracker.hpp"
#include "control_plane/learner.hpp"
#include "control_plane/peer_directory.hpp"

namespace lichenlanding::control_plane {

/// Without a message for so long, a replica that is no member is not counted on.
inline constexpr Nanos kSilentAfter = 1000 * transport::kMillisecond;

class QuorumContactMonitor {
  public:
    struct Hooks {
        std::function<void()> onContactChanged;
        std::function<void()>
            onReachable;  ///< a majority answers, and contact is not there: keys must be read
    };
    QuorumContactMonitor(const config::BootstrapSettings& boot, PeerDirectory& peers, ReplicaStorage& storage,
                         EpochTracker& epochs, Learner& learner, Hooks hooks);

    /// A majority answers, and every key was read from a majority since that is so.
    bool hasContact() const { return hasContact_; }
    /// Every key was read: contact is there from now on. Only where isReachable().
    void establish();
    /// A majority of the open epoch has answered of late, with the disks that it names.
    bool isReachable() const;
    /// A majority of an epoch that may not be open yet was heard of late, with the disks that it names.
    bool isMajorityHeard(const consensus::Epoch& epoch) const;
    /// This peer is connected and has answered a ping of late.
    bool isPeerReachable(const std::string& address) const;
    Nanos contactSince() const {
        return contactSince_;
    }  ///< when no majority was in reach, for the last time
    bool isLeaving() const { return leaving_; }

    /// Looks whether contact is lost, or can be had again.
    void check();
    /// Tells all peers that this process is about to end.
    void announceLeaving();
    /// A ping to every peer, with the own status where that is new.
    void pingAll();
    /// A ping with the own status.
    void ping(transport::PeerConnection& connection) const;
    PeerStatus status() const;  ///< of this replica

    void noteStatus(const PeerStatus& status);  ///< ignored where it is this replica's own
    void handlePing(const Ping& ping, transport::PeerConnection& connection);
    void handlePong(const Pong& pong, transport::PeerConnection& connection);

  private:
    Ping makePing(bool withStatus) const;
    AcceptedNumbers acceptedNumbers() const;
    bool answeredLately(const Peer& peer) const;
    bool isReachable(const consensus::Member& member) const;
    void checkOwnIdentity(const Pong& pong);
    void noteAccepted(const AcceptedNumbers& accepted);

    const config::BootstrapSettings& boot_;
    const std::string address_;
    PeerDirectory& peers_;
    ReplicaStorage& storage_;
    EpochTracker& epochs_;
    Learner& learner_;
    Hooks hooks_;
    bool hasContact_ = false, hadContact_ = false, leaving_ = false;
    Nanos contactSince_;
    std::optional<PeerStatus> statusSent_;  // what all connected peers were last told
};

}  // namespace lichenlanding::control_plane
