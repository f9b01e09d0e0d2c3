/// Streaming of bodies that are not buffered whole between client and host, block by block. Used from one
/// thread: the server's event loop.
#pragma once

#include <memory>

#include "proxy/client_connection.hpp"

namespace lichenlanding::proxy {

/// Time limit for a whole buffered request body, or for the next block of a streamed one.
constexpr Nanos kRequestBodyTimeout = 30 * transport::kSecond;

/// Streams the body of `request` from the client to a host: first the buffered part, then the rest as it
/// arrives. Returns the first error of either connection.
transport::Task<transport::ErrorCode> relayRequestBody(std::shared_ptr<ClientConnection> connection,
                                                       std::shared_ptr<RequestContext> request,
                                                       transport::tcp::socket& host);

/// Streams the response of `request` from the host to the client. Returns false if either connection failed;
/// the caller must then close the client's connection, so that a truncated response does not look complete.
transport::Task<bool> relayResponseBody(std::shared_ptr<ClientConnection> connection,
                                        std::shared_ptr<RequestContext> request);

}  // namespace lichenlanding::proxy
