#include "control_plane/control_plane.hpp"

#include <random>

#include "admin/configuration_record.hpp"
#include "config/configuration.hpp"
#include "control_plane/admin_api.hpp"
#include "control_plane/endpoint_discovery.hpp"
#include "control_plane/lease_holder.hpp"
#include "control_plane/replica_node.hpp"
#include "control_plane/rollout_controller.hpp"
#include "messages/codec.hpp"
#include "subscription/configuration_cache.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;

constexpr Nanos kTellKnownEvery = 500 * kMillisecond, kLookEvery = 100 * kMillisecond;
constexpr Nanos kRosterAfter = 400 * kMillisecond;

std::uint64_t randomIncarnation() {
    std::random_device draw;
    return (static_cast<std::uint64_t>(draw()) << 32) | draw();
}

struct ProxyInstance {
    std::shared_ptr<PeerConnection> link;
    std::string address;
    std::uint64_t life = 0;
    std::uint32_t applied = 0;       // configuration acknowledged
    std::set<std::string> missedBy;  // proxies that watch it and have lost it
};

struct ControlPlane {
    ControlPlane(const config::BootstrapSettings& boot_, bool metrics)
        : boot(boot_),
          replica(io, boot, {[this](const std::string& key) { learnt(key); }, [this] { moved(); }},
                  ReplicaNode::onDisk(boot_)),
          controlPlaneAddress(listen(io, boot.controlPlaneAddress)),
          peers(listen(io, boot.peerAddress(boot.ip))),
          leases(
              replica, {me(), randomIncarnation()}, [this] { return hears(); },
              [this] { return cache.highestTermSeen(); }),
          list(
              io, boot, cache,
              [this] { return leases.holdsLease(kEndpointListLease) ? leases.term(kEndpointListLease) : 0; },
              [this](const Json& message) { tellAll(message); }),
          rollouts(
              replica, [this] { return startedReading && leases.holdsLease(kRolloutsLease); },
              [this] { return proxyNames(); }),
          operatorCalls(
              io, AdminApi::Register::of(replica), [this] { return status(); }, metrics) {
        owner = std::make_shared<PeerConnection::Callbacks>();
        owner->makeHello = [this](PeerConnection& link) { return greet(link); };
        owner->onMessage = [this](PeerConnection& link, const Json& message) { heard(link, message); };
        owner->onClosed = [this](PeerConnection& link) { closed(link); };
    }

    // ---- Links. ----

    std::string me() const { return boot.peerAddress(boot.ip); }

    Json greet(PeerConnection&) {
        auto hello = replica.greeting();
        hello.update({{"t", "hello"}, {"kind", "prompter"}, {"name", boot.name}, {"at", me()}});
        return hello;
    }

    void dial(const std::string& address) {
        auto& dialer = dialers[address];
        if (dialer || address == me()) return;
        dialer = std::make_shared<Dialer>(io, address, owner);
        dialer->start();
    }

    void dialSeeds() {
        for (const auto& seed : boot.seeds) dial(boot.peerAddress(hostOf(seed)));
    }

