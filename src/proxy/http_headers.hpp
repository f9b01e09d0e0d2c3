/// Reads and rewrites the headers of forwarded requests and responses. No I/O; may be called from any thread.
#pragma once

#include <string_view>

#include "proxy/upstream.hpp"
#include "routing/local_reply.hpp"

namespace lichenlanding::proxy {

/// A header value as std::string_view; valid as long as the header.
inline std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Builds the response for a local reply: status, reason as JSON, and Retry-After if set.
Response makeResponse(const routing::LocalReply& reply);

/// Removes the hop-by-hop headers and those listed in Connection. End-to-end headers that the proxy relies on
/// (Host, Content-Length and others) are kept even if Connection lists them.
void removeHopByHopHeaders(http::fields& fields);

/// Whether another HTTP parser could see a different end or a different id of this request, as in request
/// smuggling. Beast treats an unknown transfer coding as no coding, and would parse the body as the next
/// request.
bool isAmbiguous(const http::fields& fields);

}  // namespace lichenlanding::proxy
