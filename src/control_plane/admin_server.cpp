#include "control_plane/admin_server.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "limits/process_limits.hpp"
#include "transport/body_reader.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kFieldCopies = 2;  // as parsed, and in the request
constexpr std::size_t kReadBytes = 16 << 10;
constexpr Nanos kRejectTimeout = kSecond;
constexpr Nanos kAcceptPause = 20 * kMillisecond;

AdminResponse tooManyRequestsResponse() {
    return retryLaterResponse("memory: too many requests are being received");
}

/// The response to a request that could not be received. Null if the request was truncated or timed out, so
/// that no client is waiting for a response.
std::optional<AdminResponse> rejectionOf(const ErrorCode& code) {
    if (code == http::error::body_limit) return errorResponse(413, code.message());
    if (code == http::error::header_limit) return errorResponse(431, code.message());
    if (code == boost::system::errc::not_enough_memory) return tooManyRequestsResponse();
    const bool malformed = code.category() == http::make_error_code(http::error::bad_method).category() &&
                           code != http::error::end_of_stream && code != http::error::partial_message;
    if (malformed) return errorResponse(400, code.message());
    return std::nullopt;
}

/// Takes memory for a body. Bodies of the size of an order need no share: the number of connections limits
/// them, and an acknowledgement must not wait for readers of large responses.
bool holds(limits::MemoryBudget::Share& memory, std::size_t bytes) {
    return bytes <= limits::kMaxOrderBytes || memory.resize(bytes);
}

}  // namespace

AdminServer::Connection::Connection(tcp::socket socket) : stream(std::move(socket)) {
    limitReadBuffer(buffer, kMaxHeaderBytes);
}

Task<> AdminServer::serve(tcp::acceptor& acceptor) {
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {  // for example, no file descriptor is left
            co_await sleep(kAcceptPause);
            continue;
        }
        while (!makeRoom()) co_await connectionRemoved_.wait(now() + kAcceptPause);
        configureSocket(socket, limits_.response);
        const auto connection = std::make_shared<Connection>(std::move(socket));
        connections_.push_back(connection);
        spawn(io_, "admin_connection", run(connection));
    }
}

void AdminServer::remove(const std::shared_ptr<Connection>& connection) {
    std::erase(connections_, connection);
    connectionRemoved_.notify();
}

/// Drops a connection if the limit is reached: an idle one, else the one that has been sending its request
/// for the longest time, else the one that has been receiving its response for the longest time. Returns
/// false if all are being answered.
bool AdminServer::makeRoom() {
    if (connections_.size() < limits_.connections) return true;
    const auto candidate =
        std::min_element(connections_.begin(), connections_.end(), [](const auto& one, const auto& other) {
            return std::tie(one->phase, one->since) < std::tie(other->phase, other->since);
        });
    if ((*candidate)->phase == Phase::answering) return false;
    log("admin_connection_dropped", {{"step", "accept"}, {"connections", connections_.size()}});
    const auto dropped = *candidate;
    remove(dropped);
    dropped->stream.close();
    return true;
}

Task<> AdminServer::run(std::shared_ptr<Connection> connection) {
    try {
        co_await serveRequests(*connection);
    } catch (const std::exception& error) {
        log("admin_connection_failed", {{"step", "converse"}, {"error", error.what()}});
    }
    remove(connection);
}

Task<> AdminServer::serveRequests(Connection& connection) {
    while (co_await awaitRequest(connection)) {
        auto response = co_await answerNext(connection);
        if (!response) co_return;
        limits::MemoryBudget::Share memory(responded_);
        if (!holds(memory, response->body().size())) {
            const bool keepAlive = response->keep_alive();
            response = retryLaterResponse("memory: too many responses are being sent");
            response->keep_alive(keepAlive);
        }
        const bool keepOpen = co_await respond(connection, *response, limits_.response);
        if (!keepOpen) co_return;
    }
}

