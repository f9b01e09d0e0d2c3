/// Replies that the proxy makes itself, without a host's answer: every reason there is, by name, with its
/// status and the text that clients see. Pure; any thread.
#pragma once

#include "state.hpp"

namespace lichenlanding::routing {

/// Why a request got a local reply. The first part is known before routing, the last three after the
/// attempts.
enum class LocalReplyDetail {
    ambiguousRequest,        ///< 400: two readers could see the request's end or id differently
    unreadableRequest,       ///< 400: not HTTP
    missingAttemptId,        ///< 400: no X-Attempt-Id
    invalidDeadline,         ///< 400: X-Deadline-Ms is no number
    noRoute,                 ///< 404: no route takes its host and path
    requestTimeout,          ///< 408: not read within the limits of the configuration
    bodyTooLarge,            ///< 413: over max_body_bytes
    headerTooLarge,          ///< 431: over max_header_bytes
    noConfiguration,         ///< 503: the proxy has not received a configuration yet
    clientGone,              ///< 503: after a standstill, the client has closed its side; nothing was sent
    noHostAvailable,         ///< 503: not executed, and no host or no retry budget for an attempt
    upstreamConnectionLost,  ///< 502: may have been executed, and its answer was lost
    upstreamTimeout,         ///< 504: likewise, and at least one attempt ran into the deadline
};

/// A local reply to be sent. `retryAfter` in nanoseconds, told to the client in seconds; 0: not told.
struct LocalReply {
    LocalReplyDetail detail = LocalReplyDetail::noHostAvailable;
    Nanos retryAfter = 0;

    int status() const;        ///< of HTTP
    const char* text() const;  ///< the value of "error" in the body
    /// Whether the request may have been executed and was not answered; else it was rejected unexecuted.
    bool answerLost() const;
};

}  // namespace lichenlanding::routing
