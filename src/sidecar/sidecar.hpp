// One sidecar process: owns the event loop and all clients and servers, connects them with the policy, and
// handles start, reload and shutdown.
#pragma once

#include <list>
#include <optional>
#include <unordered_set>

#include "policy/policy_engine.hpp"
#include "sidecar/config.hpp"
#include "sidecar/discovery_client.hpp"
#include "sidecar/http_server.hpp"
#include "sidecar/peer_transport.hpp"
#include "sidecar/platform_client.hpp"
#include "sidecar/request_handler.hpp"
#include "sidecar/trust_manager.hpp"
#include "sidecar/upstream_pool.hpp"

namespace lichenlanding::sidecar {

/// Not thread-safe: to be used from the thread that runs its loop.
class Sidecar final : private PolicyHost, private RequestContext {
  public:
    /// Starts to listen; throws std::runtime_error if that fails. With `trust`, builds on trial need valid
    /// signed metadata.
    explicit Sidecar(const Config& config, const std::optional<TrustConfig>& trust = {});
    ~Sidecar() override;

    /// Runs the event loop until a stop() is complete.
    void run();
    /// Applies the addresses of discovery and platform; requests in flight are not affected.
    void reload(const Config& config);
    void reload(const TrustConfig& trust);
    /// Graceful shutdown: readiness checks fail, and run() returns once all requests are answered.
    void stop();
    EventLoop& loop() { return loop_; }
    Address address() const { return server_.address(); }
    std::size_t requestsInFlight() const { return handlers_.size(); }
    const TrustManager* trust() const { return trust_ ? &*trust_ : nullptr; }
    /// Requests whose client disconnected before the response.
    std::size_t clientDisconnects() const { return clientDisconnects_; }

  private:
    // PolicyHost
    void forward(const Attempt& attempt, Nanos timeout) override;
    void reject(const Request& request, Nanos retryAfter) override;
    void fail(const Request& request) override;
    void cancel(const Request& request, int attempt) override;
    void probe(const Pod& pod) override;
    void sendToPeer(int peer, const std::string& bytes) override;
    void vote(Verdict verdict, int build, int stage) override;
    void scheduleTimer(Nanos delay) override;
    void watchEndpoints() override {}  // discovery pushes endpoints

    // RequestContext
    Nanos now() const override { return loop_.now(); }
    bool reserveId(const std::string& id) override { return idsInFlight_.insert(id).second; }
    void onClientDisconnect() override { ++clientDisconnects_; }
    void callPolicy(const std::function<void(PolicyEngine&)>& call) override;
    UpstreamPool& upstreams() override { return upstreams_; }
    void onFinished(RequestHandler& handler) override;

    void onRequest(std::unique_ptr<ClientRequest> request);
    void onEndpoints(bool complete, const std::vector<EndpointUpdate>& updates);
    void onRolloutUpdate(const RolloutUpdate& update, bool answer, Outcome answered);
    void onDispute(const Dispute& dispute);
    bool isReady();
    void logMemory();
    void stopIfDrained();

    Config config_;
    EventLoop loop_;
    UpstreamPool upstreams_;
    PolicyEngine policy_;
    DiscoveryClient discovery_;
    PlatformClient platform_;
    PeerTransport peers_;
    HttpServer server_;
    std::optional<TrustManager> trust_;
    Timer policyTimer_, drainTimer_, memoryTimer_;
    bool inPolicy_ = false;
    std::vector<std::function<void()>> effects_;  // requested by the policy during its current call
    std::list<std::unique_ptr<RequestHandler>> handlers_;
    std::unordered_set<std::string> idsInFlight_;  // never iterated
    bool loggedReady_ = false;
    std::size_t clientDisconnects_ = 0;
    Nanos stoppedAt_ = -1;  // below 0: not stopped
};

}  // namespace lichenlanding::sidecar
