/// The state machine of one attempt: a request sent to one host. It alone decides whether a request may be
/// sent again, and whether it may be answered with 429, 503, 408 or 421, which state that it was not
/// executed.
///
/// Pure: no I/O, clock or random numbers. The caller reports events; a transition table gives the new state.
/// Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace lichenlanding::routing {

struct UpstreamHost;

enum class AttemptState {
    unsent,  ///< no byte has been written to a connection yet
    /// Nothing was or will be sent, or the host stated that it did not execute this attempt.
    knownNotExecuted,
    maybeExecuted,  ///< at least one byte may have been sent, and the host has not ruled out execution
    answered,       ///< the host's complete response to this request has arrived
};

enum class AttemptEvent {
    written,         ///< the first byte is about to be written; every other event ends the attempt
    unreached,       ///< the connection was not established, or given up before the first byte
    rejectedByHost,  ///< the response has X-Not-Executed and does not belong to another attempt
    misdirected,     ///< 421: another host now has the address
    answered,        ///< the host's complete response to this request has arrived
    connectionLost,  ///< closed or reset before the response was complete
    malformed,       ///< bytes that are not a valid response to this request
    timedOut,        ///< no complete response before the deadline
    cancelled,       ///< abandoned by this proxy: the response is no longer needed
};

struct Transition {
    AttemptState from;
    AttemptEvent event;
    AttemptState to;
};

/// All valid transitions. maybeExecuted becomes knownNotExecuted only by a response in which the host says
/// so; a timeout, a reset or a closed connection is never proof.
inline constexpr std::array<Transition, 10> kTransitions{{
    {AttemptState::unsent, AttemptEvent::written, AttemptState::maybeExecuted},
    {AttemptState::unsent, AttemptEvent::unreached, AttemptState::knownNotExecuted},
    {AttemptState::maybeExecuted, AttemptEvent::rejectedByHost, AttemptState::knownNotExecuted},
    {AttemptState::maybeExecuted, AttemptEvent::misdirected, AttemptState::knownNotExecuted},
    {AttemptState::maybeExecuted, AttemptEvent::answered, AttemptState::answered},
    {AttemptState::maybeExecuted, AttemptEvent::connectionLost, AttemptState::maybeExecuted},
    {AttemptState::maybeExecuted, AttemptEvent::malformed, AttemptState::maybeExecuted},
    {AttemptState::maybeExecuted, AttemptEvent::timedOut, AttemptState::maybeExecuted},
    {AttemptState::unsent, AttemptEvent::cancelled, AttemptState::knownNotExecuted},
    {AttemptState::maybeExecuted, AttemptEvent::cancelled, AttemptState::maybeExecuted},
}};

/// The state after `event`; none if `table` has no such transition.
std::optional<AttemptState> nextState(std::span<const Transition> table, AttemptState from,
                                      AttemptEvent event);

constexpr bool endsAttempt(AttemptEvent event) { return event != AttemptEvent::written; }

const char* name(AttemptState state);
const char* name(AttemptEvent event);

class Attempt {
  public:
    explicit Attempt(std::shared_ptr<UpstreamHost> host) : host_(std::move(host)) {}

    /// Throws std::logic_error, without a change of state, if the table has no such transition or the attempt
    /// has ended.
    void apply(AttemptEvent event);

    AttemptState state() const { return state_; }
    bool inFlight() const { return !end_; }
    /// The event that ended it; none while in flight.
    std::optional<AttemptEvent> end() const { return end_; }
    const std::shared_ptr<UpstreamHost>& host() const { return host_; }

  private:
    std::shared_ptr<UpstreamHost> host_;
    AttemptState state_ = AttemptState::unsent;
    std::optional<AttemptEvent> end_;
};

using Attempts = std::vector<std::shared_ptr<Attempt>>;  ///< of one request, in the order of sending

/// The state of the request over all its attempts: the one that restricts further attempts most.
AttemptState requestState(const Attempts& attempts);
std::size_t inFlight(const Attempts& attempts);
/// The number of attempts that may have reached or may still reach a host: all but those that ended before
/// they were sent.
std::size_t possibleArrivals(const Attempts& attempts);

/// Whether the request may be sent to one more host now (guarantee TWICE: a request that is not idempotent is
/// never executed twice).
bool mayAttempt(const Attempts& attempts, bool idempotent);
/// Whether 429, 503, 408 or 421 may be answered (guarantee REFUSED: these promise that the request was not
/// executed and never will be).
bool mayPromiseNotExecuted(const Attempts& attempts);

/// The parts of a response's head that decide how the response is classified.
struct ResponseHead {
    enum class Id { own, other, none };
    int status = 0;
    Id id = Id::none;          ///< X-Attempt-Id compared with the attempt's id
    bool notExecuted = false;  ///< X-Not-Executed is present
    bool sealed = false;       ///< X-Response-Seal is present
    bool encoded = false;      ///< Content-Encoding is present
    bool delimited = false;    ///< the framing tells a complete body from a lost connection
};

/// The event that a complete response means for the attempt. None if it belongs to another request: the
/// caller skips it, or treats it as malformed if it cannot be skipped.
std::optional<AttemptEvent> classifyResponse(const ResponseHead& response);

}  // namespace lichenlanding::routing
