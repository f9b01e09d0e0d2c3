#include "routing/attempt.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace lichenlanding::casting {

const char* name(State state) {
    switch (state) {
        case State::unsent:
            return "unsent";
        case State::surelyNotRun:
            return "surely not run";
        case State::maybeRun:
            return "maybe run";
        case State::answered:
            return "answered";
    }
    return "";
}

const char* name(Event event) {
    switch (event) {
        case Event::written:
            return "written";
        case Event::unreached:
            return "unreached";
        case Event::turned:
            return "turned";
        case Event::elsewhere:
            return "elsewhere";
        case Event::answered:
            return "answered";
        case Event::cut:
            return "cut";
        case Event::spoilt:
            return "spoilt";
        case Event::overdue:
            return "overdue";
    }
    return "";
}

std::optional<State> after(std::span<const Transition> table, State from, Event event) {
    for (const auto& transition : table)
        if (transition.from == from && transition.event == event) return transition.to;
    return std::nullopt;
}

void Attempt::on(Event event) {
    const auto to = end_ ? std::nullopt : after(transitions, state_, event);
    if (!to)
        throw std::logic_error(std::string("attempt: ") + name(event) + " after " +
                               (end_ ? name(*end_) : name(state_)));
    state_ = *to;
    if (ends(event)) end_ = event;
}

State stateOf(const Attempts& attempts) {
    const auto any = [&](State state) {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const auto& attempt) { return attempt->state() == state; });
    };
    for (const auto state : {State::answered, State::maybeRun, State::surelyNotRun})
        if (any(state)) return state;
    return State::unsent;
}

std::size_t inFlight(const Attempts& attempts) {
    return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(),
                                                  [](const auto& attempt) { return attempt->inFlight(); }));
}

std::size_t arrivals(const Attempts& attempts) {
    return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(), [](const auto& attempt) {
        return attempt->end() != Event::unreached;
    }));
}

bool mayPromise(const Attempts& attempts) {
    const auto state = stateOf(attempts);
    return inFlight(attempts) == 0 && (state == State::unsent || state == State::surelyNotRun);
}

bool maySend(const Attempts& attempts, bool repeatable) { return repeatable || mayPromise(attempts); }

std::optional<Event> judge(const Answer& answer) {
    // MIXED: a late answer to an earlier request stands in the place of this one's; the id tells them apart.
    if (answer.id == Answer::Id::other) return std::nullopt;
    if (!answer.delimited) return Event::spoilt;
    const bool own = answer.id == Answer::Id::own;
    if (answer.status / 100 == 2)
        return own && answer.stamped && !answer.encoded && !answer.notExecuted ? Event::answered
                                                                               : Event::spoilt;
    if (answer.status == 421) return Event::elsewhere;
    if (answer.notExecuted) return answer.status >= 400 ? Event::turned : Event::spoilt;
    // REFUSED: what promises that nothing ran is passed on only with the pod's word for it.
    if (answer.status == 408 || answer.status == 429 || answer.status == 503) return Event::spoilt;
    return Event::answered;
}

}  // namespace lichenlanding::casting
