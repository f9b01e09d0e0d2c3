/// A proxy's clients: it accepts their connections, holds their timeouts and drains them.
#pragma once

#include <map>

#include "proxy/client_connection.hpp"

namespace lichenlanding::proxy {

/// Reads ahead and answers in order on each connection (ClientConnection), each request through routing and
/// the hosts (RequestHandler). Outlives its coroutines. One thread, the loop of `io`.
class HttpServer {
  public:
    /// `awake`: false for a moment after a standstill of the machine, until a control node has been heard.
    HttpServer(transport::asio::io_context& io, routing::Router& router, UpstreamClient& upstream,
               std::function<bool()> awake);
    ~HttpServer();

    /// Accepts connections until the acceptor is closed.
    transport::Task<> serve(transport::tcp::acceptor& acceptor);
    /// What has been read is answered; a connection ends with the response behind which no request waits.
    void drain();
    /// While draining: ends connections on which nothing is asked. On any other the next request is the last:
    /// a client that always sends ahead would be read from until the end.
    void closeIdle();
    /// Ends what takes longer than it may; `now` is steady time. To be called every so often.
    void enforceTimeouts(Nanos now);

    std::size_t openConnections() const { return connections_.size(); }
    const HttpServerStats& stats() const { return context_.stats; }

  private:
    HttpServerContext context_;
    std::map<std::uint64_t, std::shared_ptr<ClientConnection>>
        connections_;  // by number, in order of arrival
    std::uint64_t lastNumber_ = 0;
};

}  // namespace lichenlanding::proxy
