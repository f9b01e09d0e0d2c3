// A proxy's clients: connections, requests read ahead and answered in order, and each request's way through
// routing and the pods.
#pragma once

#include "proxy/upstream.hpp"

namespace lichenlanding::proxy {

class HttpServer {
  public:
    // `awake`: false for a moment after a standstill of the machine, until news has come.
    HttpServer(asio::io_context& io, routing::Router& router, UpstreamClient& upstream,
               std::function<bool()> awake);
    ~HttpServer();

    transport::Task<> serve(transport::tcp::acceptor& acceptor);
    // What is read is answered; a connection ends with the answer behind which none waits.
    void drain();
    // Ends connections on which nothing is asked. While draining, the next request on any other is its last:
    // a client that always sends ahead would be read from until the end.
    void closeIdle();
    std::size_t open() const { return sessions_.size(); }
    // Ends what takes longer than it may: called every so often.
    void sweep(Nanos now);

    std::uint64_t served = 0, refused = 0, failed = 0;
    std::uint64_t outOfOrder = 0;  // ends that the table of attempts doesn't have: faults of ours

  private:
    struct ClientConnection;
    struct RequestContext;
    transport::Task<> read(std::shared_ptr<ClientConnection> session);
    transport::Task<> write(std::shared_ptr<ClientConnection> session);
    transport::Task<> play(std::shared_ptr<ClientConnection> session,
                           std::shared_ptr<RequestContext> exchange);
    transport::Task<> send(std::shared_ptr<ClientConnection> session,
                           std::shared_ptr<RequestContext> exchange, std::shared_ptr<UpstreamRequest> call);
    transport::Task<> settle(std::shared_ptr<RequestContext> exchange);
    transport::Task<transport::ErrorCode> readBlock(std::shared_ptr<ClientConnection> session,
                                                    http::request_parser<http::buffer_body>& parser,
                                                    std::string& body);
    transport::Task<transport::ErrorCode> upload(std::shared_ptr<ClientConnection> session,
                                                 std::shared_ptr<RequestContext> exchange,
                                                 transport::tcp::socket& pod);
    transport::Task<bool> passOn(std::shared_ptr<ClientConnection> session,
                                 std::shared_ptr<RequestContext> exchange);
    void ready(const std::shared_ptr<ClientConnection>& session,
               const std::shared_ptr<RequestContext>& exchange);

    asio::io_context& io_;
    routing::Router& router_;
    UpstreamClient& upstream_;
    std::function<bool()> awake_;
    std::map<std::uint64_t, std::shared_ptr<ClientConnection>> sessions_;  // by the order of arrival
    std::uint64_t arrivals_ = 0;
    bool draining_ = false, ending_ = false;
};

}  // namespace lichenlanding::proxy
