#include "control_plane/control_plane.hpp"

#include <random>
#include <utility>

#include "config/configuration.hpp"
#include "control_plane/admin_api.hpp"
#include "control_plane/admin_server.hpp"
#include "control_plane/configuration_publisher.hpp"
#include "control_plane/endpoint_discovery.hpp"
#include "control_plane/lease_holder.hpp"
#include "control_plane/link_messages.hpp"
#include "control_plane/peer_dialers.hpp"
#include "control_plane/proxy_registry.hpp"
#include "control_plane/replica_node.hpp"
#include "control_plane/rollout_controller.hpp"
#include "limits/process_limits.hpp"
#include "subscription/configuration_cache.hpp"
#include "transport/listener.hpp"
#include "transport/log.hpp"
#include "transport/memory_log.hpp"
#include "transport/process_signals.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;

constexpr Nanos kReportInterval = 500 * kMillisecond;
constexpr Nanos kStoreRetryInterval = 200 * kMillisecond;
constexpr Nanos kReachabilityCheckInterval = 100 * kMillisecond;

std::uint64_t randomIncarnation() {
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32) | random();
}

AdminServerLimits adminServerLimits(const config::BootstrapSettings& boot) {
    const auto machine = limits::MachineLimits::fromSettings(boot.memoryMegabytes, boot.maxDescriptors);
    const auto shares = limits::controlPlaneLimits(machine);
    AdminServerLimits limits;
    limits.bodyBytes = shares.bodyBytes;
    limits.receivedBytes = shares.receivedBytes;
    limits.respondedBytes = shares.respondedBytes;
    return limits;
}

/// Owns the components of the process, and dispatches messages and events to them.
class ControlPlane {
  public:
    ControlPlane(config::BootstrapSettings boot, bool metrics);
    void run();

  private:
    std::string address() const { return boot_.peerAddress(boot_.ip); }

    // Connections with other processes.
    std::shared_ptr<PeerConnection::Callbacks> makeConnectionCallbacks();
    Json hello() const;
    void onMessage(PeerConnection& connection, const Json& message);
    void onHello(PeerConnection& connection, const Json& message);
    void onControlPlaneHello(PeerConnection& connection, const Hello& hello, const Json& message);
    void onProxyHello(PeerConnection& connection, const Hello& hello);
    void onStateReport(PeerConnection& connection, const Json& message);
    void onDisconnected(PeerConnection& connection);
    void dialSeeds();
    void dialMembers();

    // The replica's events.
    void onValueLearned(const std::string& key);
    void onMembershipChanged();
    Task<> readRolloutsFirst();

    // Reports to the other control nodes.
    std::set<std::string> reachablePeers() const;
    void sendStateReport();
    Task<> sendStateReports();

    StatusReport status() const;
    Task<> start();
    bool openReplica();
    void startTasks();
    void shutDown();
    Task<> stepDownAndStop();
    void reloadSettings();

    config::BootstrapSettings boot_;
    asio::io_context io_{1};
    ReplicaNode replica_;
    tcp::acceptor adminAcceptor_, peerAcceptor_;
    std::shared_ptr<PeerConnection::Callbacks> connectionCallbacks_;
    PeerDialers peers_;
    ProxyRegistry proxies_;
    subscription::ConfigurationCache cache_{{}};
    ConfigurationPublisher publisher_;
    LeaseHolder leases_;
    EndpointDiscovery endpointDiscovery_;
    RolloutController rollouts_;
    AdminApi adminApi_;
    AdminServer adminServer_;
    MemoryLog memoryLog_{boot_.memoryMegabytes};
    bool rolloutsRead_ = false;  // from a majority, since the start
    bool replicaOpen_ = false;
    bool stopping_ = false;
};

ControlPlane::ControlPlane(config::BootstrapSettings boot, bool metrics)
    : boot_(std::move(boot)),
      replica_(io_, boot_,
               {[this](const std::string& key) { onValueLearned(key); }, [this] { onMembershipChanged(); }},
               ReplicaNode::onDisk(boot_)),
      adminAcceptor_(io_),
      peerAcceptor_(io_),
      connectionCallbacks_(makeConnectionCallbacks()),
      peers_(io_, address(), connectionCallbacks_),
      proxies_(io_),
      publisher_(cache_, proxies_, [this] { return replica_.hasQuorumContact(); }),
      leases_(
          replica_, {address(), randomIncarnation()}, [this] { return reachablePeers(); },
          [this] { return cache_.highestTermSeen(); }),
      endpointDiscovery_(
          io_, boot_, cache_,
          [this] { return leases_.holdsLease(kEndpointListLease) ? leases_.term(kEndpointListLease) : 0; },
          [this](const Json& message) { publisher_.broadcast(message); }),
      rollouts_(
          replica_, boot_.acknowledgementTime / kMillisecond,
          [this] { return rolloutsRead_ && leases_.holdsLease(kRolloutsLease); },
          [this] { return proxies_.names(); }),
      adminApi_(
          AdminApi::Register::of(replica_), rollouts_.repeatWindow(), [this] { return status(); }, metrics),
      adminServer_(io_, adminApi_, adminServerLimits(boot_)) {}

