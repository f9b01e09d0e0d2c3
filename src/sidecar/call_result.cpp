#include "sidecar/call_result.hpp"

#include <iterator>

namespace lichenlanding::sidecar {

const char* nameOf(CallResult result) {
    static constexpr const char* kNames[] = {"succeeded",         "error response",     "rejected",
                                             "no descriptor",     "connection refused", "connect time-out",
                                             "reset before sent", "reset after sent",   "malformed response",
                                             "timed out",         "cancelled"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(CallResult::count));
    return kNames[static_cast<std::size_t>(result)];
}

CallResult resultOfResponse(int statusCode, bool rejected) {
    if (statusCode == 200) return CallResult::succeeded;
    const bool unavailable = statusCode == 503 || statusCode == 504;
    return rejected && unavailable ? CallResult::rejected : CallResult::errorResponse;
}

Outcome outcomeOf(CallResult result) {
    switch (result) {
        case CallResult::succeeded:
            return Outcome::succeeded;
        case CallResult::errorResponse:
            return Outcome::failed;
        case CallResult::rejected:
            return Outcome::rejected;
        case CallResult::noDescriptor:
        case CallResult::connectionRefused:
        case CallResult::connectTimeout:
        case CallResult::resetBeforeSent:
            return Outcome::unreachable;
        case CallResult::resetAfterSent:
        case CallResult::malformedResponse:
            return Outcome::connectionLost;
        case CallResult::timedOut:
            return Outcome::timedOut;
        case CallResult::cancelled:
        case CallResult::count:
            break;
    }
    return Outcome::cancelled;
}

Outcome outcomeOfVote(CallResult result, int statusCode) {
    switch (outcomeOf(result)) {
        case Outcome::succeeded:
            return Outcome::succeeded;
        case Outcome::failed:
        case Outcome::rejected:
            if (statusCode == 429) return Outcome::rejected;
            return statusCode == 409 ? Outcome::superseded : Outcome::failed;
        case Outcome::unreachable:
            return Outcome::failed;  // not executed
        default:
            return Outcome::timedOut;  // it may have been executed
    }
}

}  // namespace lichenlanding::sidecar
