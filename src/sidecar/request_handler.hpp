// Handles one client request, from its arrival until its response is sent and its last attempt has ended.
#pragma once

#include "policy/policy_engine.hpp"
#include "sidecar/client_request.hpp"
#include "sidecar/task.hpp"
#include "sidecar/upstream_pool.hpp"

namespace lichenlanding::sidecar {

class RequestHandler;

/// What a RequestHandler needs of its sidecar.
class RequestContext {
  public:
    virtual ~RequestContext() = default;
    virtual Nanos now() const = 0;
    /// All calls to the policy go through this.
    virtual void callPolicy(const std::function<void(PolicyEngine&)>& call) = 0;
    virtual UpstreamPool& upstreams() = 0;
    /// Reserves a request id until onFinished(); false if a request with that id is in flight.
    virtual bool reserveId(const std::string& id) = 0;
    /// The client disconnected before its response.
    virtual void onClientDisconnect() = 0;
    /// The handler is done; the implementation destroys it later, from the loop.
    virtual void onFinished(RequestHandler& handler) = 0;
};

class RequestHandler {
  public:
    RequestHandler(RequestContext& context, const Settings& settings, std::unique_ptr<ClientRequest> client);

    void start() { task_ = handle(); }
    /// Empty for an invalid request.
    const std::string& id() const { return request_.id; }

    // Effects that the policy requests; they are executed after its call has returned.
    void forwardNewest(Nanos timeout) { pendingTimeout_ = timeout; }
    void reject(Nanos retryAfter) { client_->respond(503, {}, {}, retryAfter); }
    void fail() { client_->respond(500); }
    void cancel(int attempt);

    /// The handler of a request that was passed to the policy.
    static RequestHandler& of(const Request& request) {
        return static_cast<const HandledRequest&>(request).handler;
    }

  private:
    struct HandledRequest : Request {
        explicit HandledRequest(RequestHandler& handler_) : handler(handler_) {}
        RequestHandler& handler;
    };
    struct AttemptAwaiter;

    Task handle();
    int readRequest();  // fills in request_; returns 0, or the status code for an invalid request
    HttpRequest upstreamRequest(Nanos timeout) const;

    RequestContext& context_;
    const Settings& settings_;
    std::unique_ptr<ClientRequest> client_;
    HandledRequest request_{*this};
    std::string idempotencyKey_;
    std::optional<Nanos> pendingTimeout_;       // of the newest attempt, until it is sent
    UpstreamConnection* connection_ = nullptr;  // of the attempt in flight
    Task task_;
};

}  // namespace lichenlanding::sidecar
