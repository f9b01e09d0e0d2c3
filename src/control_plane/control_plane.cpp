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

namespace lichenlanding::prompter {
namespace {

using namespace wings;

constexpr Nanos tellKnownEvery = 500 * ms, lookEvery = 100 * ms;
constexpr Nanos rosterAfter = 400 * ms;

std::uint64_t drawnLife() {
    std::random_device draw;
    return (static_cast<std::uint64_t>(draw()) << 32) | draw();
}

struct Foyer {
    std::shared_ptr<Link> link;
    std::string address;
    std::uint64_t life = 0;
    std::uint32_t applied = 0;       // configuration acknowledged
    std::set<std::string> missedBy;  // foyers that watch it and have lost it
};

struct Prompter {
    Prompter(const playbill::Boot& boot_, bool metrics)
        : boot(boot_),
          keeper(io, boot, {[this](const std::string& key) { learnt(key); }, [this] { moved(); }},
                 Keeper::onDisk(boot_)),
          control(listen(io, boot.control)),
          peers(listen(io, boot.internal(boot.ip))),
          duties(
              keeper, {me(), drawnLife()}, [this] { return hears(); }, [this] { return board.seenTerm(); }),
          list(
              io, boot, board, [this] { return duties.has(listDuty) ? duties.term(listDuty) : 0; },
              [this](const Json& message) { tellAll(message); }),
          rollouts(
              keeper, [this] { return startedReading && duties.has(rolloutsDuty); },
              [this] { return foyerNames(); }),
          operatorCalls(
              io, OperatorCalls::Register::of(keeper), [this] { return status(); }, metrics) {
        owner = std::make_shared<Link::Owner>();
        owner->greet = [this](Link& link) { return greet(link); };
        owner->heard = [this](Link& link, const Json& message) { heard(link, message); };
        owner->closed = [this](Link& link) { closed(link); };
    }

    // ---- Links. ----

    std::string me() const { return boot.internal(boot.ip); }

    Json greet(Link&) {
        auto hello = keeper.greeting();
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

    void heard(Link& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind == "known") {
            if (message.contains("hears")) duties.heard(link.peer, message.at("hears"));
            if (message.contains("ages")) rollouts.learn(message.at("ages"));
        }
        if (kind == "hello") {
            hello(link, message);
        } else if (keeper.heard(link, message)) {
        } else if (kind == "want") {
            answer(link, message);
        } else if (kind == "digest") {
            board.heard(message, callboard::Callboard::From::follower, now(),
                        [&](Json reply) { link.send(word(std::move(reply))); });
        } else if (kind == "lost") {
            const auto at = foyers.find(message.at("name").get<std::string>());
            if (at != foyers.end()) at->second.missedBy.insert(link.peer);
        } else if (kind == "ack") {
            if (const auto at = foyers.find(link.peer); at != foyers.end())
                message.at("configuration").get_to(at->second.applied);
        } else if (kind == "vote") {
            rollouts.heard(message);
        }
    }

    void hello(Link& link, const Json& message) {
        link.kind = message.at("kind").get<std::string>();
        const auto at = message.at("at").get<std::string>();
        if (link.kind == "prompter") {
            link.peer = at;
            const auto dialer = dialers.find(at);
            if (dialer != dialers.end() && dialer->second && dialer->second->link().get() == &link)
                keeper.joined(at, link.shared_from_this());
            else if (dialer != dialers.end() && dialer->second && !dialer->second->link())
                dialer->second->hurry();  // after a loss of all, those that are up first wait for the others
            keeper.greeted(message);
            for (const auto& member : message.at("members")) dial(member.get<std::string>());
            sayKnown();
            return;
        }
        link.peer = message.at("name").get<std::string>();
        foyers[link.peer] = {link.shared_from_this(), at, message.at("life").get<std::uint64_t>(), 0, {}};
        link.send(word(board.digest()));
        roster();
    }

