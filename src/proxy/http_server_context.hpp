/// What the connections and the requests of one HTTP server share.
#pragma once

#include <cstdint>
#include <functional>

#include "proxy/upstream.hpp"

namespace lichenlanding::proxy {

/// Counted since the start.
struct HttpServerStats {
    std::uint64_t served = 0;        ///< a host's answer was passed on
    std::uint64_t rejected = 0;      ///< a local reply, and the request was not executed
    std::uint64_t failed = 0;        ///< a local reply, and the request may have been executed
    std::uint64_t disconnected = 0;  ///< clients that left while requests of theirs were unanswered
    /// Ends of attempts that the table of attempts does not have: faults of the proxy, 0 in a right program.
    std::uint64_t invalidTransitions = 0;
};

/// Outlives every coroutine of the server. One thread, the loop of `io`.
struct HttpServerContext {
    transport::asio::io_context& io;
    routing::Router& router;
    UpstreamClient& upstream;
    /// False for a moment after a standstill of the machine, until a control node has been heard.
    std::function<bool()> awake;
    /// Called once by a connection, by its number, when it has ended.
    std::function<void(std::uint64_t connection)> onConnectionClosed;
    bool draining = false;     ///< a response behind which no request waits ends its connection
    bool closingIdle = false;  ///< while draining: so does the response to the next request
    HttpServerStats stats{};
};

}  // namespace lichenlanding::proxy
