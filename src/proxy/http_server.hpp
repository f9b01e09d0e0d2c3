/// Accepts client connections, enforces their timeouts and drains them on shutdown.
#pragma once

#include <map>

#include "proxy/client_connection.hpp"

namespace lichenlanding::proxy {

/// Each connection reads ahead and answers in order (ClientConnection); each request passes through routing
/// to the hosts (RequestHandler). The number of connections is limited, so that the process stays within the
/// memory and the descriptors of its machine: at the limit, the connection that has been idle longest is
/// closed for a new one; if none is idle, the new one waits. Must outlive its coroutines. Used from one
/// thread: the event loop of `io`.
class HttpServer {
  public:
    /// `buffers` must outlive this object. `isStateFresh`: see HttpServerContext.
    HttpServer(transport::asio::io_context& io, routing::Router& router, UpstreamClient& upstream,
               limits::MemoryBudget& buffers, const limits::MachineLimits& machine,
               std::function<bool()> isStateFresh);
    ~HttpServer();

    /// Accepts connections until the acceptor is closed.
    transport::Task<> serve(transport::tcp::acceptor& acceptor);
    /// Starts draining: requests that were read are answered, and a connection is closed after the response
    /// that no further request waits behind.
    void drain();
    /// While draining: closes idle connections. On the others, the next request is the last one; otherwise a
    /// client that always pipelines would be served until the end of the shutdown grace.
    void closeIdle();
    /// Ends reads and connections that have exceeded their timeouts; `now` is steady time. To be called
    /// periodically.
    void enforceTimeouts(Nanos now);

    std::size_t openConnections() const { return connections_.size(); }
    const HttpServerStats& stats() const { return context_.stats; }

  private:
    std::size_t maxConnections() const;
    transport::Task<> makeRoom();
    void closeLongestIdle();

    HttpServerContext context_;
    transport::AsyncEvent connectionClosed_;
    std::map<std::uint64_t, std::shared_ptr<ClientConnection>>
        connections_;  // by number, in order of arrival
    std::uint64_t lastNumber_ = 0;
};

}  // namespace lichenlanding::proxy
