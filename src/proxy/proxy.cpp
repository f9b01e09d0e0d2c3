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

namespace lichenlanding::foyer {
namespace {

using namespace wings;

constexpr Nanos sweepEvery = 250 * ms;
constexpr Nanos takeOnFor = 3000 * ms;   // after SIGTERM, until clients have been led away
constexpr Nanos leaveBefore = 500 * ms;  // of the grace, kept back
constexpr Nanos asleep = second;         // between two sweeps: the machine stood still
constexpr Nanos wakeWithin = 150 * ms;   // for news, after that

struct Foyer {
    explicit Foyer(const playbill::Boot& boot_)
        : boot(boot_),
          seed(std::random_device{}()),
          casting(boot, seed),
          upstream(io),
          front(io, casting, upstream, [this] { return awake(); }),
          clients(listen(io, boot.front)),
          probes(listen(io, boot.readiness)),
          doors(listen(io, boot.internal(boot.ip))) {
        std::random_device draw;
        life = (static_cast<std::uint64_t>(draw()) << 32) | draw();
        owner = std::make_shared<Link::Owner>();
        owner->greet = [this](Link& link) { return greet(link); };
        owner->heard = [this](Link& link, const Json& message) { heard(link, message); };
        owner->closed = [this](Link& link) { closed(link); };
    }

    // ---- Company: links to prompters and to voters. ----

    Json greet(Link&) const {
        return {{"t", "hello"},
                {"kind", "foyer"},
                {"name", boot.name},
                {"at", boot.internal(boot.ip)},
                {"life", life}};
    }

    void dial(const std::string& address) {
        auto& dialer = dialers[address];
        if (dialer) return;
        dialer = std::make_shared<Dialer>(io, address, owner);
        dialer->go();
    }

    void dialSeeds() {
        for (const auto& seedAddress : boot.seeds) dial(boot.internal(hostOf(seedAddress)));
    }

    void heard(Link& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        const bool prompter = link.kind == "prompter";
        if (kind == "hello") {
            link.kind = message.at("kind").get<std::string>();
            if (link.kind == "prompter")
                for (const auto& member : message.at("members")) dial(member.get<std::string>());
            else link.pace(boot.heartbeat);
        } else if (kind == "roster") {
            rosters[link.peer] = message.at("foyers").get<std::map<std::string, std::string>>();
            enrol();
        } else if (kind == "counts") {
            pool(message);
        } else {
            news(link, message, prompter);
        }
    }

    // What a foyer or a prompter tells, or asks for. Each says whether it speaks, or was told, for a
    // majority.
    void news(Link& link, const Json& message, bool prompter) {
        using From = callboard::Callboard::From;
        const bool sure = message.value("sure", true);
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind != "want") {
            if (prompter) reached(confidence.heard(link.peer, sure, now()));
            if (!confidence.takes(sure, board.version() > 0, now())) return;
        }
        board.heard(message, prompter ? From::prompter : From::neighbour, now(), [&](Json reply) {
            if (reply.at("t") != "want") reply["sure"] = confidence.sure();
            link.send(reply);
        });
        if (sure && board.version() > 0 &&
            (kind == "configuration" || (kind == "digest" && message.at("configuration") <= board.version())))
            confidence.holds(true);
        // Foyers that turn from pod to pod together do so by the clock of who tells them the list, not by
        // theirs.
        if (prompter && kind == "digest" && message.contains("clock"))
            casting.common(message.at("clock").get<std::int64_t>() * ms - now());
        if (board.listed()) casting.listed();
    }

    void reached(callboard::Confidence::Change change) {
        using Change = callboard::Confidence::Change;
        if (change == Change::none) return;
        log(change == Change::unsure ? "news_unsure" : "news_sure",
            {{"step", "news"},
             {"configuration", playbill::versionText(board.version())},
             {"held_sure", confidence.sure()}});
    }

    Json digest() const {
        auto told = board.digest();
        told["sure"] = confidence.sure();
        return told;
    }

    void closed(Link& link) {
        if (link.kind == "prompter") reached(confidence.parted(link.peer, now()));
        if (rosters.erase(link.peer) > 0) enrol();
        for (const auto& name : watching)
            if (const auto at = foyers.find(name);
                at != foyers.end() && at->second == link.peer && link.kind == "foyer") {
                log("neighbour_lost", {{"step", "watch"}, {"peer", name}});
                const auto packed = Link::pack(Json{{"t", "lost"}, {"name", name}});
                for (const auto& to : prompters()) to->send(packed);
            }
    }

