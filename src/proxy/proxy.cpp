#include "proxy/proxy.hpp"

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"
#include "proxy/http_server.hpp"
#include "proxy/readiness_server.hpp"
#include "subscription/configuration_cache.hpp"
#include "subscription/quorum_contact.hpp"
#include "transport/compression.hpp"
#include "transport/log.hpp"
#include "transport/peer_connection.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;

constexpr Nanos kSweepEvery = 250 * kMillisecond;
constexpr Nanos kTakeOnFor = 3000 * kMillisecond;   // after SIGTERM, until clients have been led away
constexpr Nanos kLeaveBefore = 500 * kMillisecond;  // of the grace, kept back
constexpr Nanos kAsleep = kSecond;                  // between two sweeps: the machine stood still
constexpr Nanos kWakeWithin = 150 * kMillisecond;   // for news, after that

struct Proxy {
    explicit Proxy(const config::BootstrapSettings& boot_)
        : boot(boot_),
          seed(std::random_device{}()),
          router(boot, seed),
          upstream(io),
          front(io, router, upstream, [this] { return awake(); }),
          clients(listen(io, boot.httpAddress)),
          probes(listen(io, boot.readinessAddress)),
          doors(listen(io, boot.peerAddress(boot.ip))) {
        std::random_device draw;
        life = (static_cast<std::uint64_t>(draw()) << 32) | draw();
        owner = std::make_shared<PeerConnection::Callbacks>();
        owner->makeHello = [this](PeerConnection& link) { return greet(link); };
        owner->onMessage = [this](PeerConnection& link, const Json& message) { heard(link, message); };
        owner->onClosed = [this](PeerConnection& link) { closed(link); };
    }

    // ---- Company: links to control nodes and to voters. ----

    Json greet(PeerConnection&) const {
        return {{"t", "hello"},
                {"kind", "foyer"},
                {"name", boot.name},
                {"at", boot.peerAddress(boot.ip)},
                {"life", life}};
    }

    void dial(const std::string& address) {
        auto& dialer = dialers[address];
        if (dialer) return;
        dialer = std::make_shared<Dialer>(io, address, owner);
        dialer->start();
    }

    void dialSeeds() {
        for (const auto& seedAddress : boot.seeds) dial(boot.peerAddress(hostOf(seedAddress)));
    }

    void heard(PeerConnection& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        const bool controlNode = link.kind == "prompter";
        if (kind == "hello") {
            link.kind = message.at("kind").get<std::string>();
            if (link.kind == "prompter")
                for (const auto& member : message.at("members")) dial(member.get<std::string>());
            else link.setHeartbeatInterval(boot.heartbeat);
        } else if (kind == "roster") {
            rosters[link.peer] = message.at("foyers").get<std::map<std::string, std::string>>();
            enrol();
        } else if (kind == "counts") {
            pool(message);
        } else {
            news(link, message, controlNode);
        }
    }

