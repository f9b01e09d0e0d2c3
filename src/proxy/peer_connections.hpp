/// A proxy's connections to control nodes and to other proxies: dialled, kept and named by their kind. One
/// thread, the proxy's loop.
#pragma once

#include <map>
#include <set>

#include "config/bootstrap_settings.hpp"
#include "proxy/peer_messages.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::proxy {

class PeerConnections {
  public:
    /// What is told of connections. None of them may be null.
    struct Listener {
        std::function<void(transport::PeerConnection&, const Json&)> message;  ///< all but "hello"
        std::function<void(transport::PeerConnection&)> closed;                ///< once, of one that was open
    };

    /// `settings` outlive this and may be read anew. `life` is drawn at each start of the program.
    PeerConnections(transport::asio::io_context& io, const config::BootstrapSettings& settings,
                    std::uint64_t life, Listener listener);

    /// Takes connections of other proxies as long as the acceptor is open.
    transport::Task<> serve(transport::tcp::acceptor& acceptor);
    /// Dials the control nodes of the settings; each names all others.
    void dialSeeds();
    /// Keeps connections to just these proxies, by address.
    void setPeers(const std::set<std::string>& addresses);

    /// Open connections.
    std::vector<std::shared_ptr<transport::PeerConnection>> controlNodes() const;
    std::shared_ptr<transport::PeerConnection> peer(
        const std::string& address) const;  ///< null: none is open
    void sendToControlNodes(const Json& message) const;

    static bool isControlNode(const transport::PeerConnection& connection);
    static bool isProxy(const transport::PeerConnection& connection);

  private:
    void dialControlNode(const std::string& address);
    void onMessage(transport::PeerConnection& from, const Json& message);
    std::shared_ptr<transport::Dialer> dial(const std::string& address) const;

    transport::asio::io_context& io_;
    const config::BootstrapSettings& settings_;
    const std::uint64_t life_;
    Listener listener_;
    std::shared_ptr<transport::PeerConnection::Callbacks> owner_;
    std::map<std::string, std::shared_ptr<transport::Dialer>> controlNodes_, peers_;  // by address
};

}  // namespace lichenlanding::proxy
