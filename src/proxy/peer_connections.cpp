#include "proxy/peer_connections.hpp"

namespace lichenlanding::proxy {

using namespace transport;

PeerConnections::PeerConnections(asio::io_context& io, const config::BootstrapSettings& settings,
                                 std::uint64_t incarnation, Listener listener)
    : io_(io),
      settings_(settings),
      incarnation_(incarnation),
      listener_(std::move(listener)),
      callbacks_(std::make_shared<PeerConnection::Callbacks>()) {
    callbacks_->makeHello = [this](PeerConnection&) {
        return encode(ProxyHello{settings_.name, settings_.peerAddress(settings_.ip), incarnation_});
    };
    callbacks_->expectsHello = true;
    callbacks_->onMessage = [this](PeerConnection& from, const Json& message) { onMessage(from, message); };
    callbacks_->onClosed = [this](PeerConnection& connection) { listener_.closed(connection); };
}

Task<> PeerConnections::serve(tcp::acceptor& acceptor) {
    return servePeerConnections(io_, acceptor, callbacks_);
}

bool PeerConnections::isControlNode(const PeerConnection& connection) {
    return connection.kind == wire::kControlNode;
}

bool PeerConnections::isProxy(const PeerConnection& connection) { return connection.kind == wire::kProxy; }

void PeerConnections::onMessage(PeerConnection& from, const Json& message) {
    if (typeOf(message) != wire::kHello) {
        listener_.message(from, message);
        return;
    }
    from.kind = peerKindOf(message);
    if (isControlNode(from))
        for (const auto& address : controlNodesOf(message)) dialControlNode(address);
    else from.setHeartbeatInterval(settings_.heartbeat);
}

std::shared_ptr<Dialer> PeerConnections::dial(const std::string& address) const {
    auto dialer = std::make_shared<Dialer>(io_, address, callbacks_);
    dialer->start();
    return dialer;
}

void PeerConnections::dialControlNode(const std::string& address) {
    auto& dialer = controlNodes_[address];
    if (!dialer) dialer = dial(address);
}

void PeerConnections::dialSeeds() {
    for (const auto& seed : settings_.seeds) dialControlNode(settings_.peerAddress(hostOf(seed)));
}

void PeerConnections::setPeers(const std::set<std::string>& addresses) {
    std::erase_if(peers_, [&](const auto& peer) {
        const bool drop = !addresses.contains(peer.first);
        if (drop) peer.second->stop();
        return drop;
    });
    for (const auto& address : addresses) {
        auto& dialer = peers_[address];
        if (!dialer) dialer = dial(address);
    }
}

std::vector<std::shared_ptr<PeerConnection>> PeerConnections::controlNodes() const {
    std::vector<std::shared_ptr<PeerConnection>> connections;
    for (const auto& [_, dialer] : controlNodes_)
        if (auto connection = dialer->connection(); connection && isControlNode(*connection))
            connections.push_back(std::move(connection));
    return connections;
}

std::shared_ptr<PeerConnection> PeerConnections::peer(const std::string& address) const {
    const auto at = peers_.find(address);
    return at == peers_.end() ? nullptr : at->second->connection();
}

void PeerConnections::sendToControlNodes(const Json& message) const {
    const auto encoded = PeerConnection::encode(message);
    for (const auto& connection : controlNodes()) connection->send(encoded);
}

}  // namespace lichenlanding::proxy
