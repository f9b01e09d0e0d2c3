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

std::uint64_t drawnLife() {
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
          control(listen(io, boot.control)),
          peers(listen(io, boot.internal(boot.ip))),
          duties(
              replica, {me(), drawnLife()}, [this] { return hears(); },
              [this] { return cache.highestTermSeen(); }),
          list(
              io, boot, cache, [this] { return duties.has(kListDuty) ? duties.term(kListDuty) : 0; },
              [this](const Json& message) { tellAll(message); }),
          rollouts(
              replica, [this] { return startedReading && duties.has(kRolloutsDuty); },
              [this] { return proxyNames(); }),
          operatorCalls(
              io, AdminApi::Register::of(replica), [this] { return status(); }, metrics) {
        owner = std::make_shared<PeerConnection::Owner>();
        owner->greet = [this](PeerConnection& link) { return greet(link); };
        owner->heard = [this](PeerConnection& link, const Json& message) { heard(link, message); };
        owner->closed = [this](PeerConnection& link) { closed(link); };
    }

    // ---- Links. ----

    std::string me() const { return boot.internal(boot.ip); }

    Json greet(PeerConnection&) {
        auto hello = replica.helloFields();
        hello.update({{"t", "hello"}, {"kind", "prompter"}, {"name", boot.name}, {"at", me()}});
        return hello;
    }

    void dial(const std::string& address) {
        auto& dialer = dialers[address];
        if (dialer || address == me()) return;
        dialer = std::make_shared<Dialer>(io, address, owner);
        dialer->go();
    }

    void dialSeeds() {
        for (const auto& seed : boot.seeds) dial(boot.internal(hostOf(seed)));
    }

    void heard(PeerConnection& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind == "known") {
            if (message.contains("hears")) duties.heard(link.peer, message.at("hears"));
            if (message.contains("ages")) rollouts.learn(message.at("ages"));
        }
        if (kind == "hello") {
            hello(link, message);
        } else if (replica.handleMessage(link, message)) {
        } else if (kind == "want") {
            answer(link, message);
        } else if (kind == "digest") {
            cache.heard(message, subscription::ConfigurationCache::MessageSource::follower, now(),
                        [&](Json reply) { link.send(word(std::move(reply))); });
        } else if (kind == "lost") {
            const auto at = proxies.find(message.at("name").get<std::string>());
            if (at != proxies.end()) at->second.missedBy.insert(link.peer);
        } else if (kind == "ack") {
            if (const auto at = proxies.find(link.peer); at != proxies.end())
                message.at("configuration").get_to(at->second.applied);
        } else if (kind == "vote") {
            rollouts.heard(message);
        }
    }

    void hello(PeerConnection& link, const Json& message) {
        link.kind = message.at("kind").get<std::string>();
        const auto at = message.at("at").get<std::string>();
        if (link.kind == "prompter") {
            link.peer = at;
            const auto dialer = dialers.find(at);
            if (dialer != dialers.end() && dialer->second && dialer->second->link().get() == &link)
                replica.onPeerConnected(at, link.shared_from_this());
            else if (dialer != dialers.end() && dialer->second && !dialer->second->link())
                dialer->second
                    ->retryNow();  // after a loss of all, those that are up first wait for the others
            replica.onHello(message);
            for (const auto& member : message.at("members")) dial(member.get<std::string>());
            sayKnown();
            return;
        }
        link.peer = message.at("name").get<std::string>();
        proxies[link.peer] = {link.shared_from_this(), at, message.at("life").get<std::uint64_t>(), 0, {}};
        link.send(word(cache.digest()));
        roster();
    }

    // Other members, or contact has come or gone: new ones are dialled, and proxies are greeted again.
    void moved() {
        for (const auto& member : replica.members()) dial(member);
        for (const auto& [_, proxy] : proxies) proxy.link->send(greet(*proxy.link));
        tellAll(cache.digest());
    }

    void closed(PeerConnection& link) {
        if (link.kind == "prompter") {
            const auto dialer = dialers.find(link.peer);
            if (dialer != dialers.end() && dialer->second && !dialer->second->link())
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
        if (kept.of != of) kept = {std::move(of), PeerConnection::pack(make())};
        return kept.packed;
    }
    void answer(PeerConnection& link, Json want) {
        const bool sure = replica.hasQuorumContact();
        if (want.contains("configuration") && cache.version() > 0) {
            link.send(once(keptBody, {cache.version(), sure}, [&] { return word(cache.body()); }));
            want.erase("configuration");
        }
        if (cache.wantsFullList(want)) {
            const auto& endpointListVersion = cache.endpointListVersion();
            link.send(once(keptList, {endpointListVersion.term, endpointListVersion.sequence, sure},
                           [&] { return word(cache.whole()); }));
            want.erase("held");
        }
        cache.heard(want, subscription::ConfigurationCache::MessageSource::follower, now(),
                    [&](Json reply) { link.send(word(std::move(reply))); });
    }

    void tellAll(const Json& message) {
        const auto packed = PeerConnection::pack(word(message));
        for (const auto& [_, proxy] : proxies) proxy.link->send(packed);
    }

    // One word for all that came and went of late: at a start a whole fleet says hello at once.
    void roster() {
        if (std::exchange(rosterDue, true)) return;
        start(io, "roster", tellRoster());
    }

    Task<> tellRoster() {
        co_await sleep(kRosterAfter);
        rosterDue = false;
        Json names = Json::object();
        for (const auto& [name, proxy] : proxies) names[name] = proxy.address;
        const auto packed = PeerConnection::pack(Json{{"t", "roster"}, {"foyers", std::move(names)}});
        for (const auto& [_, proxy] : proxies) proxy.link->send(packed);
    }

    void learnt(const std::string& key) {
        const auto& value = replica.known(key).value;
        if (key == kConfigurationKey && !value.empty()) {
            try {
                cache.configuration(admin::version(value), std::string(admin::compressed(value)));
            } catch (const admin::ParseError& error) {  // of a later text, say; what is held stays
                return log("value_unreadable", {{"step", "learnt"}, {"error", error.what()}});
            }
            tellAll(cache.cue());
        } else if (key == kRolloutsKey) {
            rollouts.learnt();
            if (startedReading) pinRollouts();
        }
    }

    void pinRollouts() {
        const auto& text = replica.known(kRolloutsKey).value;
        std::int64_t number = 0;
        for (const auto& rollout : messages::decodeRollouts(text)) number = std::max(number, rollout.number);
        if (cache.rollouts(number, text)) tellAll(cache.order());  // not where ages alone have changed
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
                proposalNumbers[key] = messages::write(known.proposalNumber);
        const auto packed = PeerConnection::pack(Json{{"t", "known"},
                                                      {"ballots", std::move(proposalNumbers)},
                                                      {"hears", duties.hears()},
                                                      {"ages", rollouts.ages()}});
        for (const auto& [address, dialer] : dialers)
            if (dialer)
                if (auto link = dialer->link()) link->send(packed);
    }

    // ---- Duties, each by one control node. ----

    std::set<std::string> hears() const {
        std::set<std::string> all;
        for (const auto& [address, dialer] : dialers)
            if (dialer && dialer->link() && replica.hearsPeer(address)) all.insert(address);
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
                  {"blank", !replica.isVotingMember()},
                  {"members", replica.members().size()},
                  {"reached", replica.connectedPeerCount()},
                  {"register", replica.describe()},
                  {"configuration", cache.version() ? config::formatVersion(cache.version()) : ""},
                  {"duty", Json::array()},
                  {"duties", duties.describe()},
                  {"foyers", Json::object()},
                  {"pods", Json::object()},
                  {"rollouts", Json::parse(replica.known(kRolloutsKey).value.empty()
                                               ? "[]"
                                               : replica.known(kRolloutsKey).value)},
                  {"votes", rollouts.votes()},
                  {"calls", operatorCalls.calls()},
                  {"list_calls", list.calls()},
                  {"list_refused", list.refused()}};
        for (const auto& duty : {kListDuty, kRolloutsDuty})
            if (duties.has(duty)) told["duty"].push_back(duty);
        for (const auto& [name, proxy] : proxies)
            told["foyers"][name] = {{"at", proxy.address},
                                    {"life", proxy.life},
                                    {"missed_by", proxy.missedBy.size()},
                                    {"configuration", config::formatVersion(proxy.applied)}};
        for (const auto& [_, member] : cache.endpoints().members()) {
            auto& counts = told["pods"][member.service][member.version];
            if (counts.is_null()) counts = {0, 0};
            auto& count = counts[member.draining ? 1 : 0];
            count = count.get<int>() + 1;
        }
        return told;
    }

    void run() {
        signals(
            io,
            [this] {
                start(io, "leave", [](ControlPlane& self) -> Task<> {
                    co_await self.replica.stepDown();
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
        start(io, "links", servePeerConnections(io, peers, owner));
        start(io, "control", operatorCalls.serve(control));
        start(io, "register", replica.run());
        start(io, "register", readFirst());
        start(io, "known", tellKnown());
        start(io, "duties", duties.run());
        start(io, "list", list.poll());
        start(io, "rollouts", rollouts.steer());
        io.run();
    }

    config::BootstrapSettings boot;
    asio::io_context io{1};
    ReplicaNode replica;
    tcp::acceptor control, peers;
    std::shared_ptr<PeerConnection::Owner> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;  // by address
    std::map<std::string, ProxyInstance> proxies;            // by name
    subscription::ConfigurationCache cache{{}};
    Kept keptBody, keptList;  // packed, as last asked for
    LeaseHolder duties;
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
