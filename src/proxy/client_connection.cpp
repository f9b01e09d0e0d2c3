#include "proxy/client_connection.hpp"

#include <poll.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "proxy/body_relay.hpp"
#include "proxy/http_headers.hpp"
#include "proxy/request_handler.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {

using namespace transport;
using routing::LocalReplyDetail;

namespace {

constexpr std::size_t kPipelineLimit = 32;        // requests of one connection that are read and not answered
constexpr Nanos kUnreadFor = 10 * kSecond;        // a client that does not take its responses
constexpr Nanos kLingerFor = 300 * kMillisecond;  // after the last response, for bytes that are on their way
constexpr Nanos kHangUpCheckEvery = 100 * kMillisecond;  // while nothing is read

// Beast's own errors but for those of a connection that has ended: the bytes are not HTTP.
bool isSyntaxError(const ErrorCode& error) {
    return error.category() == make_error_code(http::error::bad_version).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

ClientConnection::ClientConnection(tcp::socket&& accepted, HttpServerContext& server, std::uint64_t number)
    : socket(std::move(accepted)), server_(server), number_(number), stateChanged_(server.io) {}

// ---- State, as the server asks for it. ----

bool ClientConnection::hasUnreadBytes() {
    ErrorCode error;
    return socket.available(error) > 0 && !error;
}

bool ClientConnection::isStalled(Nanos now) const {
    if (upstreamSocket && now > upstreamDeadline) return true;
    return writing_ && !lastResponseSent_ && writeStarted > 0 && now - writeStarted > kUnreadFor;
}

bool ClientConnection::isIdleTooLong(Nanos now, Nanos idleTimeout) {
    // A change of the timeout binds connections that are idle already only where it is longer.
    return isIdle() && now - idleSince_ > std::max(idleTimeout_, idleTimeout) && !hasUnreadBytes();
}

bool ClientConnection::isReadOverdue(Nanos now) {
    return !isIdle() && readDeadline > 0 && now > readDeadline && requests_.empty() &&
           (!writing_ || lastResponseSent_) && (lastResponseSent_ || !hasUnreadBytes());
}

void ClientConnection::close() {
    closed_ = true;
    ErrorCode ignored;
    socket.close(ignored);
    if (upstreamSocket) upstreamSocket->close(ignored);
    onClientLeft();
    stateChanged_.notify();
}

// Whoever works for the client is told, once.
void ClientConnection::onClientLeft() {
    if (std::exchange(clientLeft_, true)) return;
    ErrorCode ignored;
    if (upstreamSocket && requests_.front()->routed.route->idempotent) upstreamSocket->close(ignored);
    std::size_t unanswered = 0;
    std::size_t inFlight = 0;
    for (const auto& request : requests_) {
        if (request->responseReady && !request->unreadResponse) continue;
        ++unanswered;
        inFlight += routing::inFlight(request->routed.attempts);
        if (request->onClientLeft) request->onClientLeft();
    }
    if (unanswered == 0) return;
    ++server_.stats.disconnected;
    log("client_disconnected",
        {{"connection", number_}, {"requests", unanswered}, {"attempts_in_flight", inFlight}});
}

void ClientConnection::cancelRead() {
    ErrorCode ignored;
    socket.cancel(ignored);
}

void ClientConnection::timeOutRead() {
    timedOut_ = true;
    cancelRead();
}

config::ClientLimits ClientConnection::limits() const {
    return server_.router.configuration() ? server_.router.configuration()->clientLimits
                                          : config::ClientLimits{};
}

void ClientConnection::startIdle(Nanos idleTimeout) {
    idleSince_ = now();
    idleTimeout_ = idleTimeout;
}

// The last of the two coroutines to end takes the connection with it.
void ClientConnection::finish() {
    close();
    server_.onConnectionClosed(number_);
}

// ---- Reading. ----

Task<> ClientConnection::readRequests(std::shared_ptr<ClientConnection> self) {
    while (!self->closed_) {
        if (!co_await self->waitForBytes()) break;
        if (self->discardsInput()) continue;
        IncomingRequest incoming;
        co_await self->readRequest(incoming);
        if (!self->lastResponseSent_) self->readDeadline = 0;
        if (self->lastResponseChosen_) {
            if (!self->discard(incoming)) break;
            continue;
        }
        if (incoming.error || isAmbiguous(incoming.parser->get())) {
            if (!self->reject(incoming)) break;
            self->lastRequestRead_ = true;
            continue;
        }
        const auto request = self->accept(incoming);
        const auto handler = std::make_shared<RequestHandler>(self->server_, self, request);
        spawn(self->server_.io, "request", RequestHandler::handle(handler));
        if (request->upload) co_await self->awaitUpload(request);
        self->lastRequestRead_ = request->closesConnection;
        if (!co_await self->awaitRoom()) break;
    }
    self->reading_ = false;
    self->onClientLeft();
    if (self->closed_ || (self->requests_.empty() && !self->writing_)) self->finish();
}

// The body's relay reads the socket until it has ended.
Task<> ClientConnection::awaitUpload(std::shared_ptr<RequestContext> request) {
    while (!closed_ && !request->uploadEnded && !request->responseReady)
        co_await stateChanged_.wait(now() + kSecond);
}

// Until fewer requests than the pipeline takes are unanswered. False where the client leaves meanwhile: the
// end of its side lies behind bytes that are not read.
Task<bool> ClientConnection::awaitRoom() {
    while (requests_.size() >= kPipelineLimit && !closed_) {
        co_await stateChanged_.wait(now() + kHangUpCheckEvery);
        if (!closed_ && hasPeerHungUp()) co_return false;
    }
    co_return true;
}

bool ClientConnection::hasPeerHungUp() {
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

// Until the first byte of a request has come. False where none will; bytes behind the last request or
// response are discarded.
Task<bool> ClientConnection::waitForBytes() {
    if (discardsInput()) buffer.consume(buffer.size());
    if (buffer.size() > 0) co_return true;
    waitingForRequest_ = true;
    if (!lastResponseSent_) {
        readDeadline = 0;
        startIdle(limits().idleTimeout);
    }
    const auto space = buffer.prepare(4096);
    ErrorCode error;
    const auto received = co_await socket.async_read_some(space, withErrorCode(error));
    waitingForRequest_ = false;
    if (error) co_return false;
    if (!discardsInput()) buffer.commit(received);
    co_return true;
}

// Head and body, the body up to what is held whole.
Task<> ClientConnection::readRequest(IncomingRequest& incoming) {
    const auto limits = this->limits();  // in force as the request begins, after an idle time
    incoming.parser = std::make_shared<RequestParser>();
    auto& parser = *incoming.parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(static_cast<std::uint64_t>(limits.bodyBytes));
    readDeadline = now() + limits.headerTimeout;
    co_await http::async_read_header(socket, buffer, parser, withErrorCode(incoming.error));
    if (incoming.error || parser.is_done()) co_return;
    readDeadline = now() + kRequestBodyWithin;
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await sendContinue(incoming);
    while (!incoming.error && !parser.is_done() && incoming.body.size() < kHoldAtMost)
        incoming.error = co_await readBodyBlock(*this, parser, incoming.body);
}

// Behind the responses that are due first.
Task<> ClientConnection::sendContinue(IncomingRequest& incoming) {
    static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    while (!requests_.empty() && !closed_) co_await stateChanged_.wait(now() + kSecond);
    if (lastResponseChosen_ || closed_) co_return;
    co_await asio::async_write(socket, asio::buffer(kContinue), withErrorCode(incoming.error));
}

// A request behind the last response counts as not read, whatever it is: its client sends it again elsewhere,
// and to execute it would be to execute it twice. False where the connection has ended.
bool ClientConnection::discard(const IncomingRequest& incoming) {
    const auto& error = incoming.error;
    if (error && error.category() != make_error_code(http::error::bad_version).category()) return false;
    buffer.consume(buffer.size());
    return true;
}

// Answers what cannot be read as one request with the reason. False where there is nobody to tell.
bool ClientConnection::reject(const IncomingRequest& incoming) {
    const auto& error = incoming.error;
    LocalReplyDetail detail;
    if (!error) detail = LocalReplyDetail::ambiguousRequest;
    else if (timedOut_ && !closed_) detail = LocalReplyDetail::requestTimeout;
    else if (error == http::error::header_limit) detail = LocalReplyDetail::headerTooLarge;
    else if (error == http::error::body_limit) detail = LocalReplyDetail::bodyTooLarge;
    else if (isSyntaxError(error)) detail = LocalReplyDetail::unreadableRequest;
    else return false;
    auto request = std::make_shared<RequestContext>();
    request->response = makeResponse({detail});
    request->closesConnection = true;
    requests_.push_back(request);
    onResponseReady(request);
    return true;
}

std::shared_ptr<RequestContext> ClientConnection::accept(IncomingRequest& incoming) {
    auto& parser = incoming.parser;
    auto request = std::make_shared<RequestContext>();
    request->request = Request(http::request_header<>(parser->get().base()));
    request->request.body() = std::move(incoming.body);
    request->closesConnection = !request->request.keep_alive() || (server_.draining && server_.closingIdle);
    request->omitsResponseBody = request->request.method() == http::verb::head;
    if (!parser->is_done()) {
        request->upload = parser;
        request->closesConnection = true;
    }
    requests_.push_back(request);
    return request;
}

// ---- Writing. ----

void ClientConnection::onResponseReady(const std::shared_ptr<RequestContext>& request) {
    request->responseReady = true;
    if (writing_ || !requests_.front()->responseReady) return;
    writing_ = true;
    writeStarted = now();  // before the writer's turn comes: isStalled() looks at both
    spawn(server_.io, "response", writeResponses(shared_from_this()));
}

Task<> ClientConnection::writeResponses(std::shared_ptr<ClientConnection> self) {
    auto& requests = self->requests_;
    while (!self->closed_ && !requests.empty() && requests.front()->responseReady) {
        const auto request = requests.front();
        // While draining, the last response to what has been read says so.
        const bool last = (request->closesConnection || self->server_.draining) && requests.size() == 1;
        self->lastResponseChosen_ = last;
        const auto error = co_await self->writeResponse(request, last);
        requests.pop_front();
        self->writeStarted = 0;
        if (error) {
            self->close();
            break;
        }
        if (requests.empty() && self->server_.router.configuration())
            self->startIdle(self->limits().idleTimeout);
        self->stateChanged_.notify();
        if (last) {
            self->startLingering();
            break;
        }
    }
    self->writing_ = false;
    if (self->closed_ || (!self->reading_ && requests.empty())) self->finish();
}

Task<ErrorCode> ClientConnection::writeResponse(std::shared_ptr<RequestContext> request, bool last) {
    auto& response = request->response;
    removeHopByHopHeaders(response);
    response.version(11);
    response.keep_alive(!last);
    writeStarted = now();
    ErrorCode error;
    if (!request->omitsResponseBody && !request->unreadResponse && response.result_int() != 204 &&
        response.result_int() != 304)
        response.content_length(response.body().size());
    if (request->unreadResponse) {
        const auto self = shared_from_this();
        if (!co_await relayResponseBody(self, request)) error = asio::error::broken_pipe;
        co_return error;
    }
    http::response_serializer<http::string_body> serializer(response);
    if (request->omitsResponseBody) {
        serializer.split(true);
        co_await http::async_write_header(socket, serializer, withErrorCode(error));
    } else {
        co_await http::async_write(socket, serializer, withErrorCode(error));
    }
    co_return error;
}

// Ends this side. The reader discards what the client has sent meanwhile, for a moment: closing on it would
// reset the connection under a response that may not have arrived.
void ClientConnection::startLingering() {
    ErrorCode ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    lastResponseSent_ = true;
    readDeadline = now() + kLingerFor;
}

}  // namespace lichenlanding::proxy