    void take(const std::string& squeezed) {
        try {
            casting.take(
                std::make_shared<const playbill::Playbill>(playbill::Playbill::read(unsqueeze(squeezed))));
        } catch (const std::exception& wrong) {
            log("configuration_unreadable", {{"step", "take"}, {"error", wrong.what()}});
        }
        const auto version = casting.playbill() ? casting.playbill()->version : 0;
        const auto packed = Link::pack(Json{{"t", "ack"}, {"configuration", version}});
        for (const auto& link : prompters()) link->send(packed);
    }

    static std::vector<std::shared_ptr<Link>> open(const std::map<std::string, std::shared_ptr<Dialer>>& all,
                                                   const char* kind) {
        std::vector<std::shared_ptr<Link>> links;
        for (const auto& [_, dialer] : all)
            if (auto link = dialer->link(); link && link->kind == kind) links.push_back(link);
        return links;
    }
    std::vector<std::shared_ptr<Link>> prompters() const { return open(dialers, "prompter"); }

    // Who there is, by the prompters reached; what was last known while none is.
    void enrol() {
        if (!rosters.empty() || foyers.empty()) foyers.clear();
        for (const auto& [_, roster] : rosters) foyers.insert(roster.begin(), roster.end());
        foyers[boot.name] = boot.internal(boot.ip);
        casting.company(foyers.size(), now());
        std::vector<std::string> names;
        for (const auto& [name, _] : foyers) names.push_back(name);
        watching = company::watched(std::move(names), boot.name);
        keepPeers();
    }

    // Links to other foyers: to those watched, and while an order runs to its voters.
    void keepPeers() {
        std::set<std::string> wanted;
        for (const auto& name : watching) wanted.insert(foyers.at(name));
        for (const auto& rollout : casting.rollouts())
            if (rollout.running())
                for (const auto& voter : votersOf(rollout))
                    if (voter != boot.name) wanted.insert(foyers.at(voter));
        std::erase_if(peers, [&](const auto& peer) {
            const bool drop = !wanted.contains(peer.first);
            if (drop) peer.second->stop();
            return drop;
        });
        for (const auto& address : wanted) {
            auto& dialer = peers[address];
            if (dialer) continue;
            dialer = std::make_shared<Dialer>(io, address, owner);
            dialer->go();
        }
    }

    // Neighbours compare what they hold.
    Task<> watch() {
        for (;;) {
            co_await sleep(boot.heartbeat);
            const auto packed = Link::pack(digest());
            for (const auto& name : watching)
                if (const auto peer = peers.find(foyers.at(name)); peer != peers.end())
                    if (const auto link = peer->second->link()) link->send(packed);
        }
    }

    // ---- Rollouts: totals to voters, judgements of our own. ----

    std::vector<std::string> votersOf(const cues::Rollout& rollout) const {
        std::vector<std::string> names;
        for (const auto& [name, _] : foyers) names.push_back(name);
        return company::chosen(names, rollout.service + "\n" + rollout.target, verdict::voterCount);
    }

    void watchRollouts() {
        keepPeers();
        const auto& all = casting.rollouts();
        const bool running =
            std::any_of(all.begin(), all.end(), [](const auto& one) { return one.running(); });
        if (!running || counting) return;
        counting = true;
        start(io, "counts", count());
    }

    Task<> count() {
        Nanos told = 0;
        std::uint64_t badTold = 0;
        for (bool running = true; running;) {
            co_await sleep(verdict::urgentEvery);
            const bool due = now() - told >= verdict::countsEvery || casting.badSeen() > badTold;
            running = false;
            for (const auto& rollout : casting.rollouts()) {
                if (!rollout.running()) continue;
                running = true;
                if (due) tell(rollout);
                judge(rollout);
            }
            if (due) told = now(), badTold = casting.badSeen();
        }
        counting = false;
        pools.clear();
        keepPeers();
    }

    void tell(const cues::Rollout& rollout) {
        const auto& totals = casting.totals(rollout.service, rollout.target);
        const auto key = rollout.service + "\n" + rollout.target;
        ++counted;
        std::shared_ptr<const std::string> packed;
        for (const auto& voter : votersOf(rollout)) {
            if (voter == boot.name) {
                pools[key].take(boot.name, life, counted, totals);
                continue;
            }
            const auto peer = peers.find(foyers.at(voter));
            if (peer == peers.end()) continue;
            if (!packed)
                packed = Link::pack(Json{{"t", "counts"},
                                         {"from", boot.name},
                                         {"life", life},
                                         {"number", counted},
                                         {"rollout", key},
                                         {"totals", cues::write(totals)}});
            if (auto link = peer->second->link()) link->send(packed);
        }
    }

