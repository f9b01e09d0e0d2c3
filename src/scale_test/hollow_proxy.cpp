#include "scale_test/hollow_proxy.hpp"

#include <cstdio>

#include "hashing/rendezvous.hpp"
#include "scale_test/facts.hpp"
#include "scale_test/processes.hpp"
#include "transport/log.hpp"

namespace lichenlanding::scale_test {

using namespace transport;
namespace wire = proxy::wire;
using MessageSource = subscription::ConfigurationCache::MessageSource;

namespace {

// The peer's role as the run prints it.
std::string peerRole(const PeerConnection& peer) {
    if (peer.kind == wire::kControlNode) return nameOf(Role::controlNode);
    return peer.kind == wire::kProxy ? nameOf(Role::proxy) : "new";
}

}  // namespace

void tellFact(const char* fact, Json about) {
    about["fact"] = fact;
    if (!about.contains("ns")) about["ns"] = now();
    std::fprintf(stderr, "%s\n", about.dump().c_str());
}

std::shared_ptr<const Roster> HollowProcess::roster(const Json& message) {
    auto proxies = proxy::decodeRoster(message);
    std::uint64_t hash = proxies.size();
    for (const auto& [name, address] : proxies) hash += hashing::hash(name, address);
    auto& kept = rosters[hash];
    auto roster = kept.lock();
    if (!roster) {
        roster = std::make_shared<const Roster>(Roster{hash, std::move(proxies)});
        kept = roster;
    }
    std::erase_if(rosters, [](const auto& one) { return one.second.expired(); });
    return roster;
}

HollowProxy::HollowProxy(HollowProcess& process, std::string name, std::string ip)
    : process_(process),
      name_(std::move(name)),
      ip_(std::move(ip)),
      life_(process.chance() >> 12),
      cache_({[this](const std::string&) { newConfiguration_ = true; },
              [this](const std::string&) { rolloutsKnown_ = true; },
              [this](const discovery::EndpointEvent& event) {
                  if (ready_ && (event.removed || event.endpoint.draining))
                      tellFact(facts::kEndpoint, {{"name", name_}, {"id", event.endpoint.id}});
              }}) {}

void HollowProxy::open() {
    const auto self = shared_from_this();
    owner_ = std::make_shared<PeerConnection::Callbacks>();
    owner_->makeHello = [self](PeerConnection& connection) { return self->greet(connection); };
    owner_->onMessage = [self](PeerConnection& from, const Json& message) {
        if (!self->left_) self->onMessage(from, message);
    };
    owner_->onClosed = [self](PeerConnection& connection) {
        if (!self->left_) self->onClosed(connection);
    };
    acceptor_ = std::make_unique<tcp::acceptor>(listen(process_.io, addressOf(ip_)));
    updateFleet();
    for (const auto& seed : process_.seeds) dialControlNode(seed);
    spawn(process_.io, "links", servePeerConnections(process_.io, *acceptor_, owner_));
    spawn(process_.io, "watch", watchPeers(self));
}

void HollowProxy::leave() {
    left_ = true;
    ErrorCode ignored;
    acceptor_->close(ignored);
    for (const auto* dialers : {&controlNodes_, &peers_})
        for (const auto& [_, dialer] : *dialers) dialer->stop();
    for (const auto& kept : connections_)
        if (const auto connection = kept.lock()) connection->close();
}

std::string HollowProxy::addressOf(const std::string& ip) const {
    return ip + ":" + std::to_string(process_.port);
}

// ---- Connections. ----

void HollowProxy::send(PeerConnection& connection, const Json& message) {
    ++process_.sent[peerRole(connection)][proxy::typeOf(message)];
    connection.send(message);
}

void HollowProxy::sendToControlNodes(const Json& message) {
    for (const auto& [_, dialer] : controlNodes_)
        if (const auto connection = dialer->connection();
            connection && connection->kind == wire::kControlNode)
            send(*connection, message);
}

Json HollowProxy::greet(PeerConnection& connection) {
    std::erase_if(connections_, [](const auto& kept) { return kept.expired(); });
    connections_.push_back(connection.weak_from_this());
    return encode(proxy::ProxyHello{name_, addressOf(ip_), life_});
}

void HollowProxy::dialControlNode(const std::string& address) {
    auto& dialer = controlNodes_[address];
    if (dialer || left_) return;
    dialer = std::make_shared<Dialer>(process_.io, address, owner_);
    dialer->start();
}

void HollowProxy::onClosed(PeerConnection& connection) {
    if (connection.kind == wire::kControlNode) {
        quorumContact_.onControlNodeDisconnected(connection.peer, now());
        tellFact(facts::kConnection, {{"name", name_}, {"to", connection.peer}, {"open", false}});
    }
    if (rosters_.erase(connection.peer) > 0) updateFleet();
    if (connection.kind != wire::kProxy) return;
    for (const auto& [name, address] : watched_)
        if (address == connection.peer) sendToControlNodes(encode(proxy::PeerLost{name}));
}

// ---- Messages. ----

void HollowProxy::onHello(PeerConnection& from, const Json& hello) {
    from.kind = proxy::peerKindOf(hello);
    if (from.kind != wire::kControlNode) {
        from.setHeartbeatInterval(process_.heartbeat);
        return;
    }
    tellFact(facts::kConnection, {{"name", name_}, {"to", from.peer}, {"open", true}});
    for (const auto& address : proxy::controlNodesOf(hello)) dialControlNode(address);
}

void HollowProxy::onMessage(PeerConnection& from, const Json& message) {
    const auto& type = proxy::typeOf(message);
    if (type == wire::kHello) onHello(from, message);
    ++process_.heard[peerRole(from)][type];
    if (type == wire::kRoster) {
        rosters_[from.peer] = process_.roster(message);
        updateFleet();
    } else if (type != wire::kHello) {
        onNews(from, message);
    }
    tellProgress();
}

void HollowProxy::onNews(PeerConnection& from, const Json& message) {
    const auto& type = proxy::typeOf(message);
    const bool fromControlNode = from.kind == wire::kControlNode;
    const bool sure = message.value(wire::kConfirmed, true);
    if (type != wire::kFetch) {
        if (fromControlNode) quorumContact_.onControlNodeMessage(from.peer, sure, now());
        if (!quorumContact_.acceptsUpdates(sure, cache_.version() > 0, now())) return;
    }
    const auto source = fromControlNode ? MessageSource::controlNode : MessageSource::peerProxy;
    cache_.handleMessage(message, source, now(), [&](Json reply) {
        if (proxy::typeOf(reply) != wire::kFetch) reply[wire::kConfirmed] = quorumContact_.isConfirmed();
        send(from, reply);
    });
    const bool confirms = type == wire::kConfiguration ||
                          (type == wire::kDigest && message.at("configuration") <= cache_.version());
    if (sure && cache_.version() > 0 && confirms) quorumContact_.markConfirmed(true);
}

void HollowProxy::tellProgress() {
    if (std::exchange(newConfiguration_, false)) {
        const auto version = cache_.version();
        tellFact(facts::kConfiguration, {{"name", name_}, {"version", version}});
        sendToControlNodes(encode(proxy::Acknowledgement{version}));
    }
    if (ready_ || !cache_.endpointsCurrent() || cache_.version() == 0 || !rolloutsKnown_) return;
    ready_ = true;
    tellFact(facts::kReady, {{"name", name_}, {"pods", cache_.endpoints().endpoints().size()}});
}

// ---- The fleet. ----

// What was last known stands while no control node says anything. Equal rosters are looked at once.
void HollowProxy::updateFleet() {
    if (!rosters_.empty() || knownRosters_.empty()) {
        std::map<std::uint64_t, std::shared_ptr<const Roster>> told;
        for (const auto& [_, roster] : rosters_) told[roster->hash] = roster;
        if (told == knownRosters_ && !told.empty()) return;
        knownRosters_ = std::move(told);
    }
    std::map<std::string, std::string> proxies;
    for (const auto& [_, roster] : knownRosters_)
        proxies.insert(roster->proxies.begin(), roster->proxies.end());
    std::vector<std::string> names;
    for (const auto& [name, _] : proxies) names.push_back(name);
    watched_.clear();
    std::set<std::string> addresses;
    for (const auto& name : hashing::watchedPeers(std::move(names), name_)) {
        watched_[name] = proxies.at(name);
        addresses.insert(proxies.at(name));
    }
    setPeers(addresses);
}

void HollowProxy::setPeers(const std::set<std::string>& addresses) {
    std::erase_if(peers_, [&](const auto& peer) {
        const bool drop = !addresses.contains(peer.first);
        if (drop) peer.second->stop();
        return drop;
    });
    for (const auto& address : addresses) {
        auto& dialer = peers_[address];
        if (dialer || left_) continue;
        dialer = std::make_shared<Dialer>(process_.io, address, owner_);
        dialer->start();
    }
}

// Neighbours compare what they hold.
Task<> HollowProxy::watchPeers(std::shared_ptr<HollowProxy> self) {
    while (!self->left_) {
        co_await sleep(self->process_.heartbeat);
        auto digest = self->cache_.digestMessage();
        digest[wire::kConfirmed] = self->quorumContact_.isConfirmed();
        if (self->quorumContact_.waitElapsed(self->cache_.version() > 0, now()))
            self->sendToControlNodes(digest);
        for (const auto& [_, address] : self->watched_) {
            const auto peer = self->peers_.find(address);
            if (peer == self->peers_.end()) continue;
            if (const auto connection = peer->second->connection()) self->send(*connection, digest);
        }
    }
}

}  // namespace lichenlanding::scale_test
