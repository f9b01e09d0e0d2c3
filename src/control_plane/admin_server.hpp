// Serves the admin API over HTTP/1.1 on the control address, with time limits and a maximum number of
// connections.
#pragma once

#include <boost/beast/http/parser.hpp>

#include "control_plane/admin_api.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

/// Limits for each client, far above what an operator's client needs. Times in nanoseconds.
struct AdminServerLimits {
    Nanos idle = 15 * transport::kSecond;      ///< between two requests on a connection
    Nanos header = 3 * transport::kSecond;     ///< from a header's first byte to its last
    Nanos body = 30 * transport::kSecond;      ///< for receiving a body, of at most 96 MiB
    Nanos response = 30 * transport::kSecond;  ///< for sending a response
    std::size_t connections = 128;             ///< open at the same time
};

/// Runs on the event loop's thread.
class AdminServer {
  public:
    /// `api` must outlive this object.
    AdminServer(transport::asio::io_context& io, AdminApi& api, AdminServerLimits limits = {})
        : io_(io), api_(api), limits_(limits), connectionRemoved_(io) {}

    /// Serves while the acceptor is open. Requests of one connection are answered one at a time and in order.
    /// A response is sent only on its request's connection. A request is completed even if its client has
    /// disconnected.
    Task<> serve(transport::tcp::acceptor& acceptor);

    std::uint64_t requests() const { return requests_; }  ///< received so far
    std::size_t connections() const { return connections_.size(); }

  private:
    // In the order in which connections are dropped in favor of new ones when the limit is reached. A
    // connection in `answering` is never dropped.
    enum class Phase { idle, receiving, responding, answering };
    struct Connection {
        transport::beast::tcp_stream stream;
        transport::beast::flat_buffer buffer;
        Phase phase = Phase::idle;
        Nanos since = 0;  // start of the phase
        explicit Connection(transport::tcp::socket socket) : stream(std::move(socket)) {}
        void enterPhase(Phase next) {
            phase = next;
            since = transport::now();
        }
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Task<> run(std::shared_ptr<Connection> connection);
    Task<> serveRequests(Connection& connection);
    Task<bool> awaitRequest(Connection& connection);
    Task<transport::ErrorCode> receive(Connection& connection, Parser& parser);
    Task<bool> respond(Connection& connection, AdminResponse& response, Nanos timeout);
    Task<> rejectAndClose(Connection& connection, AdminResponse& response);
    void remove(const std::shared_ptr<Connection>& connection);
    bool makeRoom();

    transport::asio::io_context& io_;
    AdminApi& api_;
    const AdminServerLimits limits_;
    std::vector<std::shared_ptr<Connection>> connections_;
    transport::AsyncEvent connectionRemoved_;
    std::uint64_t requests_ = 0;
};

}  // namespace lichenlanding::control_plane
