/// One attempt of a request at one host, and what is known of it. The one place that says whether a request
/// may be sent again, and whether 429, 503, 408 or 421 may be promised for it: everything that does either
/// asks here.
///
/// Pure: no I/O, clock or chance. The caller tells what happened, as events; the table says what that means.
/// One thread.
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
    unsent,            ///< no byte was handed to a connection, so far
    knownNotExecuted,  ///< none ever will be, or this host has said of this very attempt that it was not
                       ///< executed
    maybeExecuted,     ///< some were, and nothing says that it was not executed
    answered,          ///< a whole answer of this host to this request
};

enum class AttemptEvent {
    written,         ///< the first byte is about to be handed over; all other events end the attempt
    unreached,       ///< the connection never came up, or was left before the first byte
    rejectedByHost,  ///< X-Not-Executed, under the attempt's own id
    misdirected,     ///< 421: the address has another host
    answered,        ///< a whole answer of this host to this request
    connectionLost,  ///< closed or reset before that
    malformed,       ///< bytes that are no answer to this request
    timedOut,        ///< no answer in time
    cancelled,       ///< ended here before that: nobody waits for the answer any more
};

struct Transition {
    AttemptState from;
    AttemptEvent event;
    AttemptState to;
};

/// What is not here cannot happen. From maybeExecuted only the host's own word leads to knownNotExecuted;
/// silence, a reset or a close never do, whatever was known before.
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

/// The state that follows by the table; none where it has no such transition.
std::optional<AttemptState> after(std::span<const Transition> table, AttemptState from, AttemptEvent event);

constexpr bool ends(AttemptEvent event) { return event != AttemptEvent::written; }

const char* name(AttemptState state);
const char* name(AttemptEvent event);

class Attempt {
  public:
    explicit Attempt(std::shared_ptr<UpstreamHost> host) : host_(std::move(host)) {}

    /// Throws std::logic_error where the table has no such transition or the attempt has ended: then nothing
    /// changes.
    void apply(AttemptEvent event);

    AttemptState state() const { return state_; }
    bool inFlight() const { return !end_; }
    std::optional<AttemptEvent> end() const { return end_; }  ///< none while in flight
    const std::shared_ptr<UpstreamHost>& host() const { return host_; }

  private:
    std::shared_ptr<UpstreamHost> host_;
    AttemptState state_ = AttemptState::unsent;
    std::optional<AttemptEvent> end_;
};

using Attempts = std::vector<std::shared_ptr<Attempt>>;  ///< of one request, in order

/// Of the request, over all its attempts: the state from which it can least be sent again.
AttemptState requestState(const Attempts& attempts);
std::size_t inFlight(const Attempts& attempts);
/// Attempts that hosts have seen or may still see: all but those that ended before they were sent.
std::size_t possibleArrivals(const Attempts& attempts);

/// TWICE: whether it may be sent to one more host, now.
bool mayAttempt(const Attempts& attempts, bool repeatable);
/// REFUSED: whether 429, 503, 408 or 421 may be answered, which promise that it was not executed and never
/// will be.
bool mayPromiseNotExecuted(const Attempts& attempts);

/// What the head of a host's answer says, as far as it decides.
struct ResponseHead {
    enum class Id { own, other, none };
    int status = 0;
    Id id = Id::none;          ///< X-Attempt-Id, against the attempt's
    bool notExecuted = false;  ///< X-Not-Executed
    bool sealed = false;       ///< X-Response-Seal
    bool encoded = false;      ///< Content-Encoding
    bool delimited = false;    ///< its end can be told from a connection that breaks off
};

/// The event that a whole answer makes of it; none where it belongs to another request, and is to be read
/// past or, where that can't be done, to count as malformed.
std::optional<AttemptEvent> classifyResponse(const ResponseHead& answer);

}  // namespace lichenlanding::routing