    // What a proxy or a control node tells, or asks for. Each says whether it speaks, or was told, for a
    // majority.
    void news(PeerConnection& link, const Json& message, bool controlNode) {
        using MessageSource = subscription::ConfigurationCache::MessageSource;
        const bool sure = message.value("sure", true);
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind != "want") {
            if (controlNode) reached(quorumContact.onControlNodeMessage(link.peer, sure, now()));
            if (!quorumContact.acceptsUpdates(sure, cache.version() > 0, now())) return;
        }
        cache.handleMessage(message, controlNode ? MessageSource::controlNode : MessageSource::peerProxy,
                            now(), [&](Json reply) {
                                if (reply.at("t") != "want") reply["sure"] = quorumContact.isConfirmed();
                                link.send(reply);
                            });
        if (sure && cache.version() > 0 &&
            (kind == "configuration" || (kind == "digest" && message.at("configuration") <= cache.version())))
            quorumContact.markConfirmed(true);
        // Proxies that turn from pod to pod together do so by the clock of who tells them the list, not by
        // theirs.
        if (controlNode && kind == "digest" && message.contains("clock"))
            router.common(message.at("clock").get<std::int64_t>() * kMillisecond - now());
        if (cache.endpointsCurrent()) router.listed();
    }

    void reached(subscription::QuorumContact::Change change) {
        using Change = subscription::QuorumContact::Change;
        if (change == Change::none) return;
        log(change == Change::unconfirmed ? "news_unsure" : "news_sure",
            {{"step", "news"},
             {"configuration", config::formatVersion(cache.version())},
             {"held_sure", quorumContact.isConfirmed()}});
    }

    Json digest() const {
        auto told = cache.digestMessage();
        told["sure"] = quorumContact.isConfirmed();
        return told;
    }

    void closed(PeerConnection& link) {
        if (link.kind == "prompter") reached(quorumContact.onControlNodeDisconnected(link.peer, now()));
        if (rosters.erase(link.peer) > 0) enrol();
        for (const auto& name : watching)
            if (const auto at = proxies.find(name);
                at != proxies.end() && at->second == link.peer && link.kind == "foyer") {
                log("neighbour_lost", {{"step", "watch"}, {"peer", name}});
                const auto packed = PeerConnection::encode(Json{{"t", "lost"}, {"name", name}});
                for (const auto& to : controlNodes()) to->send(packed);
            }
    }

    void take(const std::string& compressed) {
        try {
            router.take(std::make_shared<const config::Configuration>(
                config::Configuration::parse(decompress(compressed))));
        } catch (const std::exception& wrong) {
            log("configuration_unreadable", {{"step", "take"}, {"error", wrong.what()}});
        }
        const auto version = router.configuration() ? router.configuration()->version : 0;
        const auto packed = PeerConnection::encode(Json{{"t", "ack"}, {"configuration", version}});
        for (const auto& link : controlNodes()) link->send(packed);
    }

    static std::vector<std::shared_ptr<PeerConnection>> open(
        const std::map<std::string, std::shared_ptr<Dialer>>& all, const char* kind) {
        std::vector<std::shared_ptr<PeerConnection>> links;
        for (const auto& [_, dialer] : all)
            if (auto link = dialer->connection(); link && link->kind == kind) links.push_back(link);
        return links;
    }
    std::vector<std::shared_ptr<PeerConnection>> controlNodes() const { return open(dialers, "prompter"); }

    // Who there is, by the control nodes reached; what was last known while none is.
    void enrol() {
        if (!rosters.empty() || proxies.empty()) proxies.clear();
        for (const auto& [_, roster] : rosters) proxies.insert(roster.begin(), roster.end());
        proxies[boot.name] = boot.peerAddress(boot.ip);
        router.company(proxies.size(), now());
        std::vector<std::string> names;
        for (const auto& [name, _] : proxies) names.push_back(name);
        watching = hashing::watchedPeers(std::move(names), boot.name);
        keepPeers();
    }

    // Links to other proxies: to those watched, and while an order runs to its voters.
    void keepPeers() {
        std::set<std::string> wanted;
        for (const auto& name : watching) wanted.insert(proxies.at(name));
        for (const auto& rollout : router.rollouts())
            if (rollout.running())
                for (const auto& voter : votersOf(rollout))
                    if (voter != boot.name) wanted.insert(proxies.at(voter));
        std::erase_if(peers, [&](const auto& peer) {
            const bool drop = !wanted.contains(peer.first);
            if (drop) peer.second->stop();
            return drop;
        });
        for (const auto& address : wanted) {
            auto& dialer = peers[address];
            if (dialer) continue;
            dialer = std::make_shared<Dialer>(io, address, owner);
            dialer->start();
        }
    }

    // Neighbours compare what they hold.
    Task<> watch() {
        for (;;) {
            co_await sleep(boot.heartbeat);
            const auto packed = PeerConnection::encode(digest());
            for (const auto& name : watching)
                if (const auto peer = peers.find(proxies.at(name)); peer != peers.end())
                    if (const auto link = peer->second->connection()) link->send(packed);
        }
    }

    // ---- Rollouts: totals to voters, judgements of our own. ----

    std::vector<std::string> votersOf(const messages::Rollout& rollout) const {
        std::vector<std::string> names;
        for (const auto& [name, _] : proxies) names.push_back(name);
        return hashing::rendezvousSelect(names, rollout.service + "\n" + rollout.target,
                                         verdict::kVoterCount);
    }

    void watchRollouts() {
        keepPeers();
        const auto& all = router.rollouts();
        const bool running =
            std::any_of(all.begin(), all.end(), [](const auto& one) { return one.running(); });
        if (!running || counting) return;
        counting = true;
        spawn(io, "counts", count());
    }

    Task<> count() {
        Nanos told = 0;
        std::uint64_t badTold = 0;
        for (bool running = true; running;) {
            co_await sleep(verdict::kUrgentEvery);
            const bool due = now() - told >= verdict::kCountsEvery || router.canaryFailures() > badTold;
            running = false;
            for (const auto& rollout : router.rollouts()) {
                if (!rollout.running()) continue;
                running = true;
                if (due) tell(rollout);
                judge(rollout);
            }
            if (due) told = now(), badTold = router.canaryFailures();
        }
        counting = false;
        pools.clear();
        keepPeers();
    }

    void tell(const messages::Rollout& rollout) {
        const auto& totals = router.totals(rollout.service, rollout.target);
        const auto key = rollout.service + "\n" + rollout.target;
        ++counted;
        std::shared_ptr<const std::string> packed;
        for (const auto& voter : votersOf(rollout)) {
            if (voter == boot.name) {
                pools[key].take(boot.name, life, counted, totals);
                continue;
            }
            const auto peer = peers.find(proxies.at(voter));
            if (peer == peers.end()) continue;
            if (!packed)
                packed = PeerConnection::encode(Json{{"t", "counts"},
                                                     {"from", boot.name},
                                                     {"life", life},
                                                     {"number", counted},
                                                     {"rollout", key},
                                                     {"totals", messages::encode(totals)}});
            if (auto link = peer->second->connection()) link->send(packed);
        }
    }

    void pool(const Json& message) {
        pools[message.at("rollout").get<std::string>()].take(
            message.at("from").get<std::string>(), message.at("life").get<std::uint64_t>(),
            message.at("number").get<std::uint64_t>(), messages::decodeTotals(message.at("totals")));
    }

    void judge(const messages::Rollout& rollout) {
        const auto chosen = votersOf(rollout);
        if (std::find(chosen.begin(), chosen.end(), boot.name) == chosen.end()) return;
        const auto key = rollout.service + "\n" + rollout.target;
        auto& next = judgeNext[key];
        if (now() < next) return;
        next = now() + verdict::kJudgeEvery;
        const auto judged = verdict::judge(pools[key].sum(), chance);
        const Json vote{{"t", "vote"},
                        {"from", boot.name},
                        {"service", rollout.service},
                        {"target", rollout.target},
                        {"stage", rollout.stage},
                        {"verdict", static_cast<int>(judged.verdict)},
                        {"fresh", judged.fresh},
                        {"earlier", judged.earlier},
                        {"bad", judged.bad},
                        {"lower", judged.bounds.lowerChance},
                        {"upper", judged.bounds.upperChance}};
        const auto packed = PeerConnection::encode(vote);
        for (const auto& link : controlNodes()) link->send(packed);
    }

    // ---- Readiness, stopping, small change. ----

    bool ready() const { return !leaving && router.ready(); }
    // After a standstill what is known may be old: requests wait a moment for a control node's word.
    bool awake() const { return now() - turned < kAsleep && now() >= doubtUntil; }

    Task<> tend() {
        for (bool was = false;;) {
            co_await sleep(kSweepEvery);
            if (const Nanos gap = now() - std::exchange(turned, now()); gap > kAsleep) {
                doubtUntil = now() + kWakeWithin;
                log("woke", {{"stood_ms", gap / kMillisecond}});
            }
            if (quorumContact.waitElapsed(cache.version() > 0, now())) {
                log("news_taken_unsure",
                    {{"step", "news"}, {"waited_ms", quorumContact.kUnconfirmedWait / kMillisecond}});
                const auto packed = PeerConnection::encode(digest());
                for (const auto& link : controlNodes()) link->send(packed);
            }
            front.sweep(now());
            upstream.sweep(now());
            if (ready() != was) {
                was = ready();
                log(was ? "ready" : "unready",
                    {{"configuration",
                      router.configuration() ? config::formatVersion(router.configuration()->version) : ""},
                     {"pods", router.hosts().size()},
                     {"foyers", proxies.size()},
                     {"leaving", leaving}});
            }
        }
    }

    Task<> leave() {
        const Nanos began = now(), end = began + boot.shutdownGrace - kLeaveBefore;
        log("leaving", {{"open", front.open()}});
        front.drain();
        co_await sleep(std::min(kTakeOnFor, boot.shutdownGrace / 2));
        ErrorCode ignored;
        clients.close(ignored);
        while (front.open() > 0 && now() < end) {
            front.closeIdle();
            co_await sleep(30 * kMillisecond);
        }
        log("left", {{"open", front.open()},
                     {"served", front.served},
                     {"refused", front.refused},
                     {"failed", front.failed}});
        io.stop();
    }

    void reload() {
        try {
            boot = config::BootstrapSettings::fromEnvironment();
            dialSeeds();
            log("settings_read", {});
        } catch (const std::exception& wrong) {
            log("settings_refused", {{"step", "reload"}, {"error", wrong.what()}});
        }
    }

    void run() {
        enrol();
        handleSignals(
            io,
            [this] {
                if (std::exchange(leaving, true)) return;
                spawn(io, "leave", leave());
            },
            [this] { reload(); });
        log("start", {{"seed", seed}, {"life", life}});
        dialSeeds();
        spawn(io, "links", servePeerConnections(io, doors, owner));
        spawn(io, "clients", front.serve(clients));
        spawn(io, "readiness", serveReadiness(io, probes, [this] { return ready(); }));
        spawn(io, "tend", tend());
        spawn(io, "watch", watch());
        io.run();
    }

    config::BootstrapSettings boot;
    asio::io_context io{1};
    std::uint32_t seed;
    std::uint64_t life = 0, counted = 0;
    routing::Router router;
    UpstreamClient upstream;
    HttpServer front;
    tcp::acceptor clients, probes, doors;
    std::shared_ptr<PeerConnection::Callbacks> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers, peers;  // by address: control nodes, proxies
    std::map<std::string, std::map<std::string, std::string>>
        rosters;  // by control node: proxies and addresses
    std::map<std::string, std::string> proxies;
    std::map<std::string, verdict::Pool> pools;
    std::map<std::string, Nanos> judgeNext;
    std::mt19937 chance{std::random_device{}()};
    subscription::ConfigurationCache cache{
        {[this](const std::string& compressed) { take(compressed); },
         [this](const std::string& text) {
             router.rollouts(messages::decodeRollouts(text), now());
             watchRollouts();
         },
         [this](const discovery::EndpointEvent& event) { router.apply(event, now()); }}};
    subscription::QuorumContact quorumContact;
    std::vector<std::string> watching;  // proxies
    Nanos turned = now(), doubtUntil = 0;
    bool leaving = false, counting = false;
};

}  // namespace

void run(const config::BootstrapSettings& boot) {
    openLog(boot.name);
    Proxy(boot).run();
}

}  // namespace lichenlanding::proxy