/// Receives a request and returns its response. Null if the connection has ended, or was ended after a
/// request that could not be received.
Task<std::optional<AdminResponse>> AdminServer::answerNext(Connection& connection) {
    Received received;
    received.bodyMemory = limits::MemoryBudget::Share(received_);
    const auto code = co_await receive(connection, received);
    if (code && !received.rejection) received.rejection = rejectionOf(code);
    if (received.rejection) {
        received.request.body() = std::string();
        received.bodyMemory.release();
        co_await rejectAndClose(connection, *received.rejection);
    }
    if (code || received.rejection) co_return std::nullopt;
    ++requests_;
    connection.enterPhase(Phase::answering);
    auto response = co_await api_.answer(received.request);
    response.keep_alive(received.request.keep_alive());
    co_return std::make_optional(std::move(response));
}

/// Waits for the first bytes of the next request. Returns false if none arrive in time.
Task<bool> AdminServer::awaitRequest(Connection& connection) {
    connection.enterPhase(Phase::idle);
    if (connection.buffer.size() > 0) co_return true;
    connection.stream.expires_after(toDuration(limits_.idle));
    ErrorCode code;
    const auto bytes = co_await connection.stream.async_read_some(connection.buffer.prepare(kReadBytes),
                                                                  withErrorCode(code));
    if (code) co_return false;
    connection.buffer.commit(bytes);
    co_return true;
}

Task<ErrorCode> AdminServer::receive(Connection& connection, Received& received) {
    const FieldLimits fieldLimits{kMaxHeaderBytes, kMaxHeaderBytes, kFieldCopies};
    Parser parser(fieldLimits, limits::MemoryBudget::Share(received_));
    auto code = co_await receiveHeader(connection, parser);
    if (!code) {
        received.fieldMemory = parser.takeMemory();
        received.request = AdminRequest(http::request_header<>(parser.get().base()));
        code = co_await receiveBody(connection, parser, received);
    }
    co_return code;
}

Task<ErrorCode> AdminServer::receiveHeader(Connection& connection, Parser& parser) {
    auto& stream = connection.stream;
    connection.enterPhase(Phase::receiving);
    parser.body_limit(limits_.bodyBytes);
    ErrorCode code;
    stream.expires_after(toDuration(limits_.header));
    co_await http::async_read_header(stream, connection.buffer, parser, withErrorCode(code));
    if (code || parser.is_done()) co_return code;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(stream, proceed, withErrorCode(code));
    }
    co_return code;
}

/// Takes memory for the body as it arrives, not as it is announced.
Task<ErrorCode> AdminServer::receiveBody(Connection& connection, Parser& parser, Received& received) {
    auto& body = received.request.body();
    connection.stream.expires_after(toDuration(limits_.body));
    ErrorCode code;
    while (!code && !parser.is_done()) {
        code = co_await readBodyBlock(connection.stream, connection.buffer, parser, body);
        if (code || holds(received.bodyMemory, body.capacity())) continue;
        log("admin_request_refused", {{"step", "receive"}, {"bytes", received_.used()}});
        received.rejection = tooManyRequestsResponse();
        co_return code;
    }
    co_return code;
}

/// Returns whether the connection stays open.
Task<bool> AdminServer::respond(Connection& connection, AdminResponse& response, Nanos timeout) {
    response.prepare_payload();
    connection.enterPhase(Phase::responding);
    connection.stream.expires_after(toDuration(timeout));
    ErrorCode code;
    co_await http::async_write(connection.stream, response, withErrorCode(code));
    co_return !code && response.keep_alive();
}

// Reads and discards further input for a short time. Closing a socket with unread bytes sends a reset, which
// can make the client lose the response.
Task<> AdminServer::rejectAndClose(Connection& connection, AdminResponse& response) {
    response.keep_alive(false);
    co_await respond(connection, response, kRejectTimeout);
    ErrorCode code;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, code);
    std::array<char, kReadBytes> rest;
    while (!code) co_await connection.stream.async_read_some(asio::buffer(rest), withErrorCode(code));
}

}  // namespace lichenlanding::control_plane
