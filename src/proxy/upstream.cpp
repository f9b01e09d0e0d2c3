#include "proxy/upstream.hpp"

#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "text.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;
using routing::ResponseHead, routing::AttemptEvent;

constexpr std::uint64_t kAnswerAtMost = std::uint64_t{1} << 40;  // larger ones pass through in blocks
constexpr int kSurplusAtMost = 2;  // answers to other requests that are read past
constexpr std::uint32_t kHeadAtMost = 64 << 10;
constexpr Nanos kPeerSilence = 3 * kSecond;  // a host that has gone silent ends the connection

// Nothing to read and not closed: the pod has neither ended it nor sent what belongs to no request.
bool quiet(tcp::socket& socket) {
    char byte;
    const auto read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// What the pod says of how long it keeps an idle connection; 0: nothing.
Nanos keepAlive(const Response& response) {
    const auto told = response.find(http::field::keep_alive);
    if (told == response.end()) return 0;
    const std::string_view text(told->value().data(), told->value().size());
    const auto at = text.find("timeout=");
    int seconds = 0;
    if (at == std::string_view::npos) return 0;
    auto number = text.substr(at + 8);
    number = number.substr(0, number.find_first_not_of("0123456789"));
    return parse(number, seconds) ? seconds * kSecond : 0;
}

// Where a body ends is told by a length, by chunks alone, or by having none. Any other coding of the transfer
// is one that is not undone here.
bool delimited(const Response& response) {
    const auto status = response.result_int();
    const auto codings = response.equal_range(http::field::transfer_encoding);
    if (codings.first != codings.second)
        return response.count(http::field::transfer_encoding) == 1 &&
               boost::beast::iequals(codings.first->value(), "chunked");
    return response.has_content_length() || status == 204 || status == 304;
}

ResponseHead headOf(const Response& response, boost::beast::string_view id) {
    ResponseHead head;
    const auto theirs = response["X-Attempt-Id"];
    head.status = static_cast<int>(response.result_int());
    // Two ids: the head of one answer in which another's began.
    head.id = response.count("X-Attempt-Id") > 1 ? ResponseHead::Id::other
              : theirs.empty()                   ? ResponseHead::Id::none
              : theirs == id                     ? ResponseHead::Id::own
                                                 : ResponseHead::Id::other;
    head.notExecuted = response.count("X-Not-Executed") > 0;
    head.sealed = response.count("X-Response-Seal") > 0;
    head.encoded = response.count(http::field::content_encoding) > 0;
    head.delimited = delimited(response);
    return head;
}

// Whether what came is no HTTP; a connection that has ended is another matter.
bool isUnreadable(const ErrorCode& error) {
    return error.category() == make_error_code(http::error::end_of_stream).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

void UpstreamRequest::abort() {
    if (!attempt->inFlight()) return;
    aborted = true;
    ErrorCode ignored;
    if (connection) connection->socket.close(ignored);
}

void UpstreamRequest::cancel() {
    if (!attempt->inFlight() || aborted) return;
    abortedAs = AttemptEvent::cancelled;
    end = AttemptEvent::cancelled;
    abort();
}

// ---- The pool of idle connections. ----

std::shared_ptr<UpstreamConnection> UpstreamClient::takeIdle(const routing::UpstreamHost& host,
                                                             bool runsOnce) {
    const auto at = pools_.find(host.endpoint.id);
    if (at == pools_.end()) return nullptr;
    auto& idle = at->second.idle;
    while (!idle.empty()) {
        auto connection = idle.back();
        const Nanos age = now() - connection->idleSince;
        // And so are all before it.
        if (runsOnce && !routing::safeToReuse(age, connection->idleLimit)) return nullptr;
        idle.pop_back();
        if (age < connection->idleLimit && quiet(connection->socket)) return connection;
    }
    return nullptr;
}

void UpstreamClient::putIdle(std::shared_ptr<UpstreamConnection> connection) {
    connection->idleSince = now();
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
                            Nanos deadline, bool runsOnce, int maxConnections, BodyWriter writeBody) {
    call->began = now();
    // Unreached: nobody waits for it, and on an idle connection it would be written.
    if (call->aborted) co_return;
    const bool connected = co_await connect(call, runsOnce, maxConnections);
    if (!connected) co_return;  // unreached
    call->attempt->apply(AttemptEvent::written);
    call->end = AttemptEvent::connectionLost;
    const auto error = co_await writeRequest(call, request, deadline, writeBody);
    AnswerRead read;
    if (!error) read = co_await readAnswer(call, request);
    if (call->aborted && !read.whole) call->end = call->abortedAs;
    release(*call, read);
}

// An idle connection or a new one. False where there is none to be had.
Task<bool> UpstreamClient::connect(std::shared_ptr<UpstreamRequest> call, bool runsOnce, int maxConnections) {
    const auto& host = call->attempt->host();
    call->connection = takeIdle(*host, runsOnce);
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
    configureSocket(connection->socket, kPeerSilence);
    co_return true;
}

// The head is copied with what this attempt alone says; the body is not.
Task<ErrorCode> UpstreamClient::writeRequest(std::shared_ptr<UpstreamRequest> call,
                                             std::shared_ptr<const Request> request, Nanos deadline,
                                             BodyWriter writeBody) {
    auto& socket = call->connection->socket;
    http::request<http::span_body<const char>> sent(http::request_header<>(request->base()));
    sent.body() = {request->body().data(), request->body().size()};
    sent.set("X-Deadline-Ms", std::to_string(std::max<Nanos>((deadline - now()) / kMillisecond, 1)));
    sent.set("X-Target-Instance", call->attempt->host()->endpoint.id);
    ErrorCode error;
    if (!writeBody) {
        co_await http::async_write(socket, sent, withErrorCode(error));
        co_return error;
    }
    http::request_serializer<http::span_body<const char>> serializer(sent);
    co_await http::async_write_header(socket, serializer, withErrorCode(error));
    if (!error) error = co_await writeBody(socket);
    co_return error;
}

// Answers to other requests are read past, a few of them.
Task<UpstreamClient::AnswerRead> UpstreamClient::readAnswer(std::shared_ptr<UpstreamRequest> call,
                                                            std::shared_ptr<const Request> request) {
    AnswerRead read;
    const auto id = (*request)["X-Attempt-Id"];
    const bool headOnly = request->method() == http::verb::head;
    for (int surplus = 0; surplus <= kSurplusAtMost; ++surplus) {
        const auto error = co_await readResponse(call, headOnly);
        if (error) {
            if (isUnreadable(error)) call->end = AttemptEvent::malformed;
            break;
        }
        const auto judged = routing::classifyResponse(headOf(call->response, id));
        if (!judged && !call->unread) {
            read.surplus = true;
            continue;
        }
        read.whole = true;
        call->end = judged.value_or(AttemptEvent::malformed);
        break;
    }
    co_return read;
}

// One final response, whole, or its first part with the rest to come.
Task<ErrorCode> UpstreamClient::readResponse(std::shared_ptr<UpstreamRequest> call, bool headOnly) {
    const auto connection = call->connection;
    for (;;) {
        auto parser = std::make_unique<http::response_parser<http::buffer_body>>();
        parser->header_limit(kHeadAtMost);
        parser->body_limit(kAnswerAtMost);
        parser->skip(headOnly);
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, *parser,
                                         withErrorCode(error));
        if (error) co_return error;
        if (parser->get().result_int() / 100 == 1) continue;  // an interim response: no body
        std::string body;
        while (!parser->is_done() && body.size() < kHoldAtMost) {
            const auto held = body.size();
            body.resize(held + room(*parser));
            parser->get().body().data = body.data() + held;
            parser->get().body().size = body.size() - held;
            co_await http::async_read(connection->socket, connection->buffer, *parser, withErrorCode(error));
            body.resize(body.size() - parser->get().body().size);
            if (error == http::error::need_buffer) error = {};
            if (error) co_return error;
        }
        call->response = Response(http::response_header<>(parser->get().base()));
        call->response.body() = std::move(body);
        call->unread.reset();
        if (!parser->is_done())
            call->unread = std::make_unique<UnreadBody>(UnreadBody{connection, std::move(parser)});
        co_return ErrorCode{};
    }
}

// Keeps the connection for another request, closes it, or leaves it to who reads the rest of the head.
void UpstreamClient::release(UpstreamRequest& call, const AnswerRead& read) {
    const auto connection = std::move(call.connection);
    call.connection = nullptr;
    if (call.unread && call.end == AttemptEvent::answered) return;
    const bool reusable =
        read.whole && !read.surplus && !call.unread && call.end != AttemptEvent::malformed && !call.aborted &&
        call.response.keep_alive() && connection->buffer.size() == 0 && !connection->host->gone;
    call.unread.reset();
    if (reusable) {
        connection->idleLimit = routing::idleLimit(keepAlive(call.response));
        putIdle(connection);
    } else {
        ErrorCode ignored;
        connection->socket.close(ignored);
    }
}

}  // namespace lichenlanding::proxy
