/// Opens listening sockets, with retries while an address is not available yet.
#pragma once

#include <functional>
#include <string>

#include "transport/event_loop.hpp"

namespace lichenlanding::transport {

/// Listens on `address`. While the address is in use or does not exist, or the machine lacks resources, logs
/// listen_failed and tries again: the previous process may not have ended yet, and an interface may come up
/// late. Throws ParseError, and boost::system::system_error if another attempt cannot succeed.
Task<tcp::acceptor> listenWhenAvailable(asio::io_context& io, std::string address);

/// Accepts connections until the acceptor is closed.
using Serve = std::function<Task<>(tcp::acceptor&)>;

/// Opens `acceptor` with listenWhenAvailable() in the background, then spawns `serve` with `step`. What
/// listenWhenAvailable() throws is thrown by io.run(). `acceptor` must outlive that run.
void serveWhenAvailable(asio::io_context& io, tcp::acceptor& acceptor, std::string address, const char* step,
                        Serve serve);

}  // namespace lichenlanding::transport
