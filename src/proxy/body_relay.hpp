/// Bodies that are too large to hold (kHoldAtMost) pass through in blocks. One thread, the server's loop.
#pragma once

#include <memory>

#include "proxy/client_connection.hpp"

namespace lichenlanding::proxy {

constexpr Nanos kRequestBodyWithin = 30 * transport::kSecond;  ///< a request's body, or its next block

/// Reads what comes next of a request's body and appends it to `body`. Returns the error of the connection.
transport::Task<transport::ErrorCode> readBodyBlock(ClientConnection& connection, RequestParser& parser,
                                                    std::string& body);

/// The body of `request`, from the client to a host: the part that is held, then the rest as it comes.
/// Returns the first error of either connection.
transport::Task<transport::ErrorCode> relayRequestBody(std::shared_ptr<ClientConnection> connection,
                                                       std::shared_ptr<RequestContext> request,
                                                       transport::tcp::socket& host);

/// The response of `request`, from the host to the client. False where either connection has ended: then the
/// client's is to end too, so that what was cut short does not look whole.
transport::Task<bool> relayResponseBody(std::shared_ptr<ClientConnection> connection,
                                        std::shared_ptr<RequestContext> request);

}  // namespace lichenlanding::proxy
