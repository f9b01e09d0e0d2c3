#include "scale_test/hollow.hpp"

#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstdio>
#include <istream>
#include <random>

#include "hashing/rendezvous.hpp"
#include "subscription/configuration_cache.hpp"
#include "subscription/quorum_contact.hpp"
#include "transport/log.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::rehearsal {
namespace {

using namespace wings;

constexpr Nanos tallyEvery = 200 * ms;
constexpr Nanos awayFor = 500 * ms;  // a restart

void fact(const char* what, Json about) {
    about["fact"] = what;
    if (!about.contains("ns")) about["ns"] = now();
    std::fprintf(stderr, "%s\n", about.dump().c_str());
}

// Messages of all foyers of this process, by the kind of the other side and their own.
struct Tally {
    std::map<std::string, std::map<std::string, std::uint64_t>> heard, sent;
};

// Who there is, by name and address. All foyers of a process are told the same many times over, so what is
// worked out of it is kept once for all: a process of them has one thread where each foyer has its own
// machine.
struct Roster {
    std::uint64_t sum = 0;
    std::map<std::string, std::string> foyers;
};

struct Room {
    asio::io_context& io;
    const Json& told;
    Tally tally;
    std::mt19937_64 chance{std::random_device{}()};
    std::map<std::uint64_t, std::weak_ptr<const Roster>> rosters{};  // by a hash over all of it

    std::shared_ptr<const Roster> roster(const Json& foyers) {
        std::uint64_t sum = foyers.size();
        for (const auto& [name, address] : foyers.items())
            sum += company::hash(name, address.get_ref<const std::string&>());
        auto& kept = rosters[sum];
        auto same = kept.lock();
        if (!same) {
            Roster made{sum, {}};
            foyers.get_to(made.foyers);
            kept = same = std::make_shared<const Roster>(std::move(made));
        }
        std::erase_if(rosters, [](const auto& one) { return one.second.expired(); });
        return same;
    }
};

class HollowFoyer : public std::enable_shared_from_this<HollowFoyer> {
  public:
    HollowFoyer(Room& room, std::int64_t n) : room_(room), name_(hollowName(n)), ip_(hollowAddress(n)) {}

    void open() {
        const auto self = shared_from_this();
        owner_ = std::make_shared<Link::Owner>();
        owner_->greet = [self](Link& link) { return self->greet(link); };
        owner_->heard = [self](Link& link, const Json& message) {
            if (!self->left_) self->heard(link, message);
        };
        owner_->closed = [self](Link& link) {
            if (!self->left_) self->closed(link);
        };
        door_ = std::make_unique<tcp::acceptor>(listen(room_.io, at(ip_)));
        enrol();
        for (const auto& seed : room_.told.at("seeds")) dial(seed.get<std::string>());
        start(room_.io, "links", serveLinks(room_.io, *door_, owner_));
        start(room_.io, "watch", watch(self));
    }

    void leave() {
        left_ = true;
        Code ignored;
        door_->close(ignored);
        for (const auto* all : {&dialers_, &peers_})
            for (const auto& [_, dialer] : *all) dialer->stop();
        for (const auto& one : links_)
            if (const auto link = one.lock()) link->close();
    }

  private:
    std::string at(const std::string& ip) const {
        return ip + ":" + std::to_string(room_.told.at("port").get<int>());
    }

    void send(Link& link, const Json& message) {
        count(room_.tally.sent, link, message);
        link.send(message);
    }
    static void count(std::map<std::string, std::map<std::string, std::uint64_t>>& in, const Link& link,
                      const Json& message) {
        ++in[link.kind.empty() ? "new" : link.kind][message.at("t").get<std::string>()];
    }

    Json greet(Link& link) {
        std::erase_if(links_, [](const auto& one) { return one.expired(); });
        links_.push_back(link.weak_from_this());
        return {{"t", "hello"}, {"kind", "foyer"}, {"name", name_}, {"at", at(ip_)}, {"life", life_}};
    }

