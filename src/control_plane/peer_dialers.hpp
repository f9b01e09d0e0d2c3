// Outgoing connections to the other control plane processes, one dialer for each address.
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
    /// `self`: this process's own address, which is never dialled. `owner` gets the connections' events.
    PeerDialers(transport::asio::io_context& io, std::string self,
                std::shared_ptr<transport::PeerConnection::Callbacks> owner)
        : io_(io), self_(std::move(self)), owner_(std::move(owner)) {}

    /// Keeps a connection to `address` from now on.
    void dial(const std::string& address);
    /// `address` has just been heard of, so it is up: no pause before the next attempt.
    void retryNow(const std::string& address);

    bool dials(const std::string& address) const { return dialers_.contains(address); }
    /// Null where it is not open.
    std::shared_ptr<transport::PeerConnection> connectionTo(const std::string& address) const;
    /// Addresses of the open connections.
    std::vector<std::string> connected() const;
    void broadcast(const transport::EncodedMessage& message) const;

  private:
    transport::asio::io_context& io_;
    const std::string self_;
    std::shared_ptr<transport::PeerConnection::Callbacks> owner_;
    std::map<std::string, std::shared_ptr<transport::Dialer>> dialers_;  // by address
};

}  // namespace lichenlanding::control_plane
