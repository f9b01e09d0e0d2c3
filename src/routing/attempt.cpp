#include "routing/attempt.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace lichenlanding::routing {

const char* name(AttemptState state) {
    switch (state) {
        case AttemptState::unsent:
            return "unsent";
        case AttemptState::knownNotExecuted:
            return "known not executed";
        case AttemptState::maybeExecuted:
            return "maybe executed";
        case AttemptState::answered:
            return "answered";
    }
    return "";
}

const char* name(AttemptEvent event) {
    switch (event) {
        case AttemptEvent::written:
            return "written";
        case AttemptEvent::unreached:
            return "unreached";
        case AttemptEvent::rejectedByHost:
            return "rejected by host";
        case AttemptEvent::misdirected:
            return "misdirected";
        case AttemptEvent::answered:
            return "answered";
        case AttemptEvent::connectionLost:
            return "connection lost";
        case AttemptEvent::malformed:
            return "malformed";
        case AttemptEvent::timedOut:
            return "timed out";
        case AttemptEvent::cancelled:
            return "cancelled";
    }
    return "";
}

std::optional<AttemptState> nextState(std::span<const Transition> table, AttemptState from,
                                      AttemptEvent event) {
    for (const auto& transition : table)
        if (transition.from == from && transition.event == event) return transition.to;
    return std::nullopt;
}

void Attempt::apply(AttemptEvent event) {
    const auto to = end_ ? std::nullopt : nextState(kTransitions, state_, event);
    if (!to)
        throw std::logic_error(std::string("invalid transition of an attempt: ") + name(event) + " after " +
                               (end_ ? name(*end_) : name(state_)));
    state_ = *to;
    if (endsAttempt(event)) end_ = event;
}

AttemptState requestState(const Attempts& attempts) {
    const auto any = [&](AttemptState state) {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const auto& attempt) { return attempt->state() == state; });
    };
    for (const auto state :
         {AttemptState::answered, AttemptState::maybeExecuted, AttemptState::knownNotExecuted})
        if (any(state)) return state;
    return AttemptState::unsent;
}

std::size_t inFlight(const Attempts& attempts) {
    return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(),
                                                  [](const auto& attempt) { return attempt->inFlight(); }));
}

std::size_t possibleArrivals(const Attempts& attempts) {
    return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(), [](const auto& attempt) {
        return attempt->end() != AttemptEvent::unreached &&
               !(attempt->end() == AttemptEvent::cancelled &&
                 attempt->state() == AttemptState::knownNotExecuted);
    }));
}

bool mayPromiseNotExecuted(const Attempts& attempts) {
    const auto state = requestState(attempts);
    return inFlight(attempts) == 0 &&
           (state == AttemptState::unsent || state == AttemptState::knownNotExecuted);
}

bool mayAttempt(const Attempts& attempts, bool idempotent) {
    return idempotent || mayPromiseNotExecuted(attempts);
}

std::optional<AttemptEvent> classifyResponse(const ResponseHead& response) {
    // Guarantee MIXED: this is a late response to an earlier request on the connection, as its id shows.
    if (response.id == ResponseHead::Id::other) return std::nullopt;
    if (!response.delimited) return AttemptEvent::malformed;
    const bool own = response.id == ResponseHead::Id::own;
    if (response.status / 100 == 2)
        return own && response.sealed && !response.encoded && !response.notExecuted ? AttemptEvent::answered
                                                                                    : AttemptEvent::malformed;
    if (response.status == 421) return AttemptEvent::misdirected;
    if (response.notExecuted)
        return response.status >= 400 ? AttemptEvent::rejectedByHost : AttemptEvent::malformed;
    // Guarantee REFUSED: without X-Not-Executed, a status that promises "not executed" is not passed on.
    if (response.status == 408 || response.status == 429 || response.status == 503)
        return AttemptEvent::malformed;
    return AttemptEvent::answered;
}

}  // namespace lichenlanding::routing
