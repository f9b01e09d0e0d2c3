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

// The peer's role as printed by the run.
std::string peerRole(const PeerConnection& peer) {
    if (peer.kind == wire::kControlNode) return nameOf(Role::controlNode);
    return peer.kind == wire::kProxy ? nameOf(Role::proxy) : "new";
}

}  // namespace

void printFact(const char* fact, Json about) {
    about["fact"] = fact;
    if (!about.contains("ns")) about["ns"] = now();
    std::fprintf(stderr, "%s\n", about.dump().c_str());
}

std::shared_ptr<const Roster> SimulatorProcess::roster(const Json& message) {
    auto proxies = proxy::decodeRoster(message);
    std::uint64_t hash = proxies.size();
    for (const auto& [name, address] : proxies) hash += hashing::hash(name, address);
    auto& cached = rosters[hash];
    auto roster = cached.lock();
    if (!roster) {
        roster = std::make_shared<const Roster>(Roster{hash, std::move(proxies)});
        cached = roster;
    }
    std::erase_if(rosters, [](const auto& one) { return one.second.expired(); });
    return roster;
}

SimulatedProxy::SimulatedProxy(SimulatorProcess& process, std::string name, std::string ip)
    : process_(process),
      name_(std::move(name)),
      ip_(std::move(ip)),
      incarnation_(process.random() >> 12),
      cache_({[this](const std::string&) { configurationChanged_ = true; },
              [this](const std::string&) { rolloutsKnown_ = true; },
              [this](const discovery::EndpointEvent& event) {
                  if (ready_ && (event.removed || event.endpoint.draining))
                      printFact(facts::kEndpoint, {{"name", name_}, {"id", event.endpoint.id}});
              }}) {}

void SimulatedProxy::open() {
    const auto self = shared_from_this();
    callbacks_ = std::make_shared<PeerConnection::Callbacks>();
    callbacks_->makeHello = [self](PeerConnection& connection) { return self->makeHello(connection); };
    callbacks_->onMessage = [self](PeerConnection& from, const Json& message) {
        if (!self->stopped_) self->onMessage(from, message);
    };
    callbacks_->onClosed = [self](PeerConnection& connection) {
        if (!self->stopped_) self->onClosed(connection);
    };
    acceptor_ = std::make_unique<tcp::acceptor>(listen(process_.io, addressOf(ip_)));
    updateFleet();
    for (const auto& seed : process_.seeds) dialControlNode(seed);
    spawn(process_.io, "links", servePeerConnections(process_.io, *acceptor_, callbacks_));
    spawn(process_.io, "watch", watchPeers(self));
}

void SimulatedProxy::stop() {
    stopped_ = true;
    ErrorCode ignored;
    acceptor_->close(ignored);
    for (const auto* dialers : {&controlNodes_, &peers_})
        for (const auto& [_, dialer] : *dialers) dialer->stop();
    for (const auto& cached : connections_)
        if (const auto connection = cached.lock()) connection->close();
}

std::string SimulatedProxy::addressOf(const std::string& ip) const {
    return ip + ":" + std::to_string(process_.port);
}

// ---- Connections. ----

void SimulatedProxy::send(PeerConnection& connection, const Json& message) {
    ++process_.sent[peerRole(connection)][proxy::typeOf(message)];
    connection.send(message);
}

void SimulatedProxy::sendToControlNodes(const Json& message) {
    for (const auto& [_, dialer] : controlNodes_)
        if (const auto connection = dialer->connection();
            connection && connection->kind == wire::kControlNode)
            send(*connection, message);
}

Json SimulatedProxy::makeHello(PeerConnection& connection) {
    std::erase_if(connections_, [](const auto& cached) { return cached.expired(); });
    connections_.push_back(connection.weak_from_this());
    return encode(proxy::ProxyHello{name_, addressOf(ip_), incarnation_});
}

void SimulatedProxy::dialControlNode(const std::string& address) {
    auto& dialer = controlNodes_[address];
    if (dialer || stopped_) return;
    dialer = std::make_shared<Dialer>(process_.io, address, callbacks_);
    dialer->start();
}

void SimulatedProxy::onClosed(PeerConnection& connection) {
    if (connection.kind == wire::kControlNode) {
        quorumContact_.onControlNodeDisconnected(connection.peer, now());
        printFact(facts::kConnection, {{"name", name_}, {"to", connection.peer}, {"open", false}});
    }
    if (rosters_.erase(connection.peer) > 0) updateFleet();
    if (connection.kind != wire::kProxy) return;
    for (const auto& [name, address] : watchedPeers_)
        if (address == connection.peer) sendToControlNodes(encode(proxy::PeerLost{name}));
}

// ---- Messages. ----

