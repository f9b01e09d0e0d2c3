// Serves the admin API over HTTP/1.1 on the control address, with time limits, a maximum number of
// connections and a limit on the memory that requests and responses take.
#pragma once

#include "control_plane/admin_api.hpp"
#include "transport/bounded_parser.hpp"

namespace lichenlanding::control_plane {

/// Limits for each client, far above what an operator's client needs. Times in nanoseconds.
struct AdminServerLimits {
    Nanos idle = 15 * transport::kSecond;      ///< between two requests on a connection
    Nanos header = 3 * transport::kSecond;     ///< from a header's first byte to its last
    Nanos body = 30 * transport::kSecond;      ///< for receiving a body
    Nanos response = 30 * transport::kSecond;  ///< for sending a response
    std::size_t connections = 128;             ///< open at the same time
    std::size_t bodyBytes = 16 << 20;          ///< of one request
    std::size_t receivedBytes = 32 << 20;      ///< of the bodies of all requests in progress
    std::size_t respondedBytes = 64 << 20;     ///< of the bodies of all responses that are being sent
};

/// Runs on the event loop's thread.
class AdminServer {
  public:
    /// `api` must outlive this object.
    AdminServer(transport::asio::io_context& io, AdminApi& api, const AdminServerLimits& limits = {})
        : io_(io),
          api_(api),
          limits_(limits),
          received_(limits.receivedBytes),
          responded_(limits.respondedBytes),
          connectionRemoved_(io) {}

    /// Serves while the acceptor is open. Requests of one connection are answered one at a time and in order.
    /// A response is sent only on its request's connection. A request is completed even if its client has
    /// disconnected.
    Task<> serve(transport::tcp::acceptor& acceptor);

    std::uint64_t requests() const { return requests_; }  ///< received so far
    std::size_t connections() const { return connections_.size(); }
    /// Of the bodies of requests and responses in progress.
    std::size_t bytes() const { return received_.used() + responded_.used(); }

  private:
    // In the order in which connections are dropped in favor of new ones when the limit is reached. A
    // connection in `answering` is never dropped.
    enum class Phase { idle, receiving, responding, answering };
    struct Connection {
        transport::beast::tcp_stream stream;
        transport::beast::flat_buffer buffer;
        Phase phase = Phase::idle;
        Nanos since = 0;  // start of the phase
        explicit Connection(transport::tcp::socket socket);
        void enterPhase(Phase next) {
            phase = next;
            since = transport::now();
        }
    };
    using Parser = transport::BoundedParser<true>;
    /// A request as far as it was received. `rejection` is set if it is to be answered without being handled.
    struct Received {
        AdminRequest request;
        limits::MemoryBudget::Share fieldMemory, bodyMemory;
        std::optional<AdminResponse> rejection;
    };

    Task<> run(std::shared_ptr<Connection> connection);
    Task<> serveRequests(Connection& connection);
    Task<bool> awaitRequest(Connection& connection);
    Task<std::optional<AdminResponse>> answerNext(Connection& connection);
    Task<transport::ErrorCode> receive(Connection& connection, Received& received);
    Task<transport::ErrorCode> receiveHeader(Connection& connection, Parser& parser);
    Task<transport::ErrorCode> receiveBody(Connection& connection, Parser& parser, Received& received);
    Task<bool> respond(Connection& connection, AdminResponse& response, Nanos timeout);
    Task<> rejectAndClose(Connection& connection, AdminResponse& response);
    void remove(const std::shared_ptr<Connection>& connection);
    bool makeRoom();

    transport::asio::io_context& io_;
    AdminApi& api_;
    const AdminServerLimits limits_;
    limits::MemoryBudget received_, responded_;
    std::vector<std::shared_ptr<Connection>> connections_;
    transport::AsyncEvent connectionRemoved_;
    std::uint64_t requests_ = 0;
};

}  // namespace lichenlanding::control_plane
