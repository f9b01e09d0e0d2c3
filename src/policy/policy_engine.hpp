// The interface of the policy: PolicyEngine takes events, PolicyHost carries out effects. Two hosts implement
// it, the sidecar on real sockets (src/sidecar) and the simulator's adapter (src/adapter).
#pragma once

#include <memory>
#include <span>
#include <string>

#include "policy/types.hpp"

namespace lichenlanding {

/// The effects that a policy asks for. They are called from within a PolicyEngine's event calls, on the same
/// thread; an implementation must not call the engine back before that call has returned.
class PolicyHost {
  public:
    virtual ~PolicyHost() = default;
    /// Sends the newest attempt of its request; it times out after `timeout` nanoseconds.
    virtual void forward(const Attempt& attempt, Nanos timeout) = 0;
    /// Answers that the request may be retried without harm, after `retryAfter` nanoseconds (0: no advice).
    virtual void reject(const Request& request, Nanos retryAfter) = 0;
    /// Answers with an error, which promises nothing.
    virtual void fail(const Request& request) = 0;
    /// Gives up an attempt in flight; `attempt` is its index in Request::attempts.
    virtual void cancel(const Request& request, int attempt) = 0;
    /// Asks a pod for its load report.
    virtual void probe(const Pod& pod) = 0;
    /// Sends at most kMaxMessageBytes to one peer, by index, or to all of them if `peer` is below 0.
    virtual void sendToPeer(int peer, const std::string& bytes) = 0;
    /// Sends a vote to the platform, which answers by PolicyEngine::onRolloutUpdate.
    virtual void vote(Verdict verdict, int build, int stage) = 0;
    /// Asks for PolicyEngine::onTimer after `delay` nanoseconds; replaces an earlier timer.
    virtual void scheduleTimer(Nanos delay) = 0;
    /// Asks for the endpoint list and its changes, where they do not come by themselves.
    virtual void watchEndpoints() = 0;
};

/// The policy of one sidecar. The host reports every event by one call, in order, after setTime(). It owns
/// Requests and Pods, whose addresses must stay: a Request's until it has ended and no attempt is in flight,
/// a Pod's as long as the engine lives. Not thread-safe. No call throws for what comes from outside.
class PolicyEngine {
  public:
    /// `seed` fixes all random choices: equal seeds and events give equal effects.
    PolicyEngine(const Settings& settings, std::uint64_t seed, PolicyHost& host);
    ~PolicyEngine();

    /// The time of the events that follow: monotonic nanoseconds, never going back.
    void setTime(Nanos now);
    /// Endpoints listed or changed. `complete`: pods that are not among them are removed.
    void onEndpoints(bool complete, std::span<const EndpointUpdate> updates);
    /// watchEndpoints() failed; it is asked for again where endpoints are pulled.
    void onEndpointsUnavailable();
    /// A new request. It is forwarded or answered before the call returns.
    void onRequest(Request& request);
    /// A streamed response has begun: the request's deadline no longer applies.
    void onResponseHeaders(Attempt& attempt);
    /// The end of an attempt, `latency` nanoseconds after it was sent. `clientDone`: the client has its
    /// answer or has left.
    void onOutcome(Attempt& attempt, Outcome outcome, Nanos latency, bool clientDone);
    /// The client has left; nothing is answered any more.
    void onClientDisconnect(Request& request);
    /// The requests in flight that a pod reports by itself.
    void onLoadReport(Pod& pod, double inFlight);
    /// A response given `age` nanoseconds ago was found to be wrong.
    void onFlaggedResponse(Pod& pod, Nanos age, const PathGroup& group);
    /// Bytes from another sidecar; what cannot be decoded is dropped.
    void onPeerMessage(int peer, const std::string& bytes);
    /// The state of a rollout, `age` nanoseconds old. `answer`: it answers the last vote, whose outcome is
    /// `answered`. `cap`: the share of requests that builds on trial may get.
    void onRolloutUpdate(int build, int stage, RolloutState state, bool answer, Outcome answered, double cap,
                         Nanos age);
    /// What signed metadata say of a build; needed only with Settings::attestationRequired.
    void onAttestation(int build, Attestation attestation);
    /// The timer of scheduleTimer() has fired. The first call starts the engine.
    void onTimer();

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlanding
