/// State shared by the connections and requests of one HTTP server.
#pragma once

#include <cstdint>
#include <functional>

#include "proxy/upstream.hpp"

namespace lichenlanding::proxy {

/// Counters since the start of the process.
struct HttpServerStats {
    std::uint64_t served = 0;        ///< responses of hosts that were passed on
    std::uint64_t rejected = 0;      ///< local replies to requests that were not executed
    std::uint64_t failed = 0;        ///< local replies to requests that may have been executed
    std::uint64_t disconnected = 0;  ///< clients that disconnected with unanswered requests
    /// Attempt ends that are no valid transition of the attempt's state machine. Each one is a bug in the
    /// proxy; expected to be 0.
    std::uint64_t invalidTransitions = 0;
};

/// Must outlive every coroutine of the server. Used from one thread: the event loop of `io`.
struct HttpServerContext {
    transport::asio::io_context& io;
    routing::Router& router;
    UpstreamClient& upstream;
    limits::MemoryBudget& buffers;  ///< for requests and responses in progress
    const limits::MachineLimits machine;
    /// False for a moment after a standstill of the process, when routing state may be out of date until a
    /// control node's update arrives.
    std::function<bool()> isStateFresh;
    /// Called once with its number when a connection has ended.
    std::function<void(std::uint64_t connection)> onConnectionClosed;
    bool draining = false;     ///< a connection ends with the response that no further request waits behind
    bool closingIdle = false;  ///< while draining: also with the response to its next request
    HttpServerStats stats{};
};

}  // namespace lichenlanding::proxy
