#include "proxy/proxy.hpp"

#include <random>
#include <utility>

#include "proxy/control_plane_feed.hpp"
#include "proxy/fleet_membership.hpp"
#include "proxy/http_server.hpp"
#include "proxy/peer_connections.hpp"
#include "proxy/readiness_server.hpp"
#include "proxy/rollout_voting.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;

constexpr Nanos kHousekeepingEvery = 250 * kMillisecond;
constexpr Nanos kAcceptFor = 3000 * kMillisecond;       // after SIGTERM, until clients have been led away
constexpr Nanos kExitBeforeGrace = 500 * kMillisecond;  // of the grace, kept back
constexpr Nanos kDrainPollEvery = 30 * kMillisecond;
constexpr Nanos kStandstillFrom = kSecond;  // between two housekeepings: the machine stood still
constexpr Nanos kWaitAfterStandstill = 150 * kMillisecond;  // for news

std::uint64_t drawLife() {
    std::random_device draw;
    const auto high = static_cast<std::uint64_t>(draw()) << 32;
    return high | draw();
}

// The program: it puts connections, clients and hosts around the pure modules.
class Proxy {
  public:
    explicit Proxy(config::BootstrapSettings settings)
        : settings_(std::move(settings)),
          seed_(std::random_device{}()),
          life_(drawLife()),
          router_(settings_, seed_),
          upstream_(io_),
          httpServer_(io_, router_, upstream_, [this] { return awake(); }),
          clientAcceptor_(listen(io_, settings_.httpAddress)),
          readinessAcceptor_(listen(io_, settings_.readinessAddress)),
          peerAcceptor_(listen(io_, settings_.peerAddress(settings_.ip))),
          fleet_(settings_),
          connections_(io_, settings_, life_,
                       {[this](PeerConnection& from, const Json& message) { onMessage(from, message); },
                        [this](PeerConnection& connection) { onClosed(connection); }}),
          voting_(io_, settings_, life_, router_, fleet_, connections_, [this] { updatePeers(); }),
          feed_(router_, {[this](std::uint32_t version) {
                              connections_.sendToControlNodes(encode(Acknowledgement{version}));
                          },
                          [this] {
                              updatePeers();
                              voting_.onRollouts();
                          }}) {}

    void run() {
        onFleetChanged();
        handleSignals(
            io_,
            [this] {
                if (std::exchange(stopping_, true)) return;
                spawn(io_, "drain", drainAndStop());
            },
            [this] { reload(); });
        log("proxy_started", {{"seed", seed_}, {"life", life_}});
        connections_.dialSeeds();
        spawn(io_, "peer_connections", connections_.serve(peerAcceptor_));
        spawn(io_, "clients", httpServer_.serve(clientAcceptor_));
        spawn(io_, "readiness", serveReadiness(io_, readinessAcceptor_, [this] { return ready(); }));
        spawn(io_, "housekeeping", housekeeping());
        spawn(io_, "peer_watch", watchPeers());
        io_.run();
    }

  private:
    // ---- Peers. ----

    void onMessage(PeerConnection& from, const Json& message) {
        const auto& type = typeOf(message);
        if (type == wire::kRoster) {
            fleet_.setRoster(from.peer, decodeRoster(message));
            onFleetChanged();
        } else if (type == wire::kCounts) {
            voting_.onCounts(decodeOutcomeCounts(message));
        } else {
            feed_.onMessage(from, message, PeerConnections::isControlNode(from));
        }
    }

    void onClosed(PeerConnection& connection) {
        if (PeerConnections::isControlNode(connection)) feed_.onControlNodeLost(connection.peer);
        if (fleet_.removeRoster(connection.peer)) onFleetChanged();
        if (!PeerConnections::isProxy(connection)) return;
        for (const auto& name : fleet_.watched()) {
            const auto at = fleet_.proxies().find(name);
            if (at == fleet_.proxies().end() || at->second != connection.peer) continue;
            log("peer_unresponsive", {{"step", "peer_watch"}, {"peer", name}});
            connections_.sendToControlNodes(encode(PeerLost{name}));
        }
    }

    void onFleetChanged() {
        router_.setProxyCount(fleet_.proxies().size(), now());
        updatePeers();
    }

