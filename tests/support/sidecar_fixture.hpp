// What tests share: a scene around the decisions alone (a clock, and a tape of what they decide), and a town
// around a whole sidecar (stand-ins for pods, discovery and platform on free loopback ports).
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "doctest/doctest.h"
#include "policy/gossip.hpp"
#include "policy/policy_engine.hpp"
#include "sidecar/sidecar.hpp"

using namespace lichenlanding;
constexpr Nanos ms = 1'000'000;

// Compares a tape with tests/traces/NAME.txt; WRITE_TRACES in the environment writes it anew.
inline void matchesTrace(const std::string& name, const std::string& tape) {
    const auto path = std::string(TRACES) + "/" + name + ".txt";
    if (std::getenv("WRITE_TRACES")) std::ofstream(path) << tape;
    std::ifstream file(path);
    std::stringstream kept;
    kept << file.rdbuf();
    CHECK(!kept.str().empty());
    CHECK(tape == kept.str());
}

inline const char* outcomeName(Outcome outcome) {
    static const char* names[] = {"delivered", "errored", "saturated", "overdue",
                                  "unreached", "severed", "recalled",  "superseded"};
    return names[static_cast<int>(outcome)];
}

inline Settings settings() {
    Settings told;
    told.index = 0;
    told.balancers = 3;
    told.zones = {"a", "b"};
    told.groups = {{"read", 1000 * ms, 2500 * ms, 1, Effect::repeatable, Reach::all, 0, false, 0},
                   {"order", 500 * ms, 2000 * ms, 2, Effect::tagged, Reach::zone, 1200 * ms, false, 1},
                   {"certify", 500 * ms, 2000 * ms, 2, Effect::mutating, Reach::all, 0, false, 2}};
    told.mayTell = true;
    told.maxForwards = 4;
    told.drainGrace = 2000 * ms;
    told.coldTime = 4000 * ms;
    told.coldFrom = 0.4;
    told.fallMultiple = 2;
    told.fallTime = 1500 * ms;
    told.caps = {0.5, 1};
    told.freeForwards = 1;
    told.exposureWindow = 6000 * ms;
    told.voteLife = 6000 * ms;
    told.answerWait = 800 * ms;
    told.votesPerSecond = 100;
    return told;
}

class Scene : public Door {
  public:
    explicit Scene(const Settings& told = settings(), std::uint64_t seed = 7) : told_(told), seed_(seed) {
        start();
    }

    void start() {
        balance = std::make_unique<Balance>(told_, seed_, *this);
        go(0);
        balance->woke();
        news(5, 1, Standing::released, 1);
    }
    // Moves the clock and wakes the sidecar when it asked for it.
    void go(Nanos to) {
        while (wakeAt_ >= 0 && wakeAt_ <= to) {
            now = wakeAt_;
            wakeAt_ = -1;
            balance->at(now);
            balance->woke();
        }
        now = to;
        balance->at(now);
    }
    void pod(std::uint32_t id, int build, int zone = 0, Availability state = Availability::up,
             Nanos started = -1) {
        pods[id].id = id;
        Listing line{&pods[id], build, zone, 0, state};
        if (started >= 0) line.started = started;
        balance->listed(false, {&line, 1});
    }
    void news(int build, int stage, Standing standing, double cap) {
        balance->news(build, stage, standing, false, Outcome::delivered, cap, 0);
    }
    Hit& hit(const std::string& id, int group, Nanos wait = 2000 * ms) {
        auto& made = hits[id];
        made.id = id;
        made.group = &told_.groups[static_cast<std::size_t>(group)];
        made.deadline = now + wait;
        balance->hit(made);
        return made;
    }
    void pass(const std::string& id, int group) {  // a hit that is delivered at once, if it is sent
        if (auto& made = hit(id, group); !made.forwards.empty()) end(made, Outcome::delivered);
    }
    void end(Hit& hit, Outcome outcome, Nanos took = 10 * ms, bool closed = false) {
        balance->outcome(hit.forwards.back(), outcome, took, closed || outcome == Outcome::delivered);
    }
    void note(const std::string& text) { tape << "# " << text << '\n'; }

