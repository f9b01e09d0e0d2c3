/// Replies that the proxy generates itself, without a host's response: every reason, with its HTTP status and
/// the text that clients see. Pure; thread-safe.
#pragma once

#include "state.hpp"

namespace lichenlanding::routing {

/// Why a request got a local reply. The last three are determined after the attempts, the others before
/// routing.
enum class LocalReplyDetail {
    ambiguousRequest,   ///< 400: the request's end or id is ambiguous (request smuggling)
    unreadableRequest,  ///< 400: not HTTP
    missingAttemptId,   ///< 400: no X-Attempt-Id
    invalidDeadline,    ///< 400: X-Deadline-Ms is not a number
    noRoute,            ///< 404: no route matches its host and path
    requestTimeout,     ///< 408: not read within the limits of the configuration
    bodyTooLarge,       ///< 413: over max_body_bytes
    headerTooLarge,     ///< 431: over max_header_bytes
    overloaded,         ///< 503: the memory for requests in progress is used up
    noConfiguration,    ///< 503: the proxy has not received a configuration yet
    clientGone,  ///< 503: found after a standstill of the process: the client closed the connection; nothing
                 ///< was sent
    noHostAvailable,         ///< 503: not executed, and no host or no retry budget for another attempt
    upstreamConnectionLost,  ///< 502: may have been executed, and the response was lost
    upstreamTimeout,         ///< 504: likewise, and at least one attempt timed out
};

/// A local reply to send. `retryAfter` is in nanoseconds, sent to the client in seconds; 0: not sent.
struct LocalReply {
    LocalReplyDetail detail = LocalReplyDetail::noHostAvailable;
    Nanos retryAfter = 0;

    int status() const;        ///< HTTP status code
    const char* text() const;  ///< the value of "error" in the body
    /// Whether the request may have been executed and its response was lost; otherwise it was not executed.
    bool answerLost() const;
};

}  // namespace lichenlanding::routing
