#include "control_plane/admin_server.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 96 << 20;
constexpr std::uint32_t kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kReadBytes = 16 << 10;
constexpr Nanos kRejectTimeout = kSecond;
constexpr Nanos kAcceptPause = 20 * kMillisecond;

/// The response to a request that could not be received; null where nobody is there to take one: it was cut,
/// or took too long.
std::optional<AdminResponse> rejectionOf(const ErrorCode& code) {
    if (code == http::error::body_limit) return errorResponse(413, code.message());
    if (code == http::error::header_limit) return errorResponse(431, code.message());
    const bool malformed = code.category() == http::make_error_code(http::error::bad_method).category() &&
                           code != http::error::end_of_stream && code != http::error::partial_message;
    if (malformed) return errorResponse(400, code.message());
    return std::nullopt;
}

}  // namespace

Task<> AdminServer::serve(tcp::acceptor& acceptor) {
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {  // no descriptor left, say
            co_await sleep(kAcceptPause);
            continue;
        }
        while (!makeRoom()) co_await placeFree_.wait(now() + kAcceptPause);
        configureSocket(socket, limits_.response);
        const auto connection = std::make_shared<Connection>(std::move(socket));
        connections_.push_back(connection);
        spawn(io_, "admin_connection", run(connection));
    }
}

void AdminServer::remove(const std::shared_ptr<Connection>& connection) {
    std::erase(connections_, connection);
    placeFree_.notify();
}

/// Idle connections give way first, then those that take longest to send, then those that take longest to
/// receive. False where all are being answered.
bool AdminServer::makeRoom() {
    if (connections_.size() < limits_.connections) return true;
    const auto at =
        std::min_element(connections_.begin(), connections_.end(), [](const auto& one, const auto& other) {
            return std::tie(one->phase, one->since) < std::tie(other->phase, other->since);
        });
    if ((*at)->phase == Phase::answering) return false;
    log("admin_connection_dropped", {{"step", "accept"}, {"connections", connections_.size()}});
    const auto dropped = *at;
    remove(dropped);
    dropped->stream.close();
    return true;
}

Task<> AdminServer::run(std::shared_ptr<Connection> connection) {
    try {
        co_await converse(*connection);
    } catch (const std::exception& error) {
        log("admin_connection_failed", {{"step", "converse"}, {"error", error.what()}});
    }
    remove(connection);
}

Task<> AdminServer::converse(Connection& connection) {
    while (co_await awaitRequest(connection)) {
        Parser parser;
        const auto code = co_await receive(connection, parser);
        if (code) {
            auto rejection = rejectionOf(code);
            if (rejection) co_await rejectAndClose(connection, *rejection);
            co_return;
        }
        const auto request = parser.release();
        ++requests_;
        connection.enter(Phase::answering);
        auto response = co_await api_.answer(request);
        response.keep_alive(request.keep_alive());
        const bool goesOn = co_await respond(connection, response, limits_.response);
        if (!goesOn) co_return;
    }
}

/// Waits for the first bytes of the next request; false where none come.
Task<bool> AdminServer::awaitRequest(Connection& connection) {
    connection.enter(Phase::idle);
    if (connection.buffer.size() > 0) co_return true;
    connection.stream.expires_after(toDuration(limits_.idle));
    ErrorCode code;
    const auto bytes = co_await connection.stream.async_read_some(connection.buffer.prepare(kReadBytes),
                                                                  withErrorCode(code));
    if (code) co_return false;
    connection.buffer.commit(bytes);
    co_return true;
}

Task<ErrorCode> AdminServer::receive(Connection& connection, Parser& parser) {
    auto& stream = connection.stream;
    auto& buffer = connection.buffer;
    connection.enter(Phase::receiving);
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeaderBytes);
    ErrorCode code;
    stream.expires_after(toDuration(limits_.header));
    co_await http::async_read_header(stream, buffer, parser, withErrorCode(code));
    if (code || parser.is_done()) co_return code;
    stream.expires_after(toDuration(limits_.body));
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(stream, proceed, withErrorCode(code));
    }
    if (!code) co_await http::async_read(stream, buffer, parser, withErrorCode(code));
    co_return code;
}

/// Whether the connection goes on.
Task<bool> AdminServer::respond(Connection& connection, AdminResponse& response, Nanos timeout) {
    response.prepare_payload();
    connection.enter(Phase::responding);
    connection.stream.expires_after(toDuration(timeout));
    ErrorCode code;
    co_await http::async_write(connection.stream, response, withErrorCode(code));
    co_return !code && response.keep_alive();
}

// What still comes is read for a moment: a close over unread bytes is a reset, which can take the response
// away from the caller.
Task<> AdminServer::rejectAndClose(Connection& connection, AdminResponse& response) {
    response.keep_alive(false);
    co_await respond(connection, response, kRejectTimeout);
    ErrorCode code;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, code);
    std::array<char, kReadBytes> rest;
    while (!code) co_await connection.stream.async_read_some(asio::buffer(rest), withErrorCode(code));
}

}  // namespace lichenlanding::control_plane