// ---- Connections with other processes. ----

std::shared_ptr<PeerConnection::Callbacks> ControlPlane::makeConnectionCallbacks() {
    auto callbacks = std::make_shared<PeerConnection::Callbacks>();
    callbacks->makeHello = [this](PeerConnection&) { return hello(); };
    callbacks->expectsHello = true;
    callbacks->onMessage = [this](PeerConnection& connection, const Json& message) {
        onMessage(connection, message);
    };
    callbacks->onClosed = [this](PeerConnection& connection) { onDisconnected(connection); };
    return callbacks;
}

Json ControlPlane::hello() const { return encodeHello(replica_.helloFields(), boot_.name, address()); }

void ControlPlane::onMessage(PeerConnection& connection, const Json& message) {
    const auto type = messageType(message);
    if (type == MessageType::hello) return onHello(connection, message);
    if (type == MessageType::known) onStateReport(connection, message);
    if (replica_.handleMessage(connection, message)) return;
    switch (type) {
        case MessageType::want:
            return publisher_.onWant(connection, message);
        case MessageType::digest:
            return publisher_.onDigest(connection, message);
        case MessageType::lost:
            return proxies_.onLost(decodeLostProxy(message), connection.peer);
        case MessageType::acknowledgement:
            return proxies_.onAcknowledgement(connection.peer, decodeAcknowledgement(message));
        case MessageType::vote:
            return rollouts_.onVote(decodeVote(message));
        default:  // possibly of a later version
            return;
    }
}

void ControlPlane::onHello(PeerConnection& connection, const Json& message) {
    const auto hello = decodeHello(message);
    connection.kind = hello.kind;
    if (hello.fromControlPlane()) onControlPlaneHello(connection, hello, message);
    else onProxyHello(connection, hello);
}

void ControlPlane::onControlPlaneHello(PeerConnection& connection, const Hello& hello, const Json& message) {
    connection.peer = hello.address;
    const auto ownConnection = peers_.connectionTo(hello.address);
    if (ownConnection.get() == &connection)
        replica_.onPeerConnected(hello.address, connection.shared_from_this());
    else if (!ownConnection)
        peers_.retryNow(
            hello.address);  // it is up; skipping the backoff speeds up recovery after an outage of all
    replica_.onHello(message);
    for (const auto& member : hello.members) peers_.dial(member);
    sendStateReport();
}

void ControlPlane::onProxyHello(PeerConnection& connection, const Hello& hello) {
    connection.peer = hello.name;
    proxies_.onHello(connection, hello);
    publisher_.sendDigest(connection);
}

void ControlPlane::onStateReport(PeerConnection& connection, const Json& message) {
    if (auto reachable = decodeReachable(message))
        leases_.onReachability(connection.peer, std::move(*reachable));
    if (const auto ages = decodeAges(message)) rollouts_.onPeerAges(*ages);
}

void ControlPlane::onDisconnected(PeerConnection& connection) {
    if (connection.kind != kControlPlaneKind) return proxies_.onDisconnected(connection);
    if (!peers_.dials(connection.peer) || peers_.connectionTo(connection.peer)) return;
    replica_.onPeerDisconnected(connection.peer);
    sendStateReport();
}

void ControlPlane::dialSeeds() {
    for (const auto& seed : boot_.seeds) peers_.dial(boot_.peerAddress(hostOf(seed)));
}

void ControlPlane::dialMembers() {
    for (const auto& member : replica_.members()) peers_.dial(member);
}

// ---- The replica's events. ----

void ControlPlane::onValueLearned(const std::string& key) {
    const auto& value = replica_.known(key).value;
    if (key == kConfigurationKey) {
        publisher_.onConfigurationLearned(value);
    } else if (key == kRolloutsKey) {
        rollouts_.onValueLearned();
        if (rolloutsRead_) publisher_.onRolloutsLearned(value);
    }
}

/// Called when the members or the quorum contact changed. Dials new members and sends proxies a new hello.
void ControlPlane::onMembershipChanged() {
    dialMembers();
    for (const auto& [_, proxy] : proxies_.proxies()) proxy.connection->send(hello());
    publisher_.broadcastDigest();
}

/// Sends proxies no rollouts before these were read from a majority.
Task<> ControlPlane::readRolloutsFirst() {
    for (bool read = false; !read;) {
        const auto value = co_await replica_.read(kRolloutsKey, kSecond);
        read = value.has_value();
    }
    rolloutsRead_ = true;
    publisher_.onRolloutsLearned(replica_.known(kRolloutsKey).value);
}

// ---- Reports to the other control nodes. ----

