#include "proxy/upstream.hpp"

#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "text.hpp"
#include "transport/body_reader.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;
using routing::ResponseHead, routing::AttemptEvent;

// Effectively unlimited: bodies above kMaxBufferedBody are streamed.
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{1} << 40;
constexpr int kMaxMismatchedResponses = 2;  // skipped while looking for the matching one
constexpr int kMaxInterimResponses = 16;    // before a final one
constexpr std::size_t kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kFieldCopies = 2;  // as parsed, and in the response
// Connections with less are kept with their read buffer.
constexpr std::size_t kMaxIdleBufferBytes = 4096;
// The least time for which a host may acknowledge no byte before its connection is closed.
constexpr Nanos kMinUnacknowledgedTimeout = 3 * kSecond;

// Whether a connection is open and has no input. An idle connection with input carries bytes that belong to
// no request.
bool isOpenAndSilent(tcp::socket& socket) {
    char byte;
    const auto read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The Keep-Alive timeout that a host has sent; 0: none.
Nanos keepAliveTimeout(const Response& response) {
    const auto header = response.find(http::field::keep_alive);
    if (header == response.end()) return 0;
    const std::string_view text(header->value().data(), header->value().size());
    const auto at = text.find("timeout=");
    int seconds = 0;
    if (at == std::string_view::npos) return 0;
    auto number = text.substr(at + 8);
    number = number.substr(0, number.find_first_not_of("0123456789"));
    return parse(number, seconds) ? seconds * kSecond : 0;
}

// Whether the end of the body is well defined: by a length, by chunked coding, or because there is no body.
// Other transfer codings are not decoded here.
bool delimited(const Response& response) {
    const auto status = response.result_int();
    const auto codings = response.equal_range(http::field::transfer_encoding);
    if (codings.first != codings.second)
        return response.count(http::field::transfer_encoding) == 1 &&
               boost::beast::iequals(codings.first->value(), "chunked");
    return response.has_content_length() || status == 204 || status == 304;
}

ResponseHead responseHeadOf(const Response& response, boost::beast::string_view id) {
    ResponseHead head;
    const auto responseId = response["X-Attempt-Id"];
    head.status = static_cast<int>(response.result_int());
    // Two ids: a second response started within the head of the first.
    head.id = response.count("X-Attempt-Id") > 1 ? ResponseHead::Id::other
              : responseId.empty()               ? ResponseHead::Id::none
              : responseId == id                 ? ResponseHead::Id::own
                                                 : ResponseHead::Id::other;
    head.notExecuted = response.count("X-Not-Executed") > 0;
    head.sealed = response.count("X-Response-Seal") > 0;
    head.encoded = response.count(http::field::content_encoding) > 0;
    head.delimited = delimited(response);
    return head;
}

// Whether the bytes are not valid HTTP. An ended connection does not count.
bool isUnreadable(const ErrorCode& error) {
    return error.category() == make_error_code(http::error::end_of_stream).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

bool mayBufferMore(const std::string& body, limits::MemoryBudget::Share& memory) {
    if (body.size() >= kMaxBufferedBody) return false;
    if (body.size() < limits::kUnsharedBodyBytes) return true;
    // Strings grow by doubling.
    const auto needed =
        body.capacity() - body.size() < kBodyBlockBytes ? 2 * body.capacity() : body.capacity();
    return memory.resize(needed);
}

void UpstreamRequest::abort() {
    if (!attempt->inFlight()) return;
    aborted = true;
    ErrorCode ignored;
    if (connection) connection->socket.close(ignored);
}

void UpstreamRequest::cancel() {
    if (!attempt->inFlight() || aborted) return;
    abortEvent = AttemptEvent::cancelled;
    end = AttemptEvent::cancelled;
    abort();
}

UpstreamConnection::UpstreamConnection(asio::io_context& io, std::shared_ptr<routing::UpstreamHost> to)
    : socket(io), host(std::move(to)) {
    ++host->connections;
    limitReadBuffer(buffer, kMaxHeaderBytes);
}

// ---- The pool of idle connections. ----

std::shared_ptr<UpstreamConnection> UpstreamClient::takeIdle(const routing::UpstreamHost& host,
                                                             bool nonIdempotent) {
    const auto at = pools_.find(host.endpoint.id);
    if (at == pools_.end()) return nullptr;
    auto& idle = at->second.idle;
    while (!idle.empty()) {
        auto connection = idle.back();
        const Nanos age = now() - connection->idleSince;
        // All connections before it have been idle for longer.
        if (nonIdempotent && !routing::safeToReuse(age, connection->idleLimit)) return nullptr;
        idle.pop_back();
        if (age < connection->idleLimit && isOpenAndSilent(connection->socket)) return connection;
    }
    return nullptr;
}

void UpstreamClient::putIdle(std::shared_ptr<UpstreamConnection> connection) {
    connection->idleSince = now();
    if (connection->buffer.capacity() > kMaxIdleBufferBytes) connection->buffer.shrink_to_fit();
    auto& pool = pools_[connection->host->endpoint.id];
    pool.host = connection->host;
    pool.idle.push_back(std::move(connection));
}

void UpstreamClient::closeExpired(Nanos now) {
    for (auto at = pools_.begin(); at != pools_.end();) {
        auto& [host, idle] = at->second;
        while (!idle.empty() && (host->gone || now - idle.front()->idleSince > idle.front()->idleLimit))
            idle.pop_front();
        at = idle.empty() ? pools_.erase(at) : std::next(at);
    }
}

// ---- One attempt. ----

Task<> UpstreamClient::call(std::shared_ptr<UpstreamRequest> call, std::shared_ptr<const Request> request,
                            Nanos deadline, bool nonIdempotent, int maxConnections, BodyWriter writeBody) {
    call->startedAt = now();
    // Ends as unreached: nobody waits for it, and with an idle connection it would still be written.
    if (call->aborted) co_return;
    const bool connected = co_await connect(call, nonIdempotent, maxConnections);
    if (!connected) co_return;  // ends as unreached
    // The kernel counts a host that reads no further as one that acknowledges nothing. It may be at work, so
    // that only the deadline ends the attempt.
    configureSocket(call->connection->socket, std::max(kMinUnacknowledgedTimeout, deadline - now()));
    call->attempt->apply(AttemptEvent::written);
    call->end = AttemptEvent::connectionLost;
    const auto error = co_await writeRequest(call, request, deadline, writeBody);
    ResponseRead read;
    if (!error) read = co_await readMatchingResponse(call, request);
    if (call->aborted && !read.complete) call->end = call->abortEvent;
    release(*call, read);
}

// Takes an idle connection or opens a new one. Returns false if neither is possible.
Task<bool> UpstreamClient::connect(std::shared_ptr<UpstreamRequest> call, bool nonIdempotent,
                                   int maxConnections) {
    const auto& host = call->attempt->host();
    call->connection = takeIdle(*host, nonIdempotent);
    if (call->connection) co_return true;
    if (host->connections >= maxConnections) co_return false;
    const auto connection = std::make_shared<UpstreamConnection>(io_, host);
    call->connection = connection;
    const auto address = parseAddress(host->endpoint.address);
    ErrorCode error;
    co_await connection->socket.async_connect(address, withErrorCode(error));
    if (error || call->aborted) {
        call->connection.reset();
        co_return false;
    }
    co_return true;
}

// Copies the head in order to add the headers of this attempt; the body is not copied.
Task<ErrorCode> UpstreamClient::writeRequest(std::shared_ptr<UpstreamRequest> call,
                                             std::shared_ptr<const Request> request, Nanos deadline,
                                             BodyWriter writeBody) {
    auto& socket = call->connection->socket;
    http::request<http::span_body<const char>, HeaderFields> sent(
        http::request_header<HeaderFields>(request->base()));
    sent.body() = {request->body().data(), request->body().size()};
    sent.set("X-Deadline-Ms", std::to_string(std::max<Nanos>((deadline - now()) / kMillisecond, 1)));
    sent.set("X-Target-Instance", call->attempt->host()->endpoint.id);
    ErrorCode error;
    if (!writeBody) {
        co_await http::async_write(socket, sent, withErrorCode(error));
        co_return error;
    }
    http::request_serializer<http::span_body<const char>, HeaderFields> serializer(sent);
    co_await http::async_write_header(socket, serializer, withErrorCode(error));
    if (!error) error = co_await writeBody(socket);
    co_return error;
}

// Reads the response to this request, skipping a limited number of responses to other requests.
Task<UpstreamClient::ResponseRead> UpstreamClient::readMatchingResponse(
    std::shared_ptr<UpstreamRequest> call, std::shared_ptr<const Request> request) {
    ResponseRead read;
    const auto id = (*request)["X-Attempt-Id"];
    const bool headOnly = request->method() == http::verb::head;
    for (int mismatched = 0; mismatched <= kMaxMismatchedResponses; ++mismatched) {
        const auto error = co_await readResponse(call, headOnly);
        if (error) {
            if (isUnreadable(error)) call->end = AttemptEvent::malformed;
            break;
        }
        const auto outcome = routing::classifyResponse(responseHeadOf(call->response, id));
        if (!outcome && !call->unread) {
            read.mismatched = true;
            continue;
        }
        read.complete = true;
        call->end = outcome.value_or(AttemptEvent::malformed);
        break;
    }
    co_return read;
}

// Reads one final response: the whole, or its first part with the rest to follow.
Task<ErrorCode> UpstreamClient::readResponse(std::shared_ptr<UpstreamRequest> call, bool headOnly) {
    const auto connection = call->connection;
    const FieldLimits fieldLimits{kMaxHeaderBytes, limits::kUnsharedFieldBytes, kFieldCopies};
    for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
        auto parser = std::make_unique<ResponseParser>(fieldLimits, limits::MemoryBudget::Share(buffers_));
        parser->body_limit(kMaxResponseBytes);
        parser->skip(headOnly);
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, *parser,
                                         withErrorCode(error));
        if (error) co_return error;
        if (parser->get().result_int() / 100 == 1) continue;  // an interim response has no body
        std::string body;
        call->responseFieldMemory = parser->takeMemory();
        call->responseMemory = limits::MemoryBudget::Share(buffers_);
        while (!parser->is_done() && mayBufferMore(body, call->responseMemory)) {
            error = co_await readBodyBlock(connection->socket, connection->buffer, *parser, body);
            if (error) co_return error;
        }
        call->response = Response(parser->header());
        call->response.body() = std::move(body);
        call->unread.reset();
        if (!parser->is_done())
            call->unread = std::make_unique<UnreadBody>(UnreadBody{connection, std::move(parser)});
        co_return ErrorCode{};
    }
    co_return http::error::unexpected_body;
}

// Returns the connection to the pool, closes it, or leaves it open for the reader of the remaining body.
void UpstreamClient::release(UpstreamRequest& call, const ResponseRead& read) {
    const auto connection = std::move(call.connection);
    call.connection = nullptr;
    if (call.unread && call.end == AttemptEvent::answered) return;
    const bool reusable = read.complete && !read.mismatched && !call.unread &&
                          call.end != AttemptEvent::malformed && !call.aborted &&
                          call.response.keep_alive() && connection->buffer.size() == 0 &&
                          !connection->host->gone;
    call.unread.reset();
    if (reusable) {
        connection->idleLimit = routing::idleLimit(keepAliveTimeout(call.response));
        putIdle(connection);
    } else {
        ErrorCode ignored;
        connection->socket.close(ignored);
    }
}

}  // namespace lichenlanding::proxy
