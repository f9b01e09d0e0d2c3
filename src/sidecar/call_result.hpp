// How a call on a connection ends, and what that means to the policy.
#pragma once

#include "policy/types.hpp"

namespace lichenlanding::sidecar {

/// Every way in which a call can end.
enum class CallResult {
    succeeded,          ///< 200 and a complete body
    errorResponse,      ///< any other complete response: it may have been executed
    rejected,           ///< 503 or 504 that says that it was not executed
    noDescriptor,       ///< no file descriptor was left for a connection
    connectionRefused,  ///< by the other side
    connectTimeout,     ///< the connection was not established in time
    resetBeforeSent,    ///< the connection broke before the call's last byte was written
    resetAfterSent,     ///< it broke or ended after that, without a complete response
    malformedResponse,  ///< what came back cannot be parsed
    timedOut,           ///< no complete response came in time
    cancelled,          ///< by this side
    count
};

/// For logs; one of the words in docs/operate/sidecar-log-events.md.
const char* nameOf(CallResult result);

/// Of a complete response; `rejected`: it carries the header that says so.
CallResult resultOfResponse(int statusCode, bool rejected);

/// Of a forwarded attempt.
Outcome outcomeOf(CallResult result);

/// Of a vote; the platform's responses are told apart by their status codes alone.
Outcome outcomeOfVote(CallResult result, int statusCode);

}  // namespace lichenlanding::sidecar
