/// A proxy's connections to control nodes and other proxies: dials them, keeps them open and records the kind
/// of the peer. Used from one thread: the proxy's event loop.
#pragma once

#include <map>
#include <set>

#include "config/bootstrap_settings.hpp"
#include "proxy/peer_messages.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::proxy {

class PeerConnections {
  public:
    /// Callbacks for connection events. None may be null.
    struct Listener {
        std::function<void(transport::PeerConnection&, const Json&)> message;  ///< every message but "hello"
        /// Called once when an open connection has ended.
        std::function<void(transport::PeerConnection&)> closed;
    };

    /// `settings` must outlive this object and may change on reload. `incarnation` is drawn at each start of
    /// the process.
    PeerConnections(transport::asio::io_context& io, const config::BootstrapSettings& settings,
                    std::uint64_t incarnation, Listener listener);

    /// Accepts connections of other proxies until the acceptor is closed.
    transport::Task<> serve(transport::tcp::acceptor& acceptor);
    /// Dials the configured control nodes. Each one's "hello" lists all the others, which are then dialled
    /// too.
    void dialSeeds();
    /// Keeps connections to exactly these proxies, given by address; closes all others.
    void setPeers(const std::set<std::string>& addresses);

    /// All open connections to control nodes.
    std::vector<std::shared_ptr<transport::PeerConnection>> controlNodes() const;
    /// The open connection to a proxy; null: none.
    std::shared_ptr<transport::PeerConnection> peer(const std::string& address) const;
    void sendToControlNodes(const Json& message) const;

    static bool isControlNode(const transport::PeerConnection& connection);
    static bool isProxy(const transport::PeerConnection& connection);

  private:
    void dialControlNode(const std::string& address);
    void onMessage(transport::PeerConnection& from, const Json& message);
    std::shared_ptr<transport::Dialer> dial(const std::string& address) const;

    transport::asio::io_context& io_;
    const config::BootstrapSettings& settings_;
    const std::uint64_t incarnation_;
    Listener listener_;
    std::shared_ptr<transport::PeerConnection::Callbacks> callbacks_;
    std::map<std::string, std::shared_ptr<transport::Dialer>> controlNodes_, peers_;  // by address
};

}  // namespace lichenlanding::proxy
