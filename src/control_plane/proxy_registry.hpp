// The proxies that are connected to this control node. Sends them the roster, by which they find each other.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control_plane/link_messages.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::control_plane {

struct ConnectedProxy {
    std::shared_ptr<transport::PeerConnection> connection;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint32_t acknowledgedVersion = 0;  ///< of the configuration, as last acknowledged
    std::set<std::string> lostBy;           ///< names of proxies that watch it and have lost contact with it
};

/// Runs on the event loop's thread.
class ProxyRegistry {
  public:
    explicit ProxyRegistry(transport::asio::io_context& io) : io_(io) {}

    void onHello(transport::PeerConnection& connection, const Hello& hello);
    void onDisconnected(const transport::PeerConnection& connection);
    void onAcknowledgement(const std::string& proxy, std::uint32_t version);
    /// Called when `reporter`, which watches `proxy`, has lost contact with it.
    void onLost(const std::string& proxy, const std::string& reporter);

    void broadcast(const transport::EncodedMessage& message) const;
    const std::map<std::string, ConnectedProxy>& proxies() const { return proxies_; }  ///< by name
    std::vector<std::string> names() const;

  private:
    void scheduleRoster();
    transport::Task<> sendRoster();

    transport::asio::io_context& io_;
    std::map<std::string, ConnectedProxy> proxies_;
    bool rosterScheduled_ = false;
};

}  // namespace lichenlanding::control_plane
