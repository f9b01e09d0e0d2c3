/// Detects by pings whether a majority of the open epoch's members is reachable ("quorum contact").
///
/// Runs on the event loop's thread. Without contact no update is acknowledged, no lease is held, and messages
/// to proxies are marked as unconfirmed. An answer counts from the time when its ping was sent, so that a
/// stall of this process cannot look like contact.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/bootstrap_settings.hpp"
#include "control_plane/epoch_tracker.hpp"
#include "control_plane/learner.hpp"
#include "control_plane/peer_directory.hpp"

namespace lichenlanding::control_plane {

/// A non-member that has sent no message for this long counts as absent.
inline constexpr Nanos kPeerSilenceTimeout = 1000 * transport::kMillisecond;

class QuorumContactMonitor {
  public:
    struct Hooks {
        std::function<void()> onContactChanged;
        /// Called when a majority answers while there is no contact: keys must be read.
        std::function<void()> onReachable;
    };
    QuorumContactMonitor(const config::BootstrapSettings& boot, PeerDirectory& peers, ReplicaStorage& storage,
                         EpochTracker& epochs, Learner& learner, Hooks hooks);

    /// Whether a majority answers and every key was read from a majority since it does.
    bool hasContact() const { return hasContact_; }
    /// Establishes contact, after every key was read. Requires isReachable().
    void establish();
    /// Whether a majority of the open epoch has answered recently, on the disks that the epoch names.
    bool isReachable() const;
    /// Whether messages from a majority of `epoch`, which may not be open yet, were received recently, from
    /// the disks that it names.
    bool isMajorityPresent(const consensus::Epoch& epoch) const;
    /// Whether this peer is connected and has answered a ping recently.
    bool isPeerReachable(const std::string& address) const;
    /// The last time at which no majority was reachable.
    Nanos lastUnreachableAt() const { return lastUnreachableAt_; }
    bool isLeaving() const { return leaving_; }

    /// Checks whether contact is lost, or can be established again.
    void check();
    /// Notifies all peers that this process is shutting down.
    void announceLeaving();
    /// Sends a ping to every peer, with the own status if that has changed.
    void pingAll();
    /// Sends a ping with the own status.
    void ping(transport::PeerConnection& connection) const;
    PeerStatus status() const;  ///< of this replica

    void noteStatus(const PeerStatus& status);  ///< ignored if it is this replica's own
    void handlePing(const Ping& ping, transport::PeerConnection& connection);
    void handlePong(const Pong& pong, transport::PeerConnection& connection);

  private:
    Ping makePing(bool withStatus) const;
    AcceptedNumbers acceptedNumbers() const;
    bool answeredRecently(const Peer& peer) const;
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
    bool hasContact_ = false, everHadContact_ = false, leaving_ = false;
    Nanos lastUnreachableAt_;
    std::optional<PeerStatus> lastSentStatus_;  // the last status sent to all connected peers
};

}  // namespace lichenlanding::control_plane
