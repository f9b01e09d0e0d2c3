// Results of calls on a connection, and the outcomes that they map to in the policy.
#pragma once

#include "policy/types.hpp"

namespace lichenlanding::sidecar {

/// How a call ended.
enum class CallResult {
    succeeded,          ///< status 200 and a complete body
    errorResponse,      ///< any other complete response: the request may have been executed
    rejected,           ///< 503 or 504 with the header that states that the request was not executed
    noDescriptor,       ///< no file descriptor was available for a connection
    connectionRefused,  ///< the remote side refused the connection
    connectTimeout,     ///< the connection was not established within the connect timeout
    resetBeforeSent,    ///< the connection broke before the request's last byte was written
    resetAfterSent,     ///< the connection broke or closed after that, without a complete response
    malformedResponse,  ///< the response cannot be parsed
    timedOut,           ///< no complete response was received within the timeout
    cancelled,          ///< cancelled by this side
    count
};

/// The name of a result in the log, as documented in docs/operate/sidecar-log-events.md.
const char* nameOf(CallResult result);

/// The result of a complete response. `rejected`: it has the header that states that the request was not
/// executed.
CallResult resultOfResponse(int statusCode, bool rejected);

/// The outcome of a forwarded attempt.
Outcome outcomeOf(CallResult result);

/// The outcome of a vote sent to the platform, whose responses differ only in their status codes.
Outcome outcomeOfVote(CallResult result, int statusCode);

}  // namespace lichenlanding::sidecar
