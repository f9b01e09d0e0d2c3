// Outgoing connections to the other control nodes, one dialer for each address.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/peer_connection.hpp"

namespace lichenlanding::control_plane {

/// Runs on the event loop's thread.
class PeerDialers {
  public:
    /// `self`: this process's own address, which is never dialed. `callbacks` receives the connections'
    /// events.
    PeerDialers(transport::asio::io_context& io, std::string self,
                std::shared_ptr<transport::PeerConnection::Callbacks> callbacks)
        : io_(io), self_(std::move(self)), callbacks_(std::move(callbacks)) {}

    /// Connects to `address`, and reconnects whenever the connection is lost.
    void dial(const std::string& address);
    /// Skips the backoff before the next attempt: a message from `address` shows that it is up.
    void retryNow(const std::string& address);

    bool dials(const std::string& address) const { return dialers_.contains(address); }
    /// Null if no connection is open.
    std::shared_ptr<transport::PeerConnection> connectionTo(const std::string& address) const;
    /// Addresses of the open connections.
    std::vector<std::string> connected() const;
    void broadcast(const transport::EncodedMessage& message) const;

  private:
    transport::asio::io_context& io_;
    const std::string self_;
    std::shared_ptr<transport::PeerConnection::Callbacks> callbacks_;
    std::map<std::string, std::shared_ptr<transport::Dialer>> dialers_;  // by address
};

}  // namespace lichenlanding::control_plane
