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

namespace lichenlanding::scale_test {
namespace {

using namespace transport;

constexpr Nanos kTallyEvery = 200 * kMillisecond;
constexpr Nanos kAwayFor = 500 * kMillisecond;  // a restart

void fact(const char* what, Json about) {
    about["fact"] = what;
    if (!about.contains("ns")) about["ns"] = now();
    std::fprintf(stderr, "%s\n", about.dump().c_str());
}

// Messages of all proxies of this process, by the kind of the other side and their own.
struct Tally {
    std::map<std::string, std::map<std::string, std::uint64_t>> heard, sent;
};

// Who there is, by name and address. All proxies of a process are told the same many times over, so what is
// worked out of it is kept once for all: a process of them has one thread where each proxy has its own
// machine.
struct Roster {
    std::uint64_t sum = 0;
    std::map<std::string, std::string> proxies;
};

struct Room {
    asio::io_context& io;
    const Json& told;
    Tally tally;
    std::mt19937_64 chance{std::random_device{}()};
    std::map<std::uint64_t, std::weak_ptr<const Roster>> rosters{};  // by a hash over all of it

    std::shared_ptr<const Roster> roster(const Json& proxies) {
        std::uint64_t sum = proxies.size();
        for (const auto& [name, address] : proxies.items())
            sum += hashing::hash(name, address.get_ref<const std::string&>());
        auto& kept = rosters[sum];
        auto same = kept.lock();
        if (!same) {
            Roster made{sum, {}};
            proxies.get_to(made.proxies);
            kept = same = std::make_shared<const Roster>(std::move(made));
        }
        std::erase_if(rosters, [](const auto& one) { return one.second.expired(); });
        return same;
    }
};

class HollowProxy : public std::enable_shared_from_this<HollowProxy> {
  public:
    HollowProxy(Room& room, std::int64_t n) : room_(room), name_(hollowName(n)), ip_(hollowAddress(n)) {}

    void open() {
        const auto self = shared_from_this();
        owner_ = std::make_shared<PeerConnection::Callbacks>();
        owner_->makeHello = [self](PeerConnection& link) { return self->greet(link); };
        owner_->onMessage = [self](PeerConnection& link, const Json& message) {
            if (!self->left_) self->heard(link, message);
        };
        owner_->onClosed = [self](PeerConnection& link) {
            if (!self->left_) self->closed(link);
        };
        door_ = std::make_unique<tcp::acceptor>(listen(room_.io, at(ip_)));
        enrol();
        for (const auto& seed : room_.told.at("seeds")) dial(seed.get<std::string>());
        spawn(room_.io, "links", servePeerConnections(room_.io, *door_, owner_));
        spawn(room_.io, "watch", watch(self));
    }