    void dial(const std::string& address) {
        auto& dialer = dialers_[address];
        if (dialer || left_) return;
        dialer = std::make_shared<Dialer>(room_.io, address, owner_);
        dialer->go();
    }

    void heard(Link& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind == "hello") {
            link.kind = message.at("kind").get<std::string>();
            if (link.kind == "prompter") {
                fact("link", {{"name", name_}, {"to", link.peer}, {"open", true}});
                for (const auto& member : message.at("members")) dial(member.get<std::string>());
            } else {
                link.pace(room_.told.at("heartbeat_ms").get<Nanos>() * ms);
            }
        }
        count(room_.tally.heard, link, message);
        if (kind == "roster") {
            rosters_[link.peer] = room_.roster(message.at("foyers"));
            enrol();
        } else if (kind != "hello") {
            news(link, message, kind);
        }
        if (std::exchange(configurationNew_, false)) took();
        if (!ready_ && board_.listed() && board_.version() > 0 && rolloutsKnown_) {
            ready_ = true;
            fact("ready", {{"name", name_}, {"pods", board_.troupe().members().size()}});
        }
    }

    void news(Link& link, const Json& message, const std::string& kind) {
        using From = callboard::Callboard::From;
        const bool prompter = link.kind == "prompter", sure = message.value("sure", true);
        if (kind != "want") {
            if (prompter) confidence_.heard(link.peer, sure, now());
            if (!confidence_.takes(sure, board_.version() > 0, now())) return;
        }
        board_.heard(message, prompter ? From::prompter : From::neighbour, now(), [&](Json reply) {
            if (reply.at("t") != "want") reply["sure"] = confidence_.sure();
            send(link, reply);
        });
        if (sure && board_.version() > 0 &&
            (kind == "configuration" ||
             (kind == "digest" && message.at("configuration") <= board_.version())))
            confidence_.holds(true);
    }

    void closed(Link& link) {
        if (link.kind == "prompter") confidence_.parted(link.peer, now());
        if (link.kind == "prompter") fact("link", {{"name", name_}, {"to", link.peer}, {"open", false}});
        if (rosters_.erase(link.peer) > 0) enrol();
        if (link.kind != "foyer") return;
        for (const auto& [name, address] : watching_)
            if (address == link.peer) tell({{"t", "lost"}, {"name", name}});
    }

    void tell(const Json& message) {
        for (const auto& [_, dialer] : dialers_)
            if (const auto link = dialer->link(); link && link->kind == "prompter") send(*link, message);
    }

    void took() {
        const auto version = board_.version();
        fact("configuration", {{"name", name_}, {"version", version}});
        tell({{"t", "ack"}, {"configuration", version}});
    }

    void enrol() {
        // What was last known stands while no prompter says anything. By their sums: each once.
        if (!rosters_.empty() || known_.empty()) {
            std::map<std::uint64_t, std::shared_ptr<const Roster>> told;
            for (const auto& [_, roster] : rosters_) told[roster->sum] = roster;
            if (told == known_ && !told.empty()) return;
            known_ = std::move(told);
        }
        std::map<std::string, std::string> foyers;
        for (const auto& [_, roster] : known_) foyers.insert(roster->foyers.begin(), roster->foyers.end());
        std::vector<std::string> names;
        for (const auto& [name, _] : foyers) names.push_back(name);
        watching_.clear();
        std::set<std::string> wanted;
        for (const auto& name : company::watched(std::move(names), name_))
            wanted.insert(watching_[name] = foyers.at(name));
        std::erase_if(peers_, [&](const auto& peer) {
            const bool drop = !wanted.contains(peer.first);
            if (drop) peer.second->stop();
            return drop;
        });
        for (const auto& address : wanted) {
            auto& dialer = peers_[address];
            if (dialer || left_) continue;
            dialer = std::make_shared<Dialer>(room_.io, address, owner_);
            dialer->go();
        }
    }

