#include "proxy/request_handler.hpp"

#include <sys/socket.h>

#include "proxy/body_relay.hpp"
#include "proxy/http_headers.hpp"
#include "text.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {

using namespace transport;
using routing::AttemptEvent, routing::AttemptState, routing::LocalReply, routing::LocalReplyDetail;

namespace {

// An attempt that has written nothing after this time is aborted.
constexpr Nanos kConnectTimeout = 250 * kMillisecond;
// Time for an aborted attempt to end after its connection was closed.
constexpr Nanos kCloseTimeout = 20 * kMillisecond;
// How long a request waits for a proxy that is not ready or was at a standstill.
constexpr Nanos kReadinessWait = 150 * kMillisecond;
constexpr Nanos kReadinessPollInterval = 10 * kMillisecond;
constexpr Nanos kRetryAfterUnready = 300 * kMillisecond;
constexpr Nanos kDefaultClientTimeout = 60 * kSecond;  // for requests without X-Deadline-Ms
constexpr double kMaxClientTimeoutMs = 6e5;

// Whether the client has closed its side and all its bytes were read.
bool hasPeerClosed(tcp::socket& socket) {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool isUnsent(const UpstreamRequest& call) { return call.attempt->state() == AttemptState::unsent; }

// The end to report for an attempt whose actual end is unknown.
AttemptEvent endWithoutResponse(const routing::Attempt& attempt) {
    return attempt.state() == AttemptState::unsent ? AttemptEvent::unreached : AttemptEvent::connectionLost;
}

}  // namespace

RequestHandler::RequestHandler(HttpServerContext& server, std::shared_ptr<ClientConnection> connection,
                               std::shared_ptr<RequestContext> request)
    : server_(server),
      connection_(std::move(connection)),
      request_(std::move(request)),
      attemptEnded_(server.io) {}

Task<> RequestHandler::handle(std::shared_ptr<RequestHandler> self) {
    const auto rejection = co_await self->admit();
    if (rejection) {
        self->respond(*rejection);
        co_return;
    }
    self->prepareRequestHeaders();
    self->request_->onClientDisconnected = [weak = std::weak_ptr(self)] {
        if (const auto handler = weak.lock()) handler->attemptEnded_.notify();
    };
    self->nextHedgeCheck_ = self->request_->routed.deadline;
    const auto answered = co_await self->runAttempts();
    if (!answered) {
        self->respond(self->server_.router.localReply(self->request_->routed));
        co_return;
    }
    self->respond(*answered);
    co_await self->awaitRemainingAttempts();
}

// ---- Before the first attempt. ----

// After a start or a standstill, requests wait briefly for updates from control nodes.
Task<std::optional<LocalReply>> RequestHandler::admit() {
    const auto& router = server_.router;
    const bool wasStalled = !server_.isStateFresh();
    const Nanos until = now() + kReadinessWait;
    while (!(router.ready() && server_.isStateFresh()) && now() < until)
        co_await sleep(kReadinessPollInterval);
    const bool clientDisconnected =
        connection_->clientDisconnected() ||
        (wasStalled && !connection_->closed() && hasPeerClosed(connection_->socket));
    if (clientDisconnected) co_return LocalReply{LocalReplyDetail::clientGone, kRetryAfterUnready};
    co_return route();
}

// Determines the route and the deadline. Returns a local reply if the request is invalid or has no route.
std::optional<LocalReply> RequestHandler::route() {
    auto& router = server_.router;
    const auto& request = request_->request;
    if (!router.configuration()) return LocalReply{LocalReplyDetail::noConfiguration, kRetryAfterUnready};
    if (request["X-Attempt-Id"].empty()) return LocalReply{LocalReplyDetail::missingAttemptId};
    Nanos clientTimeout = kDefaultClientTimeout;
    if (const auto deadlineHeader = view(request["X-Deadline-Ms"]); !deadlineHeader.empty()) {
        double millis = 0;
        if (!parse(deadlineHeader, millis) || !(millis >= 0))
            return LocalReply{LocalReplyDetail::invalidDeadline};
        clientTimeout = static_cast<Nanos>(std::min(millis, kMaxClientTimeoutMs) * 1e6);
    }
    request_->configuration = router.configuration();
    const auto host = view(request[http::field::host]);
    if (!router.startRequest(request_->routed, host, view(request.target()), now(), clientTimeout))
        return LocalReply{LocalReplyDetail::noRoute};
    return std::nullopt;
}

void RequestHandler::prepareRequestHeaders() {
    auto& request = request_->request;
    const auto& upload = request_->upload;
    removeHopByHopHeaders(request);
    const auto method = request.method();
    const bool mayOmitLength =
        method == http::verb::get || method == http::verb::head || method == http::verb::delete_;
    if (upload && upload->content_length()) request.content_length(*upload->content_length());
    else if (upload) request.chunked(true);
    else if (!request.body().empty() || !mayOmitLength) request.content_length(request.body().size());
}

// ---- Attempts: first, retries, hedged requests. ----

// Returns the call whose response is passed on; null if there is none and no further attempt is possible.
Task<std::shared_ptr<UpstreamRequest>> RequestHandler::runAttempts() {
    for (;;) {
        if (attemptWanted_ && !request_->uploadStarted && !connection_->clientDisconnected())
            startNextAttempt();
        attemptWanted_ = false;
        const bool allEnded =
            routing::inFlight(request_->routed.attempts) == 0 && endsProcessed_ == attempts_.size();
        if (allEnded) co_return fallback_;  // the router permits no further attempt
        const bool notified = co_await attemptEnded_.wait(nextWakeUp());
        if (!notified) onTimer(now());
        if (connection_->clientDisconnected()) cancelAttempts();
        const auto answered = collectEndedAttempts();
        if (answered) co_return answered;
    }
}

void RequestHandler::startNextAttempt() {
    auto& routed = request_->routed;
    const bool hedgeable = !request_->upload;
    auto attempt = server_.router.nextAttempt(routed, now());
    if (!attempt) {
        // The retry budget or the available hosts are exhausted, possibly only for a short time.
        if (hedgeable) nextHedgeCheck_ = server_.router.nextHedgeCheckAt(routed, now());
        return;
    }
    auto call = std::make_shared<UpstreamRequest>(std::move(attempt));
    call->startedAt = now();
    attempts_.push_back({call});
    nextHedgeCheck_ = hedgeable ? server_.router.hedgeAt(routed, now()) : routed.deadline;
    spawn(server_.io, "attempt", runAttempt(shared_from_this(), call));
}

Nanos RequestHandler::nextWakeUp() const {
    Nanos until =
        deadlinePassed_ ? now() + kCloseTimeout : std::min(request_->routed.deadline, nextHedgeCheck_);
    for (const auto& [call, _] : attempts_)
        if (isUnsent(*call) && !call->aborted) until = std::min(until, call->startedAt + kConnectTimeout);
    return until;
}

// Aborts attempts that have run out of time, and requests a hedged one when it is due.
void RequestHandler::onTimer(Nanos now) {
    const auto& routed = request_->routed;
    deadlinePassed_ = now >= routed.deadline;
    for (const auto& [call, _] : attempts_)
        if (deadlinePassed_ || (isUnsent(*call) && now >= call->startedAt + kConnectTimeout)) call->abort();
    // The client may not send the rest of its body either. It is answered all the same.
    const bool uploading = request_->uploadStarted && !request_->uploadEnded;
    if (deadlinePassed_ && uploading) connection_->cancelRead();
    if (now >= nextHedgeCheck_ && !deadlinePassed_) {
        nextHedgeCheck_ = routed.deadline;
        attemptWanted_ = true;
    }
}

// The client has disconnected. Cancels attempts that are unsent or idempotent. Others continue: the host may
// be executing the request, and a client that only half-closed its connection still gets the response.
void RequestHandler::cancelAttempts() {
    const bool idempotent = request_->routed.route->idempotent;
    for (const auto& [call, _] : attempts_)
        if (idempotent || isUnsent(*call)) call->cancel();
    nextHedgeCheck_ = request_->routed.deadline;
}

// Processes the attempts that have ended since the last call. A response that another attempt might improve
// on becomes the fallback; any other is returned.
std::shared_ptr<UpstreamRequest> RequestHandler::collectEndedAttempts() {
    const auto& routed = request_->routed;
    for (auto& [call, endProcessed] : attempts_) {
        if (call->attempt->inFlight() || endProcessed) continue;
        endProcessed = true;
        ++endsProcessed_;
        if (call->end == AttemptEvent::answered) {
            if (call->response.result_int() < 500 || !routed.route->idempotent) return call;
            fallback_ = call;
        }
        if (routing::inFlight(routed.attempts) == 0) attemptWanted_ = true;
    }
    return nullptr;
}

// The client has its response. Unsent attempts are aborted; others may run until the request's deadline.
Task<> RequestHandler::awaitRemainingAttempts() {
    const auto& routed = request_->routed;
    for (const auto& [call, _] : attempts_)
        if (isUnsent(*call)) call->abort();
    while (routing::inFlight(routed.attempts) > 0) {
        co_await attemptEnded_.wait(std::max(routed.deadline, now() + kCloseTimeout));
        if (now() < routed.deadline) continue;
        for (const auto& [call, _] : attempts_) call->abort();
    }
}

// ---- One attempt. ----

Task<> RequestHandler::runAttempt(std::shared_ptr<RequestHandler> self, UpstreamRequestPtr call) {
    auto& server = self->server_;
    const auto& request = self->request_;
    const auto& routed = request->routed;
    const auto& attempt = *call->attempt;
    const auto& host = *attempt.host();
    // Local variables instead of temporaries in the awaited call: GCC 12 destroys such temporaries twice.
    const std::shared_ptr<const Request> sent(request, &request->request);
    BodyWriter writeBody;
    if (request->upload)
        writeBody = [self](tcp::socket& to) {
            return relayRequestBody(self->connection_, self->request_, to);
        };
    const bool nonIdempotent = !routed.route->idempotent;
    const int maxConnections = server.router.maxConnections(host);
    try {
        co_await server.upstream.call(call, sent, routed.deadline, nonIdempotent, maxConnections, writeBody);
    } catch (const std::exception& error) {
        call->end = endWithoutResponse(attempt);
        call->connection.reset();
        call->unread.reset();
        log("attempt_failed",
            {{"step", "attempt"}, {"peer", host.endpoint.address}, {"error", error.what()}});
    }
    self->reportAttemptEnd(*call);
    self->attemptEnded_.notify();
}

// Reports the host's load and the end of the attempt to the router.
void RequestHandler::reportAttemptEnd(UpstreamRequest& call) {
    auto& router = server_.router;
    auto& attempt = *call.attempt;
    auto& host = *attempt.host();
    const auto& response = call.response;
    const Nanos endedAt = now();
    if (const auto load = response.find("X-Instance-Load"); load != response.end()) {
        const auto parts = split(view(load->value()), ',');
        int running = 0;
        int waiting = 0;
        if (parts.size() >= 2 && parse(parts[0], running) && parse(parts[1], waiting))
            router.onLoadReport(host, running, waiting, endedAt);
    }
    const auto status = static_cast<int>(response.result_int());
    const Nanos elapsed = endedAt - call.startedAt;
    try {
        router.onAttemptEnded(request_->routed, attempt, call.end, status, elapsed, endedAt);
    } catch (const std::logic_error& error) {
        // A bug in the proxy, found by the attempt's state machine. An attempt of unknown end counts as
        // executed.
        ++server_.stats.invalidTransitions;
        log("attempt_transition_rejected",
            {{"step", "attempt"}, {"peer", host.endpoint.address}, {"error", error.what()}});
        if (attempt.inFlight())
            router.onAttemptEnded(request_->routed, attempt, endWithoutResponse(attempt), status, elapsed,
                                  endedAt);
    }
}

// ---- The response. ----

void RequestHandler::respond(UpstreamRequest& call) {
    ++server_.stats.served;
    request_->unreadResponse = std::move(call.unread);
    request_->responseFieldMemory = std::move(call.responseFieldMemory);
    request_->responseMemory = std::move(call.responseMemory);
    request_->response = std::move(call.response);
    connection_->onResponseReady(request_);
}

void RequestHandler::respond(const LocalReply& reply) {
    ++(reply.answerLost() ? server_.stats.failed : server_.stats.rejected);
    request_->response = makeResponse(reply);
    connection_->onResponseReady(request_);
}

}  // namespace lichenlanding::proxy