    void leave() {
        left_ = true;
        ErrorCode ignored;
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

    void send(PeerConnection& link, const Json& message) {
        count(room_.tally.sent, link, message);
        link.send(message);
    }
    static void count(std::map<std::string, std::map<std::string, std::uint64_t>>& in,
                      const PeerConnection& link, const Json& message) {
        ++in[link.kind.empty() ? "new" : link.kind][message.at("t").get<std::string>()];
    }

    Json greet(PeerConnection& link) {
        std::erase_if(links_, [](const auto& one) { return one.expired(); });
        links_.push_back(link.weak_from_this());
        return {{"t", "hello"}, {"kind", "foyer"}, {"name", name_}, {"at", at(ip_)}, {"life", life_}};
    }

    void dial(const std::string& address) {
        auto& dialer = dialers_[address];
        if (dialer || left_) return;
        dialer = std::make_shared<Dialer>(room_.io, address, owner_);
        dialer->start();
    }

    void heard(PeerConnection& link, const Json& message) {
        const auto& kind = message.at("t").get_ref<const std::string&>();
        if (kind == "hello") {
            link.kind = message.at("kind").get<std::string>();
            if (link.kind == "prompter") {
                fact("link", {{"name", name_}, {"to", link.peer}, {"open", true}});
                for (const auto& member : message.at("members")) dial(member.get<std::string>());
            } else {
                link.setHeartbeatInterval(room_.told.at("heartbeat_ms").get<Nanos>() * kMillisecond);
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
        if (!ready_ && cache_.endpointsCurrent() && cache_.version() > 0 && rolloutsKnown_) {
            ready_ = true;
            fact("ready", {{"name", name_}, {"pods", cache_.endpoints().endpoints().size()}});
        }
    }

    void news(PeerConnection& link, const Json& message, const std::string& kind) {
        using MessageSource = subscription::ConfigurationCache::MessageSource;
        const bool controlNode = link.kind == "prompter", sure = message.value("sure", true);
        if (kind != "want") {
            if (controlNode) confidence_.onControlNodeMessage(link.peer, sure, now());
            if (!confidence_.acceptsUpdates(sure, cache_.version() > 0, now())) return;
        }
        cache_.handleMessage(message, controlNode ? MessageSource::controlNode : MessageSource::peerProxy,
                             now(), [&](Json reply) {
                                 if (reply.at("t") != "want") reply["sure"] = confidence_.isConfirmed();
                                 send(link, reply);
                             });
        if (sure && cache_.version() > 0 &&
            (kind == "configuration" ||
             (kind == "digest" && message.at("configuration") <= cache_.version())))
            confidence_.markConfirmed(true);
    }

    void closed(PeerConnection& link) {
        if (link.kind == "prompter") confidence_.onControlNodeDisconnected(link.peer, now());
        if (link.kind == "prompter") fact("link", {{"name", name_}, {"to", link.peer}, {"open", false}});
        if (rosters_.erase(link.peer) > 0) enrol();
        if (link.kind != "foyer") return;
        for (const auto& [name, address] : watching_)
            if (address == link.peer) tell({{"t", "lost"}, {"name", name}});
    }

    void tell(const Json& message) {
        for (const auto& [_, dialer] : dialers_)
            if (const auto link = dialer->connection(); link && link->kind == "prompter")
                send(*link, message);
    }

    void took() {
        const auto version = cache_.version();
        fact("configuration", {{"name", name_}, {"version", version}});
        tell({{"t", "ack"}, {"configuration", version}});
    }

    void enrol() {
        // What was last known stands while no control node says anything. By their sums: each once.
        if (!rosters_.empty() || known_.empty()) {
            std::map<std::uint64_t, std::shared_ptr<const Roster>> told;
            for (const auto& [_, roster] : rosters_) told[roster->sum] = roster;
            if (told == known_ && !told.empty()) return;
            known_ = std::move(told);
        }
        std::map<std::string, std::string> proxies;
        for (const auto& [_, roster] : known_) proxies.insert(roster->proxies.begin(), roster->proxies.end());
        std::vector<std::string> names;
        for (const auto& [name, _] : proxies) names.push_back(name);
        watching_.clear();
        std::set<std::string> wanted;
        for (const auto& name : hashing::watchedPeers(std::move(names), name_))
            wanted.insert(watching_[name] = proxies.at(name));
        std::erase_if(peers_, [&](const auto& peer) {
            const bool drop = !wanted.contains(peer.first);
            if (drop) peer.second->stop();
            return drop;
        });
        for (const auto& address : wanted) {
            auto& dialer = peers_[address];
            if (dialer || left_) continue;
            dialer = std::make_shared<Dialer>(room_.io, address, owner_);
            dialer->start();
        }
    }

    static Task<> watch(std::shared_ptr<HollowProxy> self) {
        while (!self->left_) {
            co_await sleep(self->room_.told.at("heartbeat_ms").get<Nanos>() * kMillisecond);
            auto digest = self->cache_.digestMessage();
            digest["sure"] = self->confidence_.isConfirmed();
            if (self->confidence_.waitElapsed(self->cache_.version() > 0, now())) self->tell(digest);
            for (const auto& [_, address] : self->watching_)
                if (const auto peer = self->peers_.find(address); peer != self->peers_.end())
                    if (const auto link = peer->second->connection()) self->send(*link, digest);
        }
    }

    Room& room_;
    const std::string name_, ip_;
    const std::uint64_t life_ = room_.chance() >> 12;
    std::shared_ptr<PeerConnection::Callbacks> owner_;
    std::unique_ptr<tcp::acceptor> door_;
    std::map<std::string, std::shared_ptr<Dialer>> dialers_, peers_;
    std::map<std::string, std::shared_ptr<const Roster>> rosters_;  // by control node
    std::map<std::uint64_t, std::shared_ptr<const Roster>> known_;  // by sum
    subscription::QuorumContact confidence_;
    std::map<std::string, std::string> watching_;  // proxies and addresses
    std::vector<std::weak_ptr<PeerConnection>> links_;
    bool ready_ = false, rolloutsKnown_ = false, left_ = false, configurationNew_ = false;
    subscription::ConfigurationCache cache_{
        {[this](const std::string&) { configurationNew_ = true; },
         [this](const std::string&) { rolloutsKnown_ = true; },
         [this](const discovery::EndpointEvent& event) {
             if (ready_ && (event.removed || event.endpoint.draining))
                 fact("pod", {{"name", name_}, {"id", event.endpoint.id}});
         }}};
};

Task<> tallies(Room& room) {
    for (;;) {
        co_await sleep(kTallyEvery);
        fact("tally", {{"heard", room.tally.heard}, {"sent", room.tally.sent}});
    }
}

using Proxies = std::map<std::string, std::pair<std::int64_t, std::shared_ptr<HollowProxy>>>;

Task<> restart(Room& room, Proxies& proxies, std::string name) {
    const auto at = proxies.find(name);
    if (at == proxies.end()) co_return;
    at->second.second->leave();
    co_await sleep(kAwayFor);
    at->second.second = std::make_shared<HollowProxy>(room, at->second.first);
    at->second.second->open();
}

Task<> orders(Room& room, Proxies& proxies) {
    asio::posix::stream_descriptor in(room.io, dup(STDIN_FILENO));
    asio::streambuf buffer;
    for (;;) {
        ErrorCode code;
        co_await asio::async_read_until(in, buffer, '\n', withErrorCode(code));
        if (code) break;
        std::istream stream(&buffer);
        std::string word, name;
        stream >> word >> name;
        stream.ignore(1);
        if (word == "restart") spawn(room.io, "restart", restart(room, proxies, name));
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
    Proxies proxies;
    const auto first = told.at("first").get<std::int64_t>();
    for (auto n = first; n < first + told.at("count").get<std::int64_t>(); ++n) {
        auto proxy = std::make_shared<HollowProxy>(room, n);
        proxy->open();
        proxies[hollowName(n)] = {n, proxy};
    }
    spawn(io, "tally", tallies(room));
    spawn(io, "orders", orders(room, proxies));
    io.run();
    std::fflush(stderr);
    _exit(0);  // what is left open ends with the process
}

}  // namespace lichenlanding::scale_test