    void matches(const std::string& name) { matchesTrace(name, tape.str()); }

    void forward(const Forward& sent, Nanos timeout) override {
        line() << "forward " << sent.hit->id << " to pod " << sent.pod->id << " of build "
               << sent.build->number << ", waits " << timeout / ms << '\n';
    }
    void bounce(const Hit& hit, Nanos) override { line() << "bounce " << hit.id << '\n'; }
    void error(const Hit& hit) override { line() << "error " << hit.id << '\n'; }
    void cancel(const Hit& hit, int shot) override { line() << "cancel " << hit.id << " " << shot << '\n'; }
    void probe(const Pod& pod) override { line() << "probe " << pod.id << '\n'; }
    void tell(int peer, const std::string& bytes) override {
        told[peer] = bytes;
        if (peer == 1) sent.push_back(bytes);
        CHECK(bytes.size() <= maxMessage);
    }
    void vote(Verdict verdict, int build, int stage) override {
        static const char* words[] = {"nothing", "on", "hold", "back"};
        ++votes;
        line() << "vote " << words[static_cast<int>(verdict)] << " on build " << build << " stage " << stage
               << '\n';
    }
    void wake(Nanos after) override { wakeAt_ = now + after; }
    void listen() override { line() << "listen\n"; }

    Nanos now = 0;
    std::unique_ptr<Balance> balance;
    std::map<std::uint32_t, Pod> pods;
    std::map<std::string, Hit> hits;
    std::map<int, std::string> told;  // the last message to each peer
    std::vector<std::string> sent;    // all messages to peer 1
    int votes = 0;                    // cast so far, unless a test counts them down
    std::stringstream tape;
    bool quiet = false;  // only what a test notes itself goes on the tape

  private:
    std::ostream& line() {
        unheard_.str("");
        return (quiet ? unheard_ : tape) << now / ms << " ";
    }
    std::stringstream unheard_;
    Settings told_;
    std::uint64_t seed_;
    Nanos wakeAt_ = -1;
};

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return where;
}

inline std::uint16_t portOf(int descriptor, bool far = false) {
    sockaddr_in where{};
    socklen_t size = sizeof where;
    if (far) getpeername(descriptor, reinterpret_cast<sockaddr*>(&where), &size);
    else getsockname(descriptor, reinterpret_cast<sockaddr*>(&where), &size);
    return ntohs(where.sin_port);
}