std::set<std::string> ControlPlane::reachablePeers() const {
    std::set<std::string> reachable;
    for (const auto& address : peers_.connected())
        if (replica_.isPeerReachable(address)) reachable.insert(address);
    return reachable;
}

void ControlPlane::sendStateReport() {
    StateReport report;
    for (const auto& key : kKeys)
        if (const auto& known = replica_.known(key); known.proposalNumber.round > 0)
            report.proposalNumbers[key] = known.proposalNumber;
    report.reachable = reachablePeers();
    report.ages = rollouts_.ages();
    peers_.broadcast(PeerConnection::encode(encodeStateReport(report)));
}

/// Sends reports at an interval, and at once when the set of reachable processes changes, because the leases
/// depend on it.
Task<> ControlPlane::sendStateReports() {
    std::set<std::string> reported;
    for (Nanos reportedAt = 0;;) {
        co_await sleep(kReachabilityCheckInterval);
        memoryLog_.check();
        auto reachable = reachablePeers();
        if (reachable == reported && now() - reportedAt < kReportInterval) continue;
        reportedAt = now();
        reported = std::move(reachable);
        sendStateReport();
    }
}

// ---- Status, start and shutdown. ----

StatusReport ControlPlane::status() const {
    StatusReport report;
    report.node = boot_.name;
    report.blankDisk = !replica_.isVotingMember();
    report.members = replica_.members().size();
    report.connectedPeers = replica_.connectedPeerCount();
    report.quorum = replica_.describe();
    report.configuration = cache_.version() ? config::formatVersion(cache_.version()) : "";
    report.leases = leases_.status();
    for (const auto& [name, proxy] : proxies_.proxies())
        report.proxies[name] = {proxy.address, proxy.incarnation, proxy.lostBy.size(),
                                config::formatVersion(proxy.acknowledgedVersion)};
    for (const auto& [_, endpoint] : cache_.endpoints().endpoints()) {
        auto& counts = report.pods[endpoint.service][endpoint.version];
        ++(endpoint.draining ? counts.draining : counts.ready);
    }
    if (const auto& rollouts = replica_.known(kRolloutsKey).value; !rollouts.empty())
        report.rollouts = Json::parse(rollouts);
    report.votes = rollouts_.votes();
    report.adminRequests = adminServer_.requests();
    report.adminConnections = adminServer_.connections();
    report.adminBytes = adminServer_.bytes();
    report.peakMemoryBytes = peakResidentBytes();
    report.listRequests = endpointDiscovery_.requests();
    report.listRateLimited = endpointDiscovery_.rateLimited();
    return report;
}

void ControlPlane::run() {
    const SignalHandler signals(
        io_, [this] { shutDown(); }, [this] { reloadSettings(); });
    log("control_plane_started", {});
    spawn(io_, "start", start());
    io_.run();
}

Task<> ControlPlane::start() {
    while (!openReplica()) co_await sleep(kStoreRetryInterval);
    dialSeeds();
    dialMembers();
    startTasks();
}

/// Returns false if the machine refuses to open the store, for example because its disk is full or not there
/// yet. Nothing is served until it is open, as if the machine were down.
bool ControlPlane::openReplica() {
    try {
        replica_.open();
        replicaOpen_ = true;
    } catch (const std::exception& error) {
        log("store_open_failed", {{"step", "open"}, {"error", error.what()}});
    }
    return replicaOpen_;
}

void ControlPlane::startTasks() {
    serveWhenAvailable(io_, peerAcceptor_, address(), "peer_connections", [this](tcp::acceptor& acceptor) {
        return servePeerConnections(io_, acceptor, connectionCallbacks_);
    });
    serveWhenAvailable(io_, adminAcceptor_, boot_.controlPlaneAddress, "admin_server",
                       [this](tcp::acceptor& acceptor) { return adminServer_.serve(acceptor); });
    spawn(io_, "replica", replica_.run());
    spawn(io_, "read_rollouts", readRolloutsFirst());
    spawn(io_, "state_reports", sendStateReports());
    spawn(io_, "leases", leases_.run());
    spawn(io_, "endpoint_list", endpointDiscovery_.run());
    spawn(io_, "rollouts", rollouts_.run());
}

void ControlPlane::shutDown() {
    if (std::exchange(stopping_, true)) return;
    spawn(io_, "shut_down", stepDownAndStop());
}

Task<> ControlPlane::stepDownAndStop() {
    if (replicaOpen_) co_await replica_.stepDown();
    log("control_plane_stopped", {});
    io_.stop();
}

void ControlPlane::reloadSettings() {
    try {
        boot_ = config::BootstrapSettings::fromEnvironment();
        dialSeeds();
        log("settings_reloaded", {});
    } catch (const std::exception& error) {
        log("settings_rejected", {{"step", "reload"}, {"error", error.what()}});
    }
}

}  // namespace

void run(const config::BootstrapSettings& boot, bool metrics) {
    openLog(boot.name);
    ControlPlane(boot, metrics).run();
}

}  // namespace lichenlanding::control_plane
