#include "proxy/proxy.hpp"

#include <random>
#include <utility>

#include "proxy/control_plane_feed.hpp"
#include "proxy/fleet_membership.hpp"
#include "proxy/http_server.hpp"
#include "proxy/peer_connections.hpp"
#include "proxy/readiness_server.hpp"
#include "proxy/rollout_voting.hpp"
#include "transport/listener.hpp"
#include "transport/log.hpp"
#include "transport/memory_log.hpp"
#include "transport/process_signals.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;

constexpr Nanos kHousekeepingInterval = 250 * kMillisecond;
// After SIGTERM new connections are accepted for this long, until clients have been routed elsewhere.
constexpr Nanos kDrainAcceptTime = 3000 * kMillisecond;
constexpr Nanos kExitMargin = 500 * kMillisecond;  // part of the shutdown grace that is kept for exiting
constexpr Nanos kDrainPollInterval = 30 * kMillisecond;
// Gap between two housekeeping runs that counts as a standstill of the process.
constexpr Nanos kStandstillThreshold = kSecond;
constexpr Nanos kWaitAfterStandstill = 150 * kMillisecond;  // time for updates from control nodes to arrive

std::uint64_t drawIncarnation() {
    std::random_device draw;
    const auto high = static_cast<std::uint64_t>(draw()) << 32;
    return high | draw();
}

// Connects sockets, clients and hosts to the modules without I/O, and owns them all.
class Proxy {
  public:
    explicit Proxy(config::BootstrapSettings settings)
        : settings_(std::move(settings)),
          machine_(limits::MachineLimits::fromSettings(settings_.memoryMegabytes, settings_.maxDescriptors)),
          buffers_(limits::proxyBufferBytes(machine_)),
          seed_(std::random_device{}()),
          incarnation_(drawIncarnation()),
          router_(settings_, seed_),
          upstream_(io_, buffers_),
          httpServer_(io_, router_, upstream_, buffers_, machine_, [this] { return isStateFresh(); }),
          clientAcceptor_(io_),
          readinessAcceptor_(io_),
          peerAcceptor_(io_),
          fleet_(settings_),
          connections_(io_, settings_, incarnation_,
                       {[this](PeerConnection& from, const Json& message) { onMessage(from, message); },
                        [this](PeerConnection& connection) { onClosed(connection); }}),
          voting_(io_, settings_, incarnation_, router_, fleet_, connections_, [this] { updatePeers(); }),
          feed_(router_, {[this](std::uint32_t version) {
                              connections_.sendToControlNodes(encode(Acknowledgement{version}));
                          },
                          [this] {
                              updatePeers();
                              voting_.onRollouts();
                          }}) {}

    void run() {
        onFleetChanged();
        const SignalHandler signals(
            io_, [this] { startDrain(); }, [this] { reload(); });
        log("proxy_started", {{"seed", seed_}, {"life", incarnation_}});
        connections_.dialSeeds();
        startServers();
        spawn(io_, "housekeeping", housekeeping());
        spawn(io_, "peer_watch", watchPeers());
        io_.run();
    }

  private:
    void startServers() {
        serveWhenAvailable(io_, peerAcceptor_, settings_.peerAddress(settings_.ip), "peer_connections",
                           [this](tcp::acceptor& acceptor) { return connections_.serve(acceptor); });
        serveWhenAvailable(io_, clientAcceptor_, settings_.httpAddress, "clients",
                           [this](tcp::acceptor& acceptor) { return httpServer_.serve(acceptor); });
        serveWhenAvailable(io_, readinessAcceptor_, settings_.readinessAddress, "readiness",
                           [this](tcp::acceptor& acceptor) {
                               return serveReadiness(io_, acceptor, [this] { return ready(); });
                           });
    }

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

    // Connects to the watched proxies and, while a rollout is running, to its voters.
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

    // Sends the state digest to the watched proxies with each heartbeat (anti-entropy).
    Task<> watchPeers() {
        for (;;) {
            co_await sleep(settings_.heartbeat);
            const auto encoded = PeerConnection::encode(feed_.digest());
            for (const auto& name : fleet_.watched())
                if (const auto connection = connections_.peer(fleet_.proxies().at(name)))
                    connection->send(encoded);
        }
    }

    // ---- Readiness, timeouts, standstills. ----

    bool ready() const { return !stopping_ && clientAcceptor_.is_open() && router_.ready(); }
    // After a standstill the routing state may be out of date: requests wait briefly for an update from a
    // control node.
    bool isStateFresh() const {
        return now() - lastHousekeeping_ < kStandstillThreshold && now() >= staleUntil_;
    }

    Task<> housekeeping() {
        for (bool wasReady = false;;) {
            co_await sleep(kHousekeepingInterval);
            detectStandstill();
            memoryLog_.check();
            const bool waitElapsed = feed_.checkWaitElapsed();
            if (waitElapsed || feed_.takeConfigurationOverdue())
                connections_.sendToControlNodes(feed_.digest());
            httpServer_.enforceTimeouts(now());
            upstream_.closeExpired(now());
            if (ready() == wasReady) continue;
            wasReady = ready();
            logReadiness();
        }
    }

    void detectStandstill() {
        const Nanos gap = now() - std::exchange(lastHousekeeping_, now());
        if (gap <= kStandstillThreshold) return;
        staleUntil_ = now() + kWaitAfterStandstill;
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

    void startDrain() {
        if (std::exchange(stopping_, true)) return;
        spawn(io_, "drain", drainAndStop());
    }

    Task<> drainAndStop() {
        const Nanos end = now() + settings_.shutdownGrace - kExitMargin;
        log("drain_started", {{"open", httpServer_.openConnections()}});
        httpServer_.drain();
        co_await sleep(std::min(kDrainAcceptTime, settings_.shutdownGrace / 2));
        ErrorCode ignored;
        clientAcceptor_.close(ignored);
        while (httpServer_.openConnections() > 0 && now() < end) {
            httpServer_.closeIdle();
            co_await sleep(kDrainPollInterval);
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
        } catch (const std::exception& error) {
            log("settings_rejected", {{"step", "reload"}, {"error", error.what()}});
        }
    }

    config::BootstrapSettings settings_;
    const limits::MachineLimits machine_;
    limits::MemoryBudget buffers_;  // for requests and responses in progress
    asio::io_context io_{1};
    const std::uint32_t seed_;
    const std::uint64_t incarnation_;  // distinguishes this start of the process from earlier ones
    routing::Router router_;
    UpstreamClient upstream_;
    HttpServer httpServer_;
    tcp::acceptor clientAcceptor_, readinessAcceptor_, peerAcceptor_;
    FleetMembership fleet_;
    PeerConnections connections_;
    RolloutVoting voting_;
    ControlPlaneFeed feed_;
    MemoryLog memoryLog_{settings_.memoryMegabytes};
    Nanos lastHousekeeping_ = now(), staleUntil_ = 0;
    bool stopping_ = false;
};

}  // namespace

void run(const config::BootstrapSettings& settings) {
    openLog(settings.name);
    Proxy(settings).run();
}

}  // namespace lichenlanding::proxy