    // Connections to other proxies: to those watched, and while a rollout runs to its voters.
    void updatePeers() {
        std::set<std::string> addresses;
        for (const auto& name : fleet_.watched()) addresses.insert(fleet_.proxies().at(name));
        for (const auto& rollout : router_.rollouts()) {
            if (!rollout.running()) continue;
            for (const auto& voter : fleet_.votersOf(rollout))
                if (voter != settings_.name) addresses.insert(fleet_.proxies().at(voter));
        }
        connections_.setPeers(addresses);
    }

    // Neighbours compare what they hold.
    Task<> watchPeers() {
        for (;;) {
            co_await sleep(settings_.heartbeat);
            const auto packed = PeerConnection::encode(feed_.digest());
            for (const auto& name : fleet_.watched())
                if (const auto connection = connections_.peer(fleet_.proxies().at(name)))
                    connection->send(packed);
        }
    }

    // ---- Readiness, timeouts, standstills. ----

    bool ready() const { return !stopping_ && router_.ready(); }
    // After a standstill what is known may be old: requests wait a moment for a control node's word.
    bool awake() const { return now() - lastHousekeeping_ < kStandstillFrom && now() >= doubtUntil_; }

    Task<> housekeeping() {
        for (bool wasReady = false;;) {
            co_await sleep(kHousekeepingEvery);
            noticeStandstill();
            if (feed_.isWaitOver()) connections_.sendToControlNodes(feed_.digest());
            httpServer_.enforceTimeouts(now());
            upstream_.closeExpired(now());
            if (ready() == wasReady) continue;
            wasReady = ready();
            logReadiness();
        }
    }

    void noticeStandstill() {
        const Nanos gap = now() - std::exchange(lastHousekeeping_, now());
        if (gap <= kStandstillFrom) return;
        doubtUntil_ = now() + kWaitAfterStandstill;
        log("standstill_detected", {{"stood_ms", gap / kMillisecond}});
    }

    void logReadiness() const {
        const auto& configuration = router_.configuration();
        log(ready() ? "readiness_gained" : "readiness_lost",
            {{"configuration", configuration ? config::formatVersion(configuration->version) : ""},
             {"endpoints", router_.hosts().size()},
             {"proxies", fleet_.proxies().size()},
             {"draining", stopping_}});
    }

    // ---- Signals. ----

    Task<> drainAndStop() {
        const Nanos end = now() + settings_.shutdownGrace - kExitBeforeGrace;
        log("drain_started", {{"open", httpServer_.openConnections()}});
        httpServer_.drain();
        co_await sleep(std::min(kAcceptFor, settings_.shutdownGrace / 2));
        ErrorCode ignored;
        clientAcceptor_.close(ignored);
        while (httpServer_.openConnections() > 0 && now() < end) {
            httpServer_.closeIdle();
            co_await sleep(kDrainPollEvery);
        }
        const auto& stats = httpServer_.stats();
        log("proxy_stopped", {{"open", httpServer_.openConnections()},
                              {"served", stats.served},
                              {"rejected", stats.rejected},
                              {"failed", stats.failed},
                              {"disconnected", stats.disconnected}});
        io_.stop();
    }

    void reload() {
        try {
            settings_ = config::BootstrapSettings::fromEnvironment();
            connections_.dialSeeds();
            log("settings_reloaded", {});
        } catch (const std::exception& wrong) {
            log("settings_rejected", {{"step", "reload"}, {"error", wrong.what()}});
        }
    }

    config::BootstrapSettings settings_;
    asio::io_context io_{1};
    const std::uint32_t seed_;
    const std::uint64_t life_;  // tells this start from earlier ones
    routing::Router router_;
    UpstreamClient upstream_;
    HttpServer httpServer_;
    tcp::acceptor clientAcceptor_, readinessAcceptor_, peerAcceptor_;
    FleetMembership fleet_;
    PeerConnections connections_;
    RolloutVoting voting_;
    ControlPlaneFeed feed_;
    Nanos lastHousekeeping_ = now(), doubtUntil_ = 0;
    bool stopping_ = false;
};

}  // namespace

void run(const config::BootstrapSettings& settings) {
    openLog(settings.name);
    Proxy(settings).run();
}

}  // namespace lichenlanding::proxy
