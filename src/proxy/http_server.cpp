#include "proxy/http_server.hpp"

#include "transport/log.hpp"

namespace lichenlanding::proxy {

using namespace transport;

namespace {

// Pause after a failed accept(), which fails repeatedly while file descriptors are exhausted.
constexpr Nanos kAcceptRetryDelay = 20 * kMillisecond;

}  // namespace

HttpServer::HttpServer(asio::io_context& io, routing::Router& router, UpstreamClient& upstream,
                       std::function<bool()> isStateFresh)
    : context_{io, router, upstream, std::move(isStateFresh),
               [this](std::uint64_t connection) { connections_.erase(connection); }} {}

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
        ErrorCode ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection =
            std::make_shared<ClientConnection>(std::move(socket), context_, ++lastNumber_);
        connections_[connection->number()] = connection;
        spawn(context_.io, "client", ClientConnection::readRequests(connection));
    }
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
