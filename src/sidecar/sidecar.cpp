#include "sidecar/sidecar.hpp"

#include <malloc.h>

#include <algorithm>

namespace lichenlanding::sidecar {
namespace {

constexpr Nanos kDrainGrace = 600'000'000;  // after a stop, new connections may arrive for this long
constexpr Nanos kDrainPoll = 10'000'000;
constexpr Nanos kMemoryLogInterval = 60'000'000'000;

// Descriptors for connections other than those to pods and from clients, which share the rest.
constexpr int kReservedDescriptors = 32;

int upstreamConnections(int descriptors) { return std::max(descriptors / 2 - kReservedDescriptors, 1); }

// Many clients may each keep a connection open, and together they hold no more than a third of the
// descriptors: idle connections must be evicted before that limit, or new clients cannot connect.
ConnectionLimits clientConnections(int descriptors) {
    const auto hard = descriptors - upstreamConnections(descriptors) - kReservedDescriptors;
    return {static_cast<std::size_t>(std::max(descriptors / 4, 1)),
            static_cast<std::size_t>(std::max(hard, 1))};
}

// The metadata mirror's connections are taken from the descriptors for requests.
Config withTrust(Config config, const std::optional<TrustConfig>& trust) {
    if (!trust) return config;
    config.settings.attestationRequired = true;
    if (trust->serveAddress) config.sockets -= static_cast<int>(trust->maxServeConnections);
    if (config.sockets < 2 * kReservedDescriptors)
        throw std::invalid_argument("serve.connections: too many for limits.sockets");
    return config;
}

// Different parts of the seed, so that the random choices of the components are independent.
std::uint32_t discoverySeed(const Config& config) { return static_cast<std::uint32_t>(config.seed); }
std::uint32_t trustSeed(const Config& config) { return static_cast<std::uint32_t>(config.seed >> 16); }
std::uint32_t platformSeed(const Config& config) { return static_cast<std::uint32_t>(config.seed >> 32); }

}  // namespace

Sidecar::Sidecar(const Config& config, const std::optional<TrustConfig>& trust)
    : config_(withTrust(config, trust)),
      upstreams_(loop_, config_.settings.connectTimeout, config_.settings.idleTimeout,
                 upstreamConnections(config_.sockets)),
      policy_(config_.settings, config_.seed, *this),
      discovery_(
          loop_, config_.discovery, config_.settings.connectTimeout,
          limits::ReconnectBackoff(DiscoveryClient::kIdleTimeout, discoverySeed(config_), config_.settings),
          config_.settings.zones, upstreams_,
          [this](bool complete, const std::vector<EndpointUpdate>& updates) {
              onEndpoints(complete, updates);
          }),
      platform_(
          loop_, config_.platform, config_.settings.connectTimeout, config_.settings.voteTimeout,
          // Without the settings: reconnects are not spread over the fleet, since votes wait for them.
          limits::ReconnectBackoff(PlatformClient::kIdleTimeout, platformSeed(config_)),
          [this](const RolloutUpdate& update, bool answer, Outcome answered) {
              onRolloutUpdate(update, answer, answered);
          },
          [this](const Dispute& dispute) { onDispute(dispute); }),
      peers_(loop_, config_.peerListen, config_.peers, config_.peerBroadcast,
             [this](int peer, const std::string& bytes) {
                 callPolicy([&](PolicyEngine& policy) { policy.onPeerMessage(peer, bytes); });
             }),
      server_(
          loop_, config_.listen, clientConnections(config_.sockets),
          [this](std::unique_ptr<ClientRequest> request) { onRequest(std::move(request)); },
          [this] { return isReady(); }),
      policyTimer_(loop_, [this] { callPolicy([](PolicyEngine& policy) { policy.onTimer(); }); }),
      drainTimer_(loop_, [this] { stopIfDrained(); }),
      memoryTimer_(loop_, [this] { logMemory(); }) {
    if (trust)
        trust_.emplace(loop_, *trust, trustSeed(config_), [this](int build, Attestation attestation) {
            callPolicy([&](PolicyEngine& policy) { policy.onAttestation(build, attestation); });
        });
    callPolicy([](PolicyEngine& policy) { policy.onTimer(); });
    if (config_.rollout) {
        if (trust_) trust_->track(config_.rollout->build);
        const auto& update = *config_.rollout;
        callPolicy([&](PolicyEngine& policy) {
            policy.onRolloutUpdate(update.build, update.stage, update.state, false, Outcome::succeeded,
                                   update.cap, update.age);
        });
    }
    discovery_.start(config_.endpoints);
    platform_.start();
    if (trust_) trust_->start();
    log(LogEvent::start, config_.name + " listens on " + server_.address().text());
    memoryTimer_.start(kMemoryLogInterval);
}

Sidecar::~Sidecar() = default;

void Sidecar::run() { loop_.run(); }

// Effects that the policy requests are executed after its call has returned, so that nothing re-enters it or
// frees objects that it is using.
void Sidecar::callPolicy(const std::function<void(PolicyEngine&)>& call) {
    if (inPolicy_) return loop_.post([this, call] { callPolicy(call); });
    inPolicy_ = true;
    policy_.setTime(loop_.now());
    try {
        call(policy_);
    } catch (...) {
        inPolicy_ = false;
        throw;
    }
    inPolicy_ = false;
    std::vector<std::function<void()>> effects;
    effects.swap(effects_);
    for (auto& effect : effects) effect();
}

void Sidecar::forward(const Attempt& attempt, Nanos timeout) {
    RequestHandler::of(*attempt.request).forwardNewest(timeout);
}

void Sidecar::reject(const Request& request, Nanos retryAfter) {
    effects_.emplace_back([&request, retryAfter] { RequestHandler::of(request).reject(retryAfter); });
}

void Sidecar::fail(const Request& request) {
    effects_.emplace_back([&request] { RequestHandler::of(request).fail(); });
}

void Sidecar::cancel(const Request& request, int attempt) {
    effects_.emplace_back([&request, attempt] { RequestHandler::of(request).cancel(attempt); });
}

void Sidecar::probe(const Pod& pod) {
    effects_.emplace_back([this, &host = upstreams_.host(static_cast<const UpstreamHost&>(pod).name)] {
        const HttpRequest request{EVHTTP_REQ_GET, paths::kLoad, {{"Host", host.address.text()}}, {}};
        const auto timeout = config_.settings.connectTimeout;
        upstreams_.send(host, request, timeout, [this, &host](const CallResponse& response) {
            const auto& report = response.loadReport.empty() ? response.body : response.loadReport;
            const auto inFlight = parseInFlight(report);
            if (response.result == CallResult::succeeded && inFlight >= 0)
                callPolicy([&](PolicyEngine& policy) { policy.onLoadReport(host, inFlight); });
        });
    });
}

void Sidecar::sendToPeer(int peer, const std::string& bytes) { peers_.send(peer, bytes); }

void Sidecar::vote(Verdict verdict, int build, int stage) {
    effects_.emplace_back([this, verdict, build, stage] { platform_.vote(verdict, build, stage); });
}

void Sidecar::scheduleTimer(Nanos delay) { policyTimer_.start(delay); }

void Sidecar::onRequest(std::unique_ptr<ClientRequest> request) {
    if (static_cast<int>(handlers_.size()) >= config_.settings.maxInFlight) {
        log(LogEvent::overload, "load shedding: " + std::to_string(handlers_.size()) + " requests in flight");
        return request->respond(503);
    }
    RequestContext& context = *this;
    handlers_.push_back(std::make_unique<RequestHandler>(context, config_.settings, std::move(request)));
    handlers_.back()->start();
}

void Sidecar::onFinished(RequestHandler& handler) {
    if (!handler.id().empty()) idsInFlight_.erase(handler.id());
    loop_.post([this, &handler] {
        handlers_.remove_if([&](auto& owned) { return owned.get() == &handler; });
        if (stoppedAt_ >= 0) stopIfDrained();
    });
}

void Sidecar::onEndpoints(bool complete, const std::vector<EndpointUpdate>& updates) {
    callPolicy([&](PolicyEngine& policy) { policy.onEndpoints(complete, updates); });
    if (!trust_) return;
    for (const auto& update : updates) trust_->track(update.build);
}

void Sidecar::onRolloutUpdate(const RolloutUpdate& update, bool answer, Outcome answered) {
    callPolicy([&](PolicyEngine& policy) {
        policy.onRolloutUpdate(update.build, update.stage, update.state, answer, answered, update.cap,
                               update.age);
    });
    if (trust_) trust_->track(update.build);
}

void Sidecar::onDispute(const Dispute& dispute) {
    auto* host = upstreams_.find(dispute.pod);
    for (const auto& group : config_.settings.groups)
        if (host && group.name == dispute.group)
            callPolicy([&](PolicyEngine& policy) { policy.onFlaggedResponse(*host, dispute.age, group); });
}

bool Sidecar::isReady() {
    if (!discovery_.hasEndpoints()) return false;
    if (!std::exchange(loggedReady_, true)) log(LogEvent::ready, config_.name);
    return true;
}

// Logs the sizes that grow with requests, clients and pods, so that long runs show whether memory stays flat.
void Sidecar::logMemory() {
    const auto heap = mallinfo2();
    log(LogEvent::memory, "heap " + std::to_string((heap.uordblks + heap.hblkhd) >> 10) + " kB, " +
                              std::to_string(handlers_.size()) + " requests in flight, " +
                              std::to_string(idsInFlight_.size()) + " ids, " +
                              std::to_string(server_.connections()) + " client connections, " +
                              std::to_string(upstreams_.connections()) + " upstream connections, " +
                              std::to_string(upstreams_.hosts()) + " upstream hosts");
    memoryTimer_.start(kMemoryLogInterval);
}

void Sidecar::reload(const Config& config) {
    log(LogEvent::start,
        "reloaded: discovery " + config.discovery.text() + ", platform " + config.platform.text());
    discovery_.setAddress(config.discovery);
    platform_.setAddress(config.platform);
}

void Sidecar::reload(const TrustConfig& trust) {
    if (trust_) trust_->reload(trust);
}

void Sidecar::stop() {
    if (stoppedAt_ >= 0) return;
    stoppedAt_ = loop_.now();
    log(LogEvent::stop, "draining: " + std::to_string(handlers_.size()) + " requests in flight");
    server_.drain();
    if (trust_) trust_->stop();
    drainTimer_.start(kDrainGrace);
}

// Requests are accepted as long as new connections may arrive, and all are answered. The loop stops once the
// last response is written and the last partial request is complete or has timed out.
void Sidecar::stopIfDrained() {
    if (loop_.now() - stoppedAt_ < kDrainGrace) return;
    drainTimer_.start(kDrainPoll);
    if (server_.hasPendingConnection() || server_.connections() > 0 || !handlers_.empty()) return;
    log(LogEvent::stop, "drained");
    loop_.stop();
}

}  // namespace lichenlanding::sidecar
