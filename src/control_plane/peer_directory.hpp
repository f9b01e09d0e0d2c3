/// The other replicas: the last status received from each, and the connection for messages to it.
///
/// Runs on the event loop's thread. Times are transport::now().
#pragma once

#include <map>
#include <memory>
#include <string>

#include "control_plane/peer_messages.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::control_plane {

struct Peer {
    consensus::Member member;  ///< the address is "" until a status is received; a pong alone has none
    bool eligible = false, leaving = false;
    bool isMember = false;  ///< a member of the newest epoch on its disk
    std::uint64_t epoch = 0;
    AcceptedNumbers accepted;
    Nanos lastMessageAt = 0;       ///< when any message was last received; 0: never
    Nanos answeredPingSentAt = 0;  ///< send time of the newest ping that it has answered; 0: none
};

class PeerDirectory {
  public:
    const std::map<std::string, Peer>& peers() const { return peers_; }  ///< by address
    const Peer* find(const std::string& address) const;                  ///< null if unknown

    void update(const PeerStatus& status, Nanos now);
    void update(const Pong& pong, Nanos now);
    /// For a ping without a status. Ignored if the sender is unknown.
    void update(const Ping& ping, Nanos now);

    void connect(const std::string& address, std::shared_ptr<transport::PeerConnection> connection);
    void disconnect(const std::string& address) { connections_.erase(address); }
    /// Null if none is open.
    std::shared_ptr<transport::PeerConnection> connection(const std::string& address) const;
    std::size_t connectedCount() const { return connections_.size(); }
    /// Sends to every connected peer.
    void broadcast(const transport::EncodedMessage& message) const;

  private:
    std::map<std::string, Peer> peers_;
    std::map<std::string, std::shared_ptr<transport::PeerConnection>> connections_;  // by address
};

}  // namespace lichenlanding::control_plane