void SimulatedProxy::onHello(PeerConnection& from, const Json& hello) {
    from.kind = proxy::peerKindOf(hello);
    if (from.kind != wire::kControlNode) {
        from.setHeartbeatInterval(process_.heartbeat);
        return;
    }
    printFact(facts::kConnection, {{"name", name_}, {"to", from.peer}, {"open", true}});
    for (const auto& address : proxy::controlNodesOf(hello)) dialControlNode(address);
}

void SimulatedProxy::onMessage(PeerConnection& from, const Json& message) {
    const auto& type = proxy::typeOf(message);
    if (type == wire::kHello) onHello(from, message);
    ++process_.received[peerRole(from)][type];
    if (type == wire::kRoster) {
        rosters_[from.peer] = process_.roster(message);
        updateFleet();
    } else if (type != wire::kHello) {
        onUpdate(from, message);
    }
    printProgress();
}

void SimulatedProxy::onUpdate(PeerConnection& from, const Json& message) {
    const auto& type = proxy::typeOf(message);
    const bool fromControlNode = from.kind == wire::kControlNode;
    const bool confirmed = message.value(wire::kConfirmed, true);
    if (type != wire::kFetch) {
        if (fromControlNode) quorumContact_.onControlNodeMessage(from.peer, confirmed, now());
        if (!quorumContact_.acceptsUpdates(confirmed, cache_.version() > 0, now())) return;
    }
    const auto source = fromControlNode ? MessageSource::controlNode : MessageSource::peerProxy;
    cache_.handleMessage(message, source, now(), [&](Json reply) {
        if (proxy::typeOf(reply) != wire::kFetch) reply[wire::kConfirmed] = quorumContact_.isConfirmed();
        send(from, reply);
    });
    const bool confirmsCache = type == wire::kConfiguration ||
                               (type == wire::kDigest && message.at("configuration") <= cache_.version());
    if (confirmed && cache_.version() > 0 && confirmsCache) quorumContact_.markConfirmed(true);
}

void SimulatedProxy::printProgress() {
    if (std::exchange(configurationChanged_, false)) {
        const auto version = cache_.version();
        printFact(facts::kConfiguration, {{"name", name_}, {"version", version}});
        sendToControlNodes(encode(proxy::Acknowledgement{version}));
    }
    if (ready_ || !cache_.endpointsCurrent() || cache_.version() == 0 || !rolloutsKnown_) return;
    ready_ = true;
    printFact(facts::kReady, {{"name", name_}, {"pods", cache_.endpoints().endpoints().size()}});
}

// ---- The fleet. ----

// While no control node has sent a roster, the last known rosters remain in use. Equal rosters count once.
void SimulatedProxy::updateFleet() {
    if (!rosters_.empty() || usedRosters_.empty()) {
        std::map<std::uint64_t, std::shared_ptr<const Roster>> current;
        for (const auto& [_, roster] : rosters_) current[roster->hash] = roster;
        if (current == usedRosters_ && !current.empty()) return;
        usedRosters_ = std::move(current);
    }
    std::map<std::string, std::string> proxies;
    for (const auto& [_, roster] : usedRosters_)
        proxies.insert(roster->proxies.begin(), roster->proxies.end());
    std::vector<std::string> names;
    for (const auto& [name, _] : proxies) names.push_back(name);
    watchedPeers_.clear();
    std::set<std::string> addresses;
    for (const auto& name : hashing::watchedPeers(std::move(names), name_)) {
        watchedPeers_[name] = proxies.at(name);
        addresses.insert(proxies.at(name));
    }
    setPeers(addresses);
}

void SimulatedProxy::setPeers(const std::set<std::string>& addresses) {
    std::erase_if(peers_, [&](const auto& peer) {
        const bool unused = !addresses.contains(peer.first);
        if (unused) peer.second->stop();
        return unused;
    });
    for (const auto& address : addresses) {
        auto& dialer = peers_[address];
        if (dialer || stopped_) continue;
        dialer = std::make_shared<Dialer>(process_.io, address, callbacks_);
        dialer->start();
    }
}

// Sends a digest of the cache to the watched proxies at each heartbeat, so that they can compare.
Task<> SimulatedProxy::watchPeers(std::shared_ptr<SimulatedProxy> self) {
    while (!self->stopped_) {
        co_await sleep(self->process_.heartbeat);
        auto digest = self->cache_.digestMessage();
        digest[wire::kConfirmed] = self->quorumContact_.isConfirmed();
        if (self->quorumContact_.waitElapsed(self->cache_.version() > 0, now()))
            self->sendToControlNodes(digest);
        for (const auto& [_, address] : self->watchedPeers_) {
            const auto peer = self->peers_.find(address);
            if (peer == self->peers_.end()) continue;
            if (const auto connection = peer->second->connection()) self->send(*connection, digest);
        }
    }
}

}  // namespace lichenlanding::scale_test