    // Other members, or contact has come or gone: new ones are dialled, and foyers are greeted again.
    void moved() {
        for (const auto& member : keeper.members()) dial(member);
        for (const auto& [_, foyer] : foyers) foyer.link->send(greet(*foyer.link));
        tellAll(board.digest());
    }

    void closed(Link& link) {
        if (link.kind == "prompter") {
            const auto dialer = dialers.find(link.peer);
            if (dialer != dialers.end() && dialer->second && !dialer->second->link())
                keeper.parted(link.peer), sayKnown();
        } else if (const auto at = foyers.find(link.peer);
                   at != foyers.end() && at->second.link.get() == &link) {
            foyers.erase(at);
            roster();
        }
    }

    // ---- Cues. ----

    // Each word to foyers says whether it speaks for a majority. The clock is for what foyers do together.
    Json word(Json message) const {
        message["sure"] = keeper.inContact();
        if (message.contains("sums")) message["clock"] = now() / ms;
        return message;
    }

    // What many foyers ask for at once, as at a start, is made and packed once.
    struct Kept {
        Json of;
        Packed packed;
    };
    template <typename Make>
    static Packed once(Kept& kept, Json of, Make make) {
        if (kept.of != of) kept = {std::move(of), Link::pack(make())};
        return kept.packed;
    }
    void answer(Link& link, Json want) {
        const bool sure = keeper.inContact();
        if (want.contains("configuration") && board.version() > 0) {
            link.send(once(keptBody, {board.version(), sure}, [&] { return word(board.body()); }));
            want.erase("configuration");
        }
        if (board.wantsWhole(want)) {
            const auto& edition = board.edition();
            link.send(
                once(keptList, {edition.term, edition.sequence, sure}, [&] { return word(board.whole()); }));
            want.erase("held");
        }
        board.heard(want, callboard::Callboard::From::follower, now(),
                    [&](Json reply) { link.send(word(std::move(reply))); });
    }

    void tellAll(const Json& message) {
        const auto packed = Link::pack(word(message));
        for (const auto& [_, foyer] : foyers) foyer.link->send(packed);
    }

    // One word for all that came and went of late: at a start a whole fleet says hello at once.
    void roster() {
        if (std::exchange(rosterDue, true)) return;
        start(io, "roster", tellRoster());
    }

    Task<> tellRoster() {
        co_await sleep(rosterAfter);
        rosterDue = false;
        Json names = Json::object();
        for (const auto& [name, foyer] : foyers) names[name] = foyer.address;
        const auto packed = Link::pack(Json{{"t", "roster"}, {"foyers", std::move(names)}});
        for (const auto& [_, foyer] : foyers) foyer.link->send(packed);
    }

    void learnt(const std::string& key) {
        const auto& value = keeper.known(key).value;
        if (key == configurationKey && !value.empty()) {
            try {
                board.configuration(orders::version(value), std::string(orders::squeezed(value)));
            } catch (const orders::Unreadable& error) {  // of a later text, say; what is held stays
                return log("value_unreadable", {{"step", "learnt"}, {"error", error.what()}});
            }
            tellAll(board.cue());
        } else if (key == rolloutsKey) {
            rollouts.learnt();
            if (startedReading) pinRollouts();
        }
    }

    void pinRollouts() {
        const auto& text = keeper.known(rolloutsKey).value;
        std::int64_t number = 0;
        for (const auto& rollout : cues::readRollouts(text)) number = std::max(number, rollout.number);
        if (board.rollouts(number, text)) tellAll(board.order());  // not where ages alone have changed
    }

    // Before rollouts have been read from a majority nothing is said of them.
    Task<> readFirst() {
        for (;;) {
            const auto value = co_await keeper.read(rolloutsKey, second);
            if (value) break;
        }
        startedReading = true;
        pinRollouts();
    }

    // At once where another comes to be heard, or is heard no more: a duty waits for that.
    Task<> tellKnown() {
        std::set<std::string> told;
        for (Nanos at = 0;;) {
            co_await sleep(lookEvery);
            auto heard = hears();
            if (heard == told && now() - at < tellKnownEvery) continue;
            at = now(), told = std::move(heard);
            sayKnown();
        }
    }