    void pool(const Json& message) {
        pools[message.at("rollout").get<std::string>()].take(
            message.at("from").get<std::string>(), message.at("life").get<std::uint64_t>(),
            message.at("number").get<std::uint64_t>(), cues::readTotals(message.at("totals")));
    }

    void judge(const cues::Rollout& rollout) {
        const auto chosen = votersOf(rollout);
        if (std::find(chosen.begin(), chosen.end(), boot.name) == chosen.end()) return;
        const auto key = rollout.service + "\n" + rollout.target;
        auto& next = judgeNext[key];
        if (now() < next) return;
        next = now() + verdict::judgeEvery;
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
        const auto packed = Link::pack(vote);
        for (const auto& link : prompters()) link->send(packed);
    }

    // ---- Readiness, stopping, small change. ----

    bool ready() const { return !leaving && casting.ready(); }
    // After a standstill what is known may be old: requests wait a moment for a prompter's word.
    bool awake() const { return now() - turned < asleep && now() >= doubtUntil; }

    Task<> tend() {
        for (bool was = false;;) {
            co_await sleep(sweepEvery);
            if (const Nanos gap = now() - std::exchange(turned, now()); gap > asleep) {
                doubtUntil = now() + wakeWithin;
                log("woke", {{"stood_ms", gap / ms}});
            }
            if (confidence.waited(board.version() > 0, now())) {
                log("news_taken_unsure", {{"step", "news"}, {"waited_ms", confidence.unsureWait / ms}});
                const auto packed = Link::pack(digest());
                for (const auto& link : prompters()) link->send(packed);
            }
            front.sweep(now());
            upstream.sweep(now());
            if (ready() != was) {
                was = ready();
                log(was ? "ready" : "unready",
                    {{"configuration",
                      casting.playbill() ? playbill::versionText(casting.playbill()->version) : ""},
                     {"pods", casting.actors().size()},
                     {"foyers", foyers.size()},
                     {"leaving", leaving}});
            }
        }
    }

    Task<> leave() {
        const Nanos began = now(), end = began + boot.grace - leaveBefore;
        log("leaving", {{"open", front.open()}});
        front.drain();
        co_await sleep(std::min(takeOnFor, boot.grace / 2));
        Code ignored;
        clients.close(ignored);
        while (front.open() > 0 && now() < end) {
            front.closeIdle();
            co_await sleep(30 * ms);
        }
        log("left", {{"open", front.open()},
                     {"served", front.served},
                     {"refused", front.refused},
                     {"failed", front.failed}});
        io.stop();
    }

    void reload() {
        try {
            boot = playbill::Boot::fromEnvironment();
            dialSeeds();
            log("settings_read", {});
        } catch (const std::exception& wrong) {
            log("settings_refused", {{"step", "reload"}, {"error", wrong.what()}});
        }
    }

    void run() {
        enrol();
        signals(
            io,
            [this] {
                if (std::exchange(leaving, true)) return;
                start(io, "leave", leave());
            },
            [this] { reload(); });
        log("start", {{"seed", seed}, {"life", life}});
        dialSeeds();
        start(io, "links", serveLinks(io, doors, owner));
        start(io, "clients", front.serve(clients));
        start(io, "readiness", serveProbes(io, probes, [this] { return ready(); }));
        start(io, "tend", tend());
        start(io, "watch", watch());
        io.run();
    }

    playbill::Boot boot;
    asio::io_context io{1};
    std::uint32_t seed;
    std::uint64_t life = 0, counted = 0;
    casting::Casting casting;
    Upstream upstream;
    Front front;
    tcp::acceptor clients, probes, doors;
    std::shared_ptr<Link::Owner> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers, peers;      // by address: prompters, foyers
    std::map<std::string, std::map<std::string, std::string>> rosters;  // by prompter: foyers and addresses
    std::map<std::string, std::string> foyers;
    std::map<std::string, verdict::Pool> pools;
    std::map<std::string, Nanos> judgeNext;
    std::mt19937 chance{std::random_device{}()};
    callboard::Callboard board{{[this](const std::string& squeezed) { take(squeezed); },
                                [this](const std::string& text) {
                                    casting.rollouts(cues::readRollouts(text), now());
                                    watchRollouts();
                                },
                                [this](const troupe::Event& event) { casting.apply(event, now()); }}};
    callboard::Confidence confidence;
    std::vector<std::string> watching;  // foyers
    Nanos turned = now(), doubtUntil = 0;
    bool leaving = false, counting = false;
};

}  // namespace

void run(const playbill::Boot& boot) {
    openLog(boot.name);
    Foyer(boot).run();
}

}  // namespace lichenlanding::foyer
