#include "proxy/client_connection.hpp"

#include <poll.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "proxy/body_relay.hpp"
#include "proxy/http_headers.hpp"
#include "proxy/request_handler.hpp"
#include "transport/body_reader.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {

using namespace transport;
using routing::LocalReplyDetail;

namespace {

constexpr std::size_t kReadBytes = 4096;       // offered to a client that has not sent anything yet
constexpr std::size_t kPipelineLimit = 32;     // requests of one connection that were read but not answered
constexpr Nanos kWriteTimeout = 10 * kSecond;  // for the client to accept response data
constexpr Nanos kLingerTimeout = 300 * kMillisecond;  // after the last response, for bytes still in transit
constexpr Nanos kHangUpCheckInterval = 100 * kMillisecond;  // while the pipeline is full and nothing is read

// Errors of Beast's HTTP parser, except those of an ended connection: the bytes are not valid HTTP.
bool isSyntaxError(const ErrorCode& error) {
    return error.category() == make_error_code(http::error::bad_version).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

FieldLimits requestFieldLimits(std::size_t headerBytes) {
    constexpr std::size_t kCopies = 3;  // as parsed, in the request, and as sent to a pod
    return {headerBytes, headerBytes + limits::kUnsharedFieldBytes, kCopies};
}

}  // namespace

config::ClientLimits clientLimits(const routing::Router& router) {
    return router.configuration() ? router.configuration()->clientLimits : config::ClientLimits{};
}

std::size_t headerLimit(const config::ClientLimits& limits) {
    constexpr auto kGreatest = static_cast<std::int64_t>(limits::kMaxClientHeaderBytes);
    return static_cast<std::size_t>(std::min(limits.headerBytes, kGreatest));
}

ClientConnection::ClientConnection(tcp::socket&& accepted, HttpServerContext& server, std::uint64_t number)
    : socket(std::move(accepted)), server_(server), number_(number), stateChanged_(server.io) {}

// ---- Predicates for the server's periodic checks. ----

bool ClientConnection::hasUnreadBytes() {
    ErrorCode error;
    return socket.available(error) > 0 && !error;
}

bool ClientConnection::isStalled(Nanos now) const {
    if (upstreamSocket && now > upstreamDeadline) return true;
    return writing_ && !lastResponseSent_ && writeStarted > 0 && now - writeStarted > kWriteTimeout;
}

bool ClientConnection::isIdleTooLong(Nanos now, Nanos idleTimeout) {
    // A changed timeout applies to connections that are already idle only if it is longer.
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
    onClientDisconnected();
    stateChanged_.notify();
}

// Notifies the handlers of unanswered requests, once.
void ClientConnection::onClientDisconnected() {
    if (std::exchange(clientDisconnected_, true)) return;
    ErrorCode ignored;
    if (upstreamSocket && requests_.front()->routed.route->idempotent) upstreamSocket->close(ignored);
    std::size_t unanswered = 0;
    std::size_t inFlight = 0;
    for (const auto& request : requests_) {
        if (request->responseReady && !request->unreadResponse) continue;
        ++unanswered;
        inFlight += routing::inFlight(request->routed.attempts);
        if (request->onClientDisconnected) request->onClientDisconnected();
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

void ClientConnection::startIdle(Nanos idleTimeout) {
    idleSince_ = now();
    idleTimeout_ = idleTimeout;
}

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
        spawn(self->server_.io, "request", RequestHandler::handle(handler), [self] { self->finish(); });
        if (request->upload) co_await self->awaitUpload(request);
        self->lastRequestRead_ = request->closesConnection;
        if (!co_await self->awaitPipelineCapacity()) break;
    }
    self->reading_ = false;
    self->onClientDisconnected();
    if (self->closed_ || (self->requests_.empty() && !self->writing_)) self->finish();
}

// Waits for the end of the body's relay, which reads the socket meanwhile.
Task<> ClientConnection::awaitUpload(std::shared_ptr<RequestContext> request) {
    while (!closed_ && !request->uploadEnded && !request->responseReady)
        co_await stateChanged_.wait(now() + kSecond);
}

bool ClientConnection::mayReadNextRequest() const {
    if (requests_.empty()) return true;
    return requests_.size() < kPipelineLimit && server_.buffers.available() >= kMaxBufferedBody;
}

// Waits until the next request may be read. Returns false if the client disconnects meanwhile; this has to be
// polled, since its close comes after bytes that are not being read.
Task<bool> ClientConnection::awaitPipelineCapacity() {
    while (!mayReadNextRequest() && !closed_) {
        co_await stateChanged_.wait(now() + kHangUpCheckInterval);
        if (!closed_ && hasPeerHungUp()) co_return false;
    }
    co_return true;
}

bool ClientConnection::hasPeerHungUp() {
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

// Waits for the first byte of a request; returns false if the connection has ended. Bytes after the last
// request or response are discarded.
Task<bool> ClientConnection::waitForBytes() {
    if (discardsInput()) buffer.consume(buffer.size());
    if (buffer.size() > 0) co_return true;
    if (buffer.capacity() > kReadBytes) buffer.shrink_to_fit();
    waitingForRequest_ = true;
    if (!lastResponseSent_) {
        readDeadline = 0;
        startIdle(clientLimits(server_.router).idleTimeout);
    }
    const auto space = buffer.prepare(kReadBytes);
    ErrorCode error;
    const auto received = co_await socket.async_read_some(space, withErrorCode(error));
    waitingForRequest_ = false;
    if (error) co_return false;
    if (!discardsInput()) buffer.commit(received);
    co_return true;
}

// Reads the head and, up to the buffering limit, the body.
Task<> ClientConnection::readRequest(IncomingRequest& incoming) {
    // Read at the start of the request: the limits may have changed while the connection was idle.
    const auto limits = clientLimits(server_.router);
    incoming.parser = std::make_shared<RequestParser>(requestFieldLimits(headerLimit(limits)),
                                                      limits::MemoryBudget::Share(server_.buffers));
    auto& parser = *incoming.parser;
    limitReadBuffer(buffer, headerLimit(limits));
    parser.body_limit(static_cast<std::uint64_t>(limits.bodyBytes));
    readDeadline = now() + limits.headerTimeout;
    co_await http::async_read_header(socket, buffer, parser, withErrorCode(incoming.error));
    if (incoming.error) co_return;
    accountForHeader(incoming);
    if (parser.is_done()) co_return;
    readDeadline = now() + kRequestBodyTimeout;
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await sendContinue(incoming);
    while (!incoming.error && !parser.is_done() && mayBufferMore(incoming.body, incoming.bodyMemory))
        incoming.error = co_await readBodyBlock(socket, buffer, parser, incoming.body);
}

// A connection's only request has its memory without a share, but for an excess of fields.
void ClientConnection::accountForHeader(IncomingRequest& incoming) {
    incoming.fieldMemory = incoming.parser->takeMemory();
    incoming.handlingMemory = limits::MemoryBudget::Share(server_.buffers);
    incoming.bodyMemory = limits::MemoryBudget::Share(server_.buffers);
    if (requests_.empty()) return;
    const auto unsharedBytes = incoming.parser->fieldBytes() - incoming.fieldMemory.bytes();
    incoming.handlingMemory.resizeUnconditionally(unsharedBytes + limits::kRequestOverheadBytes);
}

// Sends 100 Continue after the responses to all earlier requests.
Task<> ClientConnection::sendContinue(IncomingRequest& incoming) {
    static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    while (!requests_.empty() && !closed_) co_await stateChanged_.wait(now() + kSecond);
    if (lastResponseChosen_ || closed_) co_return;
    co_await asio::async_write(socket, asio::buffer(kContinue), withErrorCode(incoming.error));
}

// Discards a request that follows the last response. Clients treat it as not processed and send it again
// elsewhere, so that running it would execute it twice. Returns false if the connection has ended.
bool ClientConnection::discard(const IncomingRequest& incoming) {
    const auto& error = incoming.error;
    if (error && error.category() != make_error_code(http::error::bad_version).category()) return false;
    buffer.consume(buffer.size());
    return true;
}

// Replies with the reason why a request is invalid. Returns false if there is no client to reply to.
bool ClientConnection::reject(const IncomingRequest& incoming) {
    const auto& error = incoming.error;
    LocalReplyDetail detail;
    if (!error) detail = LocalReplyDetail::ambiguousRequest;
    else if (timedOut_ && !closed_) detail = LocalReplyDetail::requestTimeout;
    else if (error == http::error::header_limit) detail = LocalReplyDetail::headerTooLarge;
    else if (error == boost::system::errc::not_enough_memory) detail = LocalReplyDetail::overloaded;
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
    request->request = Request(parser->header());
    request->request.body() = std::move(incoming.body);
    request->fieldMemory = std::move(incoming.fieldMemory);
    request->handlingMemory = std::move(incoming.handlingMemory);
    request->requestMemory = std::move(incoming.bodyMemory);
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
    writeStarted = now();  // set before the writer coroutine starts, since isStalled() reads both
    const auto self = shared_from_this();
    spawn(server_.io, "response", writeResponses(self), [self] { self->finish(); });
}

Task<> ClientConnection::writeResponses(std::shared_ptr<ClientConnection> self) {
    auto& requests = self->requests_;
    while (!self->closed_ && !requests.empty() && requests.front()->responseReady) {
        const auto request = requests.front();
        // While draining, the last response to the requests read so far carries Connection: close.
        const bool last = (request->closesConnection || self->server_.draining) && requests.size() == 1;
        self->lastResponseChosen_ = last;
        const auto error = co_await self->writeResponse(request, last);
        request->releaseResponse();
        requests.pop_front();
        self->writeStarted = 0;
        if (error) {
            self->close();
            break;
        }
        if (requests.empty() && self->server_.router.configuration())
            self->startIdle(clientLimits(self->server_.router).idleTimeout);
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
    http::response_serializer<http::string_body, HeaderFields> serializer(response);
    if (request->omitsResponseBody) {
        serializer.split(true);
        co_await http::async_write_header(socket, serializer, withErrorCode(error));
    } else {
        co_await http::async_write(socket, serializer, withErrorCode(error));
    }
    co_return error;
}

// Closes the sending side. The reader discards input for a short time: closing the socket with unread bytes
// would reset the connection before the client has received the response.
void ClientConnection::startLingering() {
    ErrorCode ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    lastResponseSent_ = true;
    readDeadline = now() + kLingerTimeout;
}

}  // namespace lichenlanding::proxy