    void sayKnown() {
        Json ballots = Json::object();
        for (const auto& key : keys)
            if (const auto& known = keeper.known(key); known.ballot.round > 0)
                ballots[key] = cues::write(known.ballot);
        const auto packed = Link::pack(Json{{"t", "known"},
                                            {"ballots", std::move(ballots)},
                                            {"hears", duties.hears()},
                                            {"ages", rollouts.ages()}});
        for (const auto& [address, dialer] : dialers)
            if (dialer)
                if (auto link = dialer->link()) link->send(packed);
    }

    // ---- Duties, each by one prompter. ----

    std::set<std::string> hears() const {
        std::set<std::string> all;
        for (const auto& [address, dialer] : dialers)
            if (dialer && dialer->link() && keeper.hears(address)) all.insert(address);
        return all;
    }

    std::vector<std::string> foyerNames() const {
        std::vector<std::string> names;
        for (const auto& [name, _] : foyers) names.push_back(name);
        return names;
    }

    // ---- Status. ----

    // What this prompter knows; nothing is asked of others.
    Json status() const {
        Json told{
            {"node", boot.name},
            {"blank", !keeper.votes()},
            {"members", keeper.members().size()},
            {"reached", keeper.reached()},
            {"register", keeper.describe()},
            {"configuration", board.version() ? playbill::versionText(board.version()) : ""},
            {"duty", Json::array()},
            {"duties", duties.describe()},
            {"foyers", Json::object()},
            {"pods", Json::object()},
            {"rollouts",
             Json::parse(keeper.known(rolloutsKey).value.empty() ? "[]" : keeper.known(rolloutsKey).value)},
            {"votes", rollouts.votes()},
            {"calls", operatorCalls.calls()},
            {"list_calls", list.calls()},
            {"list_refused", list.refused()}};
        for (const auto& duty : {listDuty, rolloutsDuty})
            if (duties.has(duty)) told["duty"].push_back(duty);
        for (const auto& [name, foyer] : foyers)
            told["foyers"][name] = {{"at", foyer.address},
                                    {"life", foyer.life},
                                    {"missed_by", foyer.missedBy.size()},
                                    {"configuration", playbill::versionText(foyer.applied)}};
        for (const auto& [_, member] : board.troupe().members()) {
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
                start(io, "leave", [](Prompter& self) -> Task<> {
                    co_await self.keeper.leave();
                    log("left", {});
                    self.io.stop();
                }(*this));
            },
            [this] {
                try {
                    boot = playbill::Boot::fromEnvironment();
                    dialSeeds();
                    log("settings_read", {});
                } catch (const std::exception& wrong_) {
                    log("settings_refused", {{"step", "reload"}, {"error", wrong_.what()}});
                }
            });
        log("start", {});
        keeper.open();
        dialSeeds();
        for (const auto& member : keeper.members()) dial(member);
        start(io, "links", serveLinks(io, peers, owner));
        start(io, "control", operatorCalls.serve(control));
        start(io, "register", keeper.maintain());
        start(io, "register", readFirst());
        start(io, "known", tellKnown());
        start(io, "duties", duties.run());
        start(io, "list", list.poll());
        start(io, "rollouts", rollouts.steer());
        io.run();
    }

    playbill::Boot boot;
    asio::io_context io{1};
    Keeper keeper;
    tcp::acceptor control, peers;
    std::shared_ptr<Link::Owner> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;  // by address
    std::map<std::string, Foyer> foyers;                     // by name
    callboard::Callboard board{{}};
    Kept keptBody, keptList;  // packed, as last asked for
    DutyHolder duties;
    ListDuty list;
    RolloutsDuty rollouts;
    OperatorCalls operatorCalls;
    bool startedReading = false, rosterDue = false;
};

}  // namespace

void run(const playbill::Boot& boot, bool metrics) {
    openLog(boot.name);
    Prompter(boot, metrics).run();
}

}  // namespace lichenlanding::prompter
