// The interface of the policy: PolicyEngine receives events, PolicyHost carries out effects. It has two
// implementations: the sidecar on real sockets (src/sidecar) and the simulator's adapter (src/adapter).
#pragma once

#include <memory>
#include <span>
#include <string>

#include "policy/types.hpp"

namespace lichenlanding {

/// The effects that a policy requests. They are called from within a PolicyEngine's event calls, on the same
/// thread; an implementation must not call the engine back before that call has returned.
class PolicyHost {
  public:
    virtual ~PolicyHost() = default;
    /// Sends the newest attempt of its request; it times out after `timeout` nanoseconds.
    virtual void forward(const Attempt& attempt, Nanos timeout) = 0;
    /// Rejects a request: the client may safely retry it, after `retryAfter` nanoseconds (0: unspecified).
    virtual void reject(const Request& request, Nanos retryAfter) = 0;
    /// Answers with an error, which doesn't tell whether the request was executed.
    virtual void fail(const Request& request) = 0;
    /// Cancels an attempt in flight; `attempt` is its index in Request::attempts.
    virtual void cancel(const Request& request, int attempt) = 0;
    /// Requests a load report from a pod.
    virtual void probe(const Pod& pod) = 0;
    /// Sends at most kMaxMessageBytes to one peer, by index, or to all of them if `peer` is below 0.
    virtual void sendToPeer(int peer, const std::string& bytes) = 0;
    /// Sends a vote to the platform; the answer arrives through PolicyEngine::onRolloutUpdate.
    virtual void vote(Verdict verdict, int build, int stage) = 0;
    /// Schedules PolicyEngine::onTimer after `delay` nanoseconds; replaces an earlier timer.
    virtual void scheduleTimer(Nanos delay) = 0;
    /// Subscribes to the endpoint list and its changes, where they are not pushed (Settings::pullEndpoints).
    virtual void watchEndpoints() = 0;
};

/// The policy of one sidecar. The host reports every event by one call, in order, after setTime(). The host
/// owns Requests and Pods and must keep them at their addresses: a Request until it has ended and no attempt
/// is in flight, a Pod as long as the engine exists. Not thread-safe. No call throws on external input.
class PolicyEngine {
  public:
    /// `seed` makes the random choices reproducible: equal seeds and events give equal effects.
    PolicyEngine(const Settings& settings, std::uint64_t seed, PolicyHost& host);
    ~PolicyEngine();

    /// Sets the time of the events that follow: nanoseconds of a monotonic clock, never decreasing.
    void setTime(Nanos now);
    /// Endpoints were listed or changed. `complete`: pods that are not in `updates` are removed.
    void onEndpoints(bool complete, std::span<const EndpointUpdate> updates);
    /// watchEndpoints() failed; it is called again where endpoints are pulled.
    void onEndpointsUnavailable();
    /// A new request. It is forwarded or answered before the call returns.
    void onRequest(Request& request);
    /// A streamed response has begun: the request's deadline no longer applies.
    void onResponseHeaders(Attempt& attempt);
    /// An attempt ended, `latency` nanoseconds after it was sent. `clientDone`: the client has received its
    /// answer or has disconnected.
    void onOutcome(Attempt& attempt, Outcome outcome, Nanos latency, bool clientDone);
    /// The client has disconnected; the request gets no answer.
    void onClientDisconnect(Request& request);
    /// A pod reported its number of requests in flight.
    void onLoadReport(Pod& pod, double inFlight);
    /// A response given `age` nanoseconds ago was found to be wrong.
    void onFlaggedResponse(Pod& pod, Nanos age, const PathGroup& group);
    /// A message from another sidecar; dropped if it cannot be decoded.
    void onPeerMessage(int peer, const std::string& bytes);
    /// The state of a rollout, which changed `age` nanoseconds ago. `answer`: it answers the last vote, whose
    /// outcome is `answerOutcome`. `cap`: the share of requests that builds on trial may get.
    void onRolloutUpdate(int build, int stage, RolloutState state, bool answer, Outcome answerOutcome,
                         double cap, Nanos age);
    /// The attestation of a build in signed metadata; used only with Settings::attestationRequired.
    void onAttestation(int build, Attestation attestation);
    /// The timer of scheduleTimer() has fired. The first call starts the engine.
    void onTimer();

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace lichenlanding
