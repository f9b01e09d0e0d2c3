// Carries the admin API over HTTP/1.1 on the control address, within bounds of time and of places.
#pragma once

#include <boost/beast/http/parser.hpp>

#include "control_plane/admin_api.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

/// What a caller may take. Each is far beyond what an operator's client needs. Times in nanoseconds.
struct AdminServerLimits {
    Nanos idle = 15 * transport::kSecond;      ///< between two requests on a connection
    Nanos header = 3 * transport::kSecond;     ///< from a header's first byte to its last
    Nanos body = 30 * transport::kSecond;      ///< for a body, of 96 MiB at the most
    Nanos response = 30 * transport::kSecond;  ///< for a response to be taken
    std::size_t connections = 128;             ///< at once
};

/// Runs on the event loop's thread.
class AdminServer {
  public:
    /// `api` outlives this object.
    AdminServer(transport::asio::io_context& io, AdminApi& api, AdminServerLimits limits = {})
        : io_(io), api_(api), limits_(limits), placeFree_(io) {}

    /// Serves as long as the acceptor is open. On one connection requests are answered one after the other,
    /// in the order they came; a response goes down the connection that its request came by or nowhere. A
    /// request goes on when its caller is gone.
    Task<> serve(transport::tcp::acceptor& acceptor);

    std::uint64_t requests() const { return requests_; }  ///< taken so far
    std::size_t connections() const { return connections_.size(); }

  private:
    // In the order in which connections give way to new ones where all places are taken; one that is being
    // answered never does.
    enum class Phase { idle, receiving, responding, answering };
    struct Connection {
        transport::beast::tcp_stream stream;
        transport::beast::flat_buffer buffer;
        Phase phase = Phase::idle;
        Nanos since = 0;  // in the phase
        explicit Connection(transport::tcp::socket socket) : stream(std::move(socket)) {}
        void enter(Phase next) {
            phase = next;
            since = transport::now();
        }
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Task<> run(std::shared_ptr<Connection> connection);
    Task<> converse(Connection& connection);
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
    transport::AsyncEvent placeFree_;
    std::uint64_t requests_ = 0;
};

}  // namespace lichenlanding::control_plane
