/// The readiness address: 200 while this proxy is ready, else 503.
#pragma once

#include "transport/event_loop.hpp"

namespace lichenlanding::proxy {

/// Answers who asks, until the acceptor is closed; both outlive it. Who asks nothing `within` is left.
transport::Task<> serveReadiness(transport::asio::io_context& io, transport::tcp::acceptor& acceptor,
                                 std::function<bool()> ready, Nanos within = 10 * transport::kSecond);

}  // namespace lichenlanding::proxy
