#include "proxy/http_server.hpp"

#include "transport/log.hpp"

namespace lichenlanding::proxy {

using namespace transport;

namespace {

// Pause after a failed accept(), which fails repeatedly while file descriptors are exhausted.
constexpr Nanos kAcceptRetryDelay = 20 * kMillisecond;
// How often a new connection that waits for room looks for one that has become idle.
constexpr Nanos kRoomCheckInterval = 20 * kMillisecond;

}  // namespace

HttpServer::HttpServer(asio::io_context& io, routing::Router& router, UpstreamClient& upstream,
                       limits::MemoryBudget& buffers, const limits::MachineLimits& machine,
                       std::function<bool()> isStateFresh)
    : context_{io,
               router,
               upstream,
               buffers,
               machine,
               std::move(isStateFresh),
               [this](std::uint64_t connection) {
                   connections_.erase(connection);
                   connectionClosed_.notify();
               }},
      connectionClosed_(io) {}

HttpServer::~HttpServer() = default;

Task<> HttpServer::serve(tcp::acceptor& acceptor) {
    while (acceptor.is_open()) {
        ErrorCode error;
        auto socket = co_await acceptor.async_accept(withErrorCode(error));
        if (error == asio::error::operation_aborted) co_return;
        if (error) {
            log("accept_failed", {{"step", "accept"}, {"error", error.message()}});
            co_await sleep(kAcceptRetryDelay);
            continue;
        }
        co_await makeRoom();
        ErrorCode ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection =
            std::make_shared<ClientConnection>(std::move(socket), context_, ++lastNumber_);
        connections_[connection->number()] = connection;
        spawn(context_.io, "client", ClientConnection::readRequests(connection),
              [connection] { connection->finish(); });
    }
}

std::size_t HttpServer::maxConnections() const {
    return limits::maxClientConnections(context_.machine, headerLimit(clientLimits(context_.router)));
}

// Returns when one more connection may be open.
Task<> HttpServer::makeRoom() {
    while (connections_.size() >= maxConnections()) {
        log("client_connections_limited", {{"step", "accept"}, {"connections", connections_.size()}});
        closeLongestIdle();
        co_await connectionClosed_.wait(now() + kRoomCheckInterval);
    }
}

// Its client may send a request at this moment, and treats it as unread when the connection closes.
void HttpServer::closeLongestIdle() {
    ClientConnection* longest = nullptr;
    for (const auto& [_, connection] : connections_) {
        if (!connection->isIdle()) continue;
        if (longest && connection->idleSince() >= longest->idleSince()) continue;
        if (!connection->hasUnreadBytes()) longest = connection.get();
    }
    if (longest) longest->cancelRead();
}

void HttpServer::drain() { context_.draining = true; }

void HttpServer::closeIdle() {
    context_.closingIdle = true;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    for (const auto& [_, connection] : connections_)
        if (connection->isIdle() && !connection->hasUnreadBytes()) idle.push_back(connection);
    // Reads are cancelled instead of closing the connection, so that a request that was received but not yet
    // processed is still served.
    for (const auto& connection : idle) connection->cancelRead();
}

void HttpServer::enforceTimeouts(Nanos now) {
    const auto& configuration = context_.router.configuration();
    const Nanos idleTimeout = configuration ? configuration->clientLimits.idleTimeout : 0;
    std::vector<std::shared_ptr<ClientConnection>> stalled;
    std::vector<std::shared_ptr<ClientConnection>> overdue;
    for (const auto& [_, connection] : connections_) {
        if (connection->isStalled(now)) stalled.push_back(connection);
        else if (connection->isIdleTooLong(now, idleTimeout) || connection->isReadOverdue(now))
            overdue.push_back(connection);
    }
    for (const auto& connection : stalled) connection->close();
    for (const auto& connection : overdue) connection->timeOutRead();
}

}  // namespace lichenlanding::proxy
