/// The other replicas: what each last told of itself, and the connection that replies come back on.
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
    consensus::Member member;  ///< its address is "" where only a pong of it has come yet
    bool eligible = false, leaving = false;
    bool isMember = false;  ///< of the newest epoch on its disk
    std::uint64_t epoch = 0;
    AcceptedNumbers accepted;
    Nanos heardAt = 0;     ///< any message of it; 0: none
    Nanos answeredAt = 0;  ///< when the last ping that it answered was sent; 0: none
};

class PeerDirectory {
  public:
    const std::map<std::string, Peer>& peers() const { return peers_; }  ///< by address
    const Peer* find(const std::string& address) const;                  ///< null: never heard of

    void update(const PeerStatus& status, Nanos now);
    void update(const Pong& pong, Nanos now);
    /// A ping without a status; ignored where nothing is known of its sender.
    void update(const Ping& ping, Nanos now);

    void connect(const std::string& address, std::shared_ptr<transport::PeerConnection> connection);
    void disconnect(const std::string& address) { connections_.erase(address); }
    std::shared_ptr<transport::PeerConnection> connection(const std::string& address) const;  ///< or null
    std::size_t connectedCount() const { return connections_.size(); }
    /// Sends to every connected peer.
    void broadcast(const transport::EncodedMessage& message) const;

  private:
    std::map<std::string, Peer> peers_;
    std::map<std::string, std::shared_ptr<transport::PeerConnection>> connections_;  // by address
};

}  // namespace lichenlanding::control_plane