    static Task<> watch(std::shared_ptr<HollowFoyer> self) {
        while (!self->left_) {
            co_await sleep(self->room_.told.at("heartbeat_ms").get<Nanos>() * ms);
            auto digest = self->board_.digest();
            digest["sure"] = self->confidence_.sure();
            if (self->confidence_.waited(self->board_.version() > 0, now())) self->tell(digest);
            for (const auto& [_, address] : self->watching_)
                if (const auto peer = self->peers_.find(address); peer != self->peers_.end())
                    if (const auto link = peer->second->link()) self->send(*link, digest);
        }
    }

    Room& room_;
    const std::string name_, ip_;
    const std::uint64_t life_ = room_.chance() >> 12;
    std::shared_ptr<Link::Owner> owner_;
    std::unique_ptr<tcp::acceptor> door_;
    std::map<std::string, std::shared_ptr<Dialer>> dialers_, peers_;
    std::map<std::string, std::shared_ptr<const Roster>> rosters_;  // by prompter
    std::map<std::uint64_t, std::shared_ptr<const Roster>> known_;  // by sum
    callboard::Confidence confidence_;
    std::map<std::string, std::string> watching_;  // foyers and addresses
    std::vector<std::weak_ptr<Link>> links_;
    bool ready_ = false, rolloutsKnown_ = false, left_ = false, configurationNew_ = false;
    callboard::Callboard board_{{[this](const std::string&) { configurationNew_ = true; },
                                 [this](const std::string&) { rolloutsKnown_ = true; },
                                 [this](const troupe::Event& event) {
                                     if (ready_ && (event.gone || event.member.draining))
                                         fact("pod", {{"name", name_}, {"id", event.member.id}});
                                 }}};
};

Task<> tallies(Room& room) {
    for (;;) {
        co_await sleep(tallyEvery);
        fact("tally", {{"heard", room.tally.heard}, {"sent", room.tally.sent}});
    }
}

using Foyers = std::map<std::string, std::pair<std::int64_t, std::shared_ptr<HollowFoyer>>>;

Task<> restart(Room& room, Foyers& foyers, std::string name) {
    const auto at = foyers.find(name);
    if (at == foyers.end()) co_return;
    at->second.second->leave();
    co_await sleep(awayFor);
    at->second.second = std::make_shared<HollowFoyer>(room, at->second.first);
    at->second.second->open();
}

Task<> orders(Room& room, Foyers& foyers) {
    asio::posix::stream_descriptor in(room.io, dup(STDIN_FILENO));
    asio::streambuf buffer;
    for (;;) {
        Code code;
        co_await asio::async_read_until(in, buffer, '\n', told(code));
        if (code) break;
        std::istream stream(&buffer);
        std::string word, name;
        stream >> word >> name;
        stream.ignore(1);
        if (word == "restart") start(room.io, "restart", restart(room, foyers, name));
    }
    room.io.stop();
}

}  // namespace

std::string hollowName(std::int64_t n) { return "hollow-" + std::to_string(n); }

std::string hollowAddress(std::int64_t n) {
    return "127.72." + std::to_string(n / 200 + 1) + "." + std::to_string(n % 200 + 1);
}

void runHollow(const Json& told) {
    openLog("hollow-from-" + told.at("first").dump());
    asio::io_context io{1};
    Room room{io, told, {}};
    Foyers foyers;
    const auto first = told.at("first").get<std::int64_t>();
    for (auto n = first; n < first + told.at("count").get<std::int64_t>(); ++n) {
        auto foyer = std::make_shared<HollowFoyer>(room, n);
        foyer->open();
        foyers[hollowName(n)] = {n, foyer};
    }
    start(io, "tally", tallies(room));
    start(io, "orders", orders(room, foyers));
    io.run();
    std::fflush(stderr);
    _exit(0);  // what is left open ends with the process
}

}  // namespace lichenlanding::rehearsal
