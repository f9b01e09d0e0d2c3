#include "control_plane/proxy_registry.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kRosterDelay = 400 * kMillisecond;

}  // namespace

void ProxyRegistry::onHello(PeerConnection& connection, const Hello& hello) {
    proxies_[hello.name] = {connection.shared_from_this(), hello.address, hello.incarnation, 0, {}};
    scheduleRoster();
}

void ProxyRegistry::onDisconnected(const PeerConnection& connection) {
    const auto it = proxies_.find(connection.peer);
    if (it == proxies_.end() || it->second.connection.get() != &connection) return;
    proxies_.erase(it);
    scheduleRoster();
}

void ProxyRegistry::onAcknowledgement(const std::string& proxy, std::uint32_t version) {
    if (const auto it = proxies_.find(proxy); it != proxies_.end()) it->second.acknowledgedVersion = version;
}

void ProxyRegistry::onLost(const std::string& proxy, const std::string& reporter) {
    if (const auto it = proxies_.find(proxy); it != proxies_.end()) it->second.lostBy.insert(reporter);
}

void ProxyRegistry::broadcast(const EncodedMessage& message) const {
    for (const auto& [_, proxy] : proxies_) proxy.connection->send(message);
}

std::vector<std::string> ProxyRegistry::names() const {
    std::vector<std::string> names;
    for (const auto& [name, _] : proxies_) names.push_back(name);
    return names;
}

/// Combines changes within kRosterDelay into one roster, because a whole fleet may connect at once.
void ProxyRegistry::scheduleRoster() {
    if (std::exchange(rosterScheduled_, true)) return;
    spawn(io_, "roster", sendRoster());
}

Task<> ProxyRegistry::sendRoster() {
    co_await sleep(kRosterDelay);
    rosterScheduled_ = false;
    std::map<std::string, std::string> addresses;
    for (const auto& [name, proxy] : proxies_) addresses[name] = proxy.address;
    broadcast(PeerConnection::encode(encodeRoster(addresses)));
}

}  // namespace lichenlanding::control_plane
