// The readiness address: 200 while this foyer is ready, else 503.
#pragma once

#include "transport/event_loop.hpp"

namespace lichenlanding::foyer {

// Answers who asks, until the acceptor is closed; both outlive it. Who asks nothing `within` is left.
wings::Task<> serveProbes(wings::asio::io_context& io, wings::tcp::acceptor& acceptor,
                          std::function<bool()> ready, Nanos within = 10 * wings::second);

}  // namespace lichenlanding::foyer
