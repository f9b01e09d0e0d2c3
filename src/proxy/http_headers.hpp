/// What the proxy reads from headers and changes in them, on the way in and on the way out. Pure; any thread.
#pragma once

#include <string_view>

#include "proxy/upstream.hpp"
#include "routing/local_reply.hpp"

namespace lichenlanding::proxy {

/// A header's value as a standard view, valid as long as the header is.
inline std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// The response for a local reply: its status, the reason as JSON, and Retry-After if there is one.
Response makeResponse(const routing::LocalReply& reply);

/// Removes the headers that concern one connection alone, and those that Connection names; what goes from end
/// to end stays whatever Connection names.
void removeHopByHopHeaders(http::fields& fields);

/// UNASKED: whether another reader could see the end or the id of this request elsewhere than the proxy does.
/// Beast takes a transfer coding that it does not know for none, and what follows for the next request.
bool isAmbiguous(const http::fields& fields);

}  // namespace lichenlanding::proxy
