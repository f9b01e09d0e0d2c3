#include "sidecar/call_result.hpp"

#include <iterator>

namespace lichenlanding::net {

const char* nameOf(Ending ending) {
    static constexpr const char* names[] = {"answered", "failed",    "turned away", "no room",
                                            "refused",  "never up",  "cut before",  "cut after",
                                            "garbled",  "timed out", "called off"};
    static_assert(std::size(names) == static_cast<std::size_t>(Ending::count));
    return names[static_cast<std::size_t>(ending)];
}

Ending endingOfAnswer(int code, bool notRun) {
    if (code == 200) return Ending::answered;
    return notRun && (code == 503 || code == 504) ? Ending::turnedAway : Ending::failed;
}

Outcome outcomeOf(Ending ending) {
    switch (ending) {
        case Ending::answered:
            return Outcome::delivered;
        case Ending::failed:
            return Outcome::errored;
        case Ending::turnedAway:
            return Outcome::saturated;
        case Ending::noRoom:
        case Ending::refused:
        case Ending::neverUp:
        case Ending::cutBefore:
            return Outcome::unreached;
        case Ending::cutAfter:
        case Ending::garbled:
            return Outcome::severed;
        case Ending::timedOut:
            return Outcome::overdue;
        case Ending::calledOff:
        case Ending::count:
            break;
    }
    return Outcome::recalled;
}

Outcome outcomeOfVote(Ending ending, int code) {
    switch (outcomeOf(ending)) {
        case Outcome::delivered:
            return Outcome::delivered;
        case Outcome::errored:
        case Outcome::saturated:
            return code == 429 ? Outcome::saturated : code == 409 ? Outcome::superseded : Outcome::errored;
        case Outcome::unreached:
            return Outcome::errored;  // not carried out
        default:
            return Outcome::overdue;  // it may have been
    }
}

}  // namespace lichenlanding::net