    void heard(PeerConnection& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind == "known") {
            if (message.contains("hears")) leases.onReachability(link.peer, message.at("hears"));
            if (message.contains("ages")) rollouts.onPeerAges(message.at("ages"));
        }
        if (kind == "hello") {
            hello(link, message);
        } else if (replica.heard(link, message)) {
        } else if (kind == "want") {
            answer(link, message);
        } else if (kind == "digest") {
            cache.handleMessage(message, subscription::ConfigurationCache::MessageSource::subscriber, now(),
                        [&](Json reply) { link.send(word(std::move(reply))); });
        } else if (kind == "lost") {
            const auto at = proxies.find(message.at("name").get<std::string>());
            if (at != proxies.end()) at->second.missedBy.insert(link.peer);
        } else if (kind == "ack") {
            if (const auto at = proxies.find(link.peer); at != proxies.end())
                message.at("configuration").get_to(at->second.applied);
        } else if (kind == "vote") {
            rollouts.onVote(message);
        }
    }

    void hello(PeerConnection& link, const Json& message) {
        link.kind = message.at("kind").get<std::string>();
        const auto at = message.at("at").get<std::string>();
        if (link.kind == "prompter") {
            link.peer = at;
            const auto dialer = dialers.find(at);
            if (dialer != dialers.end() && dialer->second && dialer->second->connection().get() == &link)
                replica.joined(at, link.shared_from_this());
            else if (dialer != dialers.end() && dialer->second && !dialer->second->connection())
                dialer->second
                    ->retryNow();  // after a loss of all, those that are up first wait for the others
            replica.onHello(message);
            for (const auto& member : message.at("members")) dial(member.get<std::string>());
            sayKnown();
            return;
        }
        link.peer = message.at("name").get<std::string>();
        proxies[link.peer] = {link.shared_from_this(), at, message.at("life").get<std::uint64_t>(), 0, {}};
        link.send(word(cache.digestMessage()));
        roster();
    }

    // Other members, or contact has come or gone: new ones are dialled, and proxies are greeted again.
    void moved() {
        for (const auto& member : replica.members()) dial(member);
        for (const auto& [_, proxy] : proxies) proxy.link->send(greet(*proxy.link));
        tellAll(cache.digestMessage());
    }

    void closed(PeerConnection& link) {
        if (link.kind == "prompter") {
            const auto dialer = dialers.find(link.peer);
            if (dialer != dialers.end() && dialer->second && !dialer->second->connection())
                replica.onPeerDisconnected(link.peer), sayKnown();
        } else if (const auto at = proxies.find(link.peer);
                   at != proxies.end() && at->second.link.get() == &link) {
            proxies.erase(at);
            roster();
        }
    }

    // ---- Cues. ----

    // Each word to proxies says whether it speaks for a majority. The clock is for what proxies do together.
    Json word(Json message) const {
        message["sure"] = replica.hasQuorumContact();
        if (message.contains("sums")) message["clock"] = now() / kMillisecond;
        return message;
    }

    // What many proxies ask for at once, as at a start, is made and packed once.
    struct Kept {
        Json of;
        EncodedMessage packed;
    };
    template <typename Make>
    static EncodedMessage once(Kept& kept, Json of, Make make) {
        if (kept.of != of) kept = {std::move(of), PeerConnection::encode(make())};
        return kept.packed;
    }
    void answer(PeerConnection& link, Json want) {
        const bool sure = replica.hasQuorumContact();
        if (want.contains("configuration") && cache.version() > 0) {
            link.send(once(keptBody, {cache.version(), sure}, [&] { return word(cache.configurationMessage()); }));
            want.erase("configuration");
        }
        if (cache.wantsFullList(want)) {
            const auto& endpointListVersion = cache.endpointListVersion();
            link.send(once(keptList, {endpointListVersion.term, endpointListVersion.sequence, sure},
                           [&] { return word(cache.fullEndpointsMessage()); }));
            want.erase("held");
        }
        cache.handleMessage(want, subscription::ConfigurationCache::MessageSource::subscriber, now(),
                    [&](Json reply) { link.send(word(std::move(reply))); });
    }

    void tellAll(const Json& message) {
        const auto packed = PeerConnection::encode(word(message));
        for (const auto& [_, proxy] : proxies) proxy.link->send(packed);
    }

    // One word for all that came and went of late: at a start a whole fleet says hello at once.
    void roster() {
        if (std::exchange(rosterDue, true)) return;
        spawn(io, "roster", tellRoster());
    }

    Task<> tellRoster() {
        co_await sleep(kRosterAfter);
        rosterDue = false;
        Json names = Json::object();
        for (const auto& [name, proxy] : proxies) names[name] = proxy.address;
        const auto packed = PeerConnection::encode(Json{{"t", "roster"}, {"foyers", std::move(names)}});
        for (const auto& [_, proxy] : proxies) proxy.link->send(packed);
    }

    void learnt(const std::string& key) {
        const auto& value = replica.known(key).value;
        if (key == kConfigurationKey && !value.empty()) {
            try {
                cache.setConfiguration(admin::version(value), std::string(admin::compressed(value)));
            } catch (const admin::ParseError& error) {  // of a later text, say; what is held stays
                return log("value_unreadable", {{"step", "learnt"}, {"error", error.what()}});
            }
            tellAll(cache.versionsMessage());
        } else if (key == kRolloutsKey) {
            rollouts.onValueLearned();
            if (startedReading) pinRollouts();
        }
    }

    void pinRollouts() {
        const auto& text = replica.known(kRolloutsKey).value;
        std::int64_t number = 0;
        for (const auto& rollout : messages::decodeRollouts(text)) number = std::max(number, rollout.number);
        if (cache.setRollouts(number, text)) tellAll(cache.rolloutsMessage());  // not where ages alone have changed
    }

    // Before rollouts have been read from a majority nothing is said of them.
    Task<> readFirst() {
        for (;;) {
            const auto value = co_await replica.read(kRolloutsKey, kSecond);
            if (value) break;
        }
        startedReading = true;
        pinRollouts();
    }

    // At once where another comes to be heard, or is heard no more: a duty waits for that.
    Task<> tellKnown() {
        std::set<std::string> told;
        for (Nanos at = 0;;) {
            co_await sleep(kLookEvery);
            auto heard = hears();
            if (heard == told && now() - at < kTellKnownEvery) continue;
            at = now(), told = std::move(heard);
            sayKnown();
        }
    }

    void sayKnown() {
        Json proposalNumbers = Json::object();
        for (const auto& key : kKeys)
            if (const auto& known = replica.known(key); known.proposalNumber.round > 0)
                proposalNumbers[key] = messages::encode(known.proposalNumber);
        const auto packed = PeerConnection::encode(Json{{"t", "known"},
                                                      {"ballots", std::move(proposalNumbers)},
                                                      {"hears", leases.hears()},
                                                      {"ages", rollouts.ages()}});
        for (const auto& [address, dialer] : dialers)
            if (dialer)
                if (auto link = dialer->connection()) link->send(packed);
    }

    // ---- Duties, each by one control node. ----

    std::set<std::string> hears() const {
        std::set<std::string> all;
        for (const auto& [address, dialer] : dialers)
            if (dialer && dialer->connection() && replica.hears(address)) all.insert(address);
        return all;
    }

    std::vector<std::string> proxyNames() const {
        std::vector<std::string> names;
        for (const auto& [name, _] : proxies) names.push_back(name);
        return names;
    }

    // ---- Status. ----

    // What this control node knows; nothing is asked of others.
    Json status() const {
        Json told{{"node", boot.name},
                  {"blank", !replica.votes()},
                  {"members", replica.members().size()},
                  {"reached", replica.reached()},
                  {"register", replica.describe()},
                  {"configuration", cache.version() ? config::formatVersion(cache.version()) : ""},
                  {"duty", Json::array()},
                  {"duties", leases.describe()},
                  {"foyers", Json::object()},
                  {"pods", Json::object()},
                  {"rollouts", Json::parse(replica.known(kRolloutsKey).value.empty()
                                               ? "[]"
                                               : replica.known(kRolloutsKey).value)},
                  {"votes", rollouts.votes()},
                  {"calls", operatorCalls.calls()},
                  {"list_calls", list.requests()},
                  {"list_refused", list.rateLimited()}};
        for (const auto& duty : {kEndpointListLease, kRolloutsLease})
            if (leases.holdsLease(duty)) told["duty"].push_back(duty);
        for (const auto& [name, proxy] : proxies)
            told["foyers"][name] = {{"at", proxy.address},
                                    {"life", proxy.life},
                                    {"missed_by", proxy.missedBy.size()},
                                    {"configuration", config::formatVersion(proxy.applied)}};
        for (const auto& [_, member] : cache.endpoints().endpoints()) {
            auto& counts = told["pods"][member.service][member.version];
            if (counts.is_null()) counts = {0, 0};
            auto& count = counts[member.draining ? 1 : 0];
            count = count.get<int>() + 1;
        }
        return told;
    }

    void run() {
        handleSignals(
            io,
            [this] {
                spawn(io, "leave", [](ControlPlane& self) -> Task<> {
                    co_await self.replica.leave();
                    log("left", {});
                    self.io.stop();
                }(*this));
            },
            [this] {
                try {
                    boot = config::BootstrapSettings::fromEnvironment();
                    dialSeeds();
                    log("settings_read", {});
                } catch (const std::exception& wrong_) {
                    log("settings_refused", {{"step", "reload"}, {"error", wrong_.what()}});
                }
            });
        log("start", {});
        replica.open();
        dialSeeds();
        for (const auto& member : replica.members()) dial(member);
        spawn(io, "links", servePeerConnections(io, peers, owner));
        spawn(io, "control", operatorCalls.serve(control));
        spawn(io, "register", replica.maintain());
        spawn(io, "register", readFirst());
        spawn(io, "known", tellKnown());
        spawn(io, "duties", leases.run());
        spawn(io, "list", list.run());
        spawn(io, "rollouts", rollouts.run());
        io.run();
    }

    config::BootstrapSettings boot;
    asio::io_context io{1};
    ReplicaNode replica;
    tcp::acceptor control, peers;
    std::shared_ptr<PeerConnection::Callbacks> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;  // by address
    std::map<std::string, ProxyInstance> proxies;            // by name
    subscription::ConfigurationCache cache{{}};
    Kept keptBody, keptList;  // packed, as last asked for
    LeaseHolder leases;
    EndpointDiscovery list;
    RolloutController rollouts;
    AdminApi operatorCalls;
    bool startedReading = false, rosterDue = false;
};

}  // namespace

void run(const config::BootstrapSettings& boot, bool metrics) {
    openLog(boot.name);
    ControlPlane(boot, metrics).run();
}

}  // namespace lichenlanding::control_plane