// A socket bound to a free port. With a backlog it listens, and accepts nothing by itself.
inline int boundSocket(int kind, int backlog = -1) {
    const int made = socket(AF_INET, kind, 0);
    const auto where = loopback(0);
    REQUIRE(bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    if (backlog >= 0) REQUIRE(listen(made, backlog) == 0);
    return made;
}

inline std::uint16_t freePort(int kind = SOCK_STREAM) {
    const int taken = boundSocket(kind);
    const auto port = portOf(taken);
    close(taken);
    return port;
}

// Listens and never answers; with no backlog its queue is filled, so that connections never come up.
class DeafListener {
  public:
    explicit DeafListener(int backlog = 0) : listener_(boundSocket(SOCK_STREAM, backlog)) {
        address = {"127.0.0.1", portOf(listener_)};
        const auto where = loopback(address.port);
        for (int filler = 0; backlog == 0 && filler < 4; ++filler) {
            fillers_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&where), sizeof where);
        }
        fcntl(listener_, F_SETFL, O_NONBLOCK);
    }
    ~DeafListener() {
        for (int filler : fillers_) close(filler);
        close(listener_);
    }
    // Takes a connection, once there is one with something on it, and breaks it with that unread.
    bool acceptAndReset() {
        if (taken_ < 0) taken_ = accept(listener_, nullptr, nullptr);
        char first;
        if (taken_ < 0 || recv(taken_, &first, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) return false;
        const linger now{1, 0};
        setsockopt(taken_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close(taken_);
        return true;
    }
    net::Address address;

  private:
    int listener_, taken_ = -1;
    std::vector<int> fillers_;
};

// A client whose bytes a test writes itself.
class RawClient {
  public:
    explicit RawClient(const net::Address& address) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
        const auto where = loopback(address.port);
        REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    }
    ~RawClient() { close(socket_); }
    void say(const std::string& bytes) {
        REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    }
    const std::string& read() {  // all that has come so far
        char bytes[4096];
        ssize_t length = 0;
        while ((length = recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
            read_.append(bytes, static_cast<std::size_t>(length));
        closed_ = closed_ || length == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return read_;
    }
    bool closed() { return read(), closed_; }
    void leave() {
        close(socket_);
        socket_ = -1;
    }
    int descriptor() const { return socket_; }

  private:
    int socket_;
    std::string read_;
    bool closed_ = false;
};

// Another party on the sockets: an evhttp server whose answers a test gives.
class StandIn {
  public:
    using Serve = std::function<void(StandIn&, evhttp_request*)>;
    using Headers = std::vector<std::pair<const char*, const char*>>;

    StandIn(net::Loop& loop, Serve serve)
        : loop_(loop), serve_(std::move(serve)), server_(evhttp_new(loop.base())) {
        evhttp_set_gencb(
            server_.get(),
            [](evhttp_request* call, void* self) {
                auto& at = *static_cast<StandIn*>(self);
                at.seen.push_back(evhttp_request_get_uri(call));
                auto* connection = evhttp_request_get_connection(call);
                if (std::find(at.connections_.begin(), at.connections_.end(), connection) ==
                    at.connections_.end())
                    at.connections_.push_back(connection);
                evhttp_connection_set_closecb(
                    connection,
                    [](evhttp_connection* closed, void* self) {
                        auto& at = *static_cast<StandIn*>(self);
                        std::erase(at.connections_, closed);
                        std::erase_if(at.held, [&](auto* call) {
                            auto* connection = evhttp_request_get_connection(call);
                            if (!connection) evhttp_request_free(call);  // the other side left: it is ours
                            return !connection || connection == closed;
                        });
                        ++at.closed;
                    },
                    self);
                at.serve_(at, call);
            },
            this);
        auto* bound = evhttp_bind_socket_with_handle(server_.get(), "127.0.0.1", 0);
        address = {"127.0.0.1", ::portOf(evhttp_bound_socket_get_fd(bound))};
    }
    ~StandIn() {
        for (auto* connection : connections_) evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }

    void answer(evhttp_request* call, int code, const std::string& body, const Headers& headers = {}) {
        std::erase(held, call);
        for (const auto& [name, value] : headers)
            evhttp_add_header(evhttp_request_get_output_headers(call), name, value);
        evbuffer_add(evhttp_request_get_output_buffer(call), body.data(), body.size());
        evhttp_send_reply(call, code, nullptr, nullptr);
    }
    void hold(evhttp_request* call) {  // and sees if the caller goes meanwhile
        held.push_back(call);
        auto* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(call));
        bufferevent_event_cb happened = nullptr;
        void* context = nullptr;
        bufferevent_getcb(stream, nullptr, nullptr, &happened, &context);
        bufferevent_setcb(stream, nullptr, nullptr, happened, context);
        bufferevent_enable(stream, EV_READ);
    }
    void answerHeld(int code, const std::string& body, const Headers& headers = {}) {
        const auto calls = std::exchange(held, {});
        for (auto* call : calls) answer(call, code, body, headers);
    }
    // An answer that stays open, and pieces of it.
    void begin(evhttp_request* call) { evhttp_send_reply_start(call, 200, nullptr); }
    void piece(evhttp_request* call, const std::string& bytes) {
        std::unique_ptr<evbuffer, net::Release> chunk(evbuffer_new());
        evbuffer_add(chunk.get(), bytes.data(), bytes.size());
        evhttp_send_reply_chunk(call, chunk.get());
    }
    void raw(evhttp_request* call, const std::string& bytes) {
        send(descriptorOf(call), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void cut(evhttp_request* call) {
        auto* connection = evhttp_request_get_connection(call);
        loop_.later([connection] { evhttp_connection_free(connection); });
    }
    void closeAll() {
        for (auto* connection : std::vector(connections_)) evhttp_connection_free(connection);
    }
    static std::uint16_t portOf(evhttp_request* call) { return ::portOf(descriptorOf(call), true); }
    static std::string bodyOf(evhttp_request* call) {
        auto* input = evhttp_request_get_input_buffer(call);
        const auto length = evbuffer_get_length(input);
        return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
    }

    net::Address address;
    std::vector<std::string> seen;
    std::vector<evhttp_request*> held;
    int closed = 0;

  private:
    static int descriptorOf(evhttp_request* call) {
        return bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(call)));
    }
    net::Loop& loop_;
    Serve serve_;
    std::vector<evhttp_connection*> connections_;
    net::Owned<evhttp> server_;
};

// A sidecar among stand-ins. Both sides' loops turn in this thread, one pass each, until something is so.
class Town {
  public:
    ~Town() {
        asked_.clear();
        pods.clear();
    }

    void start(int podCount, int descriptors = 1024, int hitsAtMost = 1000) {
        net::Config config;
        config.name = "n0";
        config.listen = {"127.0.0.1", 0};
        config.seed = 7;
        config.sockets = descriptors;
        config.settings = settings();
        config.settings.balancers = 1;
        config.settings.connectWithin = 5000 * ms;
        config.settings.keepIdle = 15000 * ms;
        config.settings.grain = 5 * ms;
        config.settings.maxOpen = hitsAtMost;
        registry = std::make_unique<StandIn>(loop, [](auto& at, auto* call) { at.hold(call); });
        platform = std::make_unique<StandIn>(loop, [](auto& at, auto* call) { at.hold(call); });
        config.discovery = registry->address;
        config.platform = platform->address;
        config.known.emplace();
        config.known->whole = true;
        for (int pod = 0; pod < podCount; ++pod) {
            pods.push_back(std::make_unique<StandIn>(loop, [this](auto& at, auto* call) {
                ++forwards;
                if (serve) return serve(at, call);
                at.answer(call, 200, "body");
            }));
            config.known->lines.push_back({"s-" + std::to_string(pod), pods.back()->address.text(), "a", 5});
        }
        config.news = net::StageNews{5, 1, Standing::released, 1, 0};
        if (change) change(config);
        sidecar = std::make_unique<net::Sidecar>(config, trust);
    }
    void turn() {
        loop.turn();
        if (sidecar) sidecar->loop().turn();
    }
    // Gives up only after far longer than anything here takes, so that a slow machine changes no verdict.
    template <typename Condition>
    void until(Condition&& isSo) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!isSo()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            turn();
        }
    }
    using Asked = std::shared_ptr<std::optional<net::Return>>;
    Asked call(const net::Call& call) {
        auto slot = std::make_shared<std::optional<net::Return>>();
        asked_.push_back(std::make_unique<net::Connection>(loop, sidecar->address(), 1 << 20));
        asked_.back()->call(call, 5000 * ms, 0, [slot](net::Return back) { *slot = std::move(back); });
        return slot;
    }
    Asked ask(const std::string& group, const char* budget = "20000m") {
        const bool read = group == "read";
        return call({read ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                     "/" + group,
                     {{"Host", "origin.svc"},
                      {"X-Call-Id", "c-" + std::to_string(asked_.size())},
                      {"X-Call-Class", group},
                      {"X-Budget", budget},
                      {"Idempotency-Key", "k"}},
                     read ? "" : "extract"});
    }

    net::Loop loop;
    std::optional<net::TrustConfig> trust;
    std::function<void(net::Config&)> change;  // of the sidecar's configuration, before it starts
    StandIn::Serve serve;
    std::string script;
    int forwards = 0;
    std::stringstream tape;
    std::unique_ptr<StandIn> registry, platform;
    std::vector<std::unique_ptr<StandIn>> pods;
    std::unique_ptr<net::Sidecar> sidecar;

  private:
    std::vector<std::unique_ptr<net::Connection>> asked_;
};
