/// The readiness endpoint for health checks: 200 while this proxy is ready, otherwise 503.
#pragma once

#include "transport/event_loop.hpp"

namespace lichenlanding::proxy {

/// Serves health checks until the acceptor is closed; `io` and `acceptor` must outlive it. A connection that
/// sends no complete request within `timeout` is closed; so is the oldest one when there are too many.
transport::Task<> serveReadiness(transport::asio::io_context& io, transport::tcp::acceptor& acceptor,
                                 std::function<bool()> ready, Nanos timeout = 10 * transport::kSecond);

}  // namespace lichenlanding::proxy
