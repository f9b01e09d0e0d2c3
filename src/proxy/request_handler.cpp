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

constexpr Nanos kConnectWithin =
    250 * kMillisecond;  // a host's connection comes up, or the attempt is given up
constexpr Nanos kCloseWithin =
    20 * kMillisecond;  // an attempt whose connection was closed here has ended by then
constexpr Nanos kStartWithin =
    150 * kMillisecond;  // a request that comes before the proxy is ready waits so long
constexpr Nanos kStartPollEvery = 10 * kMillisecond;
constexpr Nanos kRetryAfterUnready = 300 * kMillisecond;
constexpr Nanos kDefaultClientTimeout = 60 * kSecond;  // for requests without X-Deadline-Ms
constexpr double kMaxClientTimeoutMs = 6e5;

// Whether the client has closed its side, and all that it sent is read.
bool hasPeerClosed(tcp::socket& socket) {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool isUnsent(const UpstreamRequest& call) { return call.attempt->state() == AttemptState::unsent; }

// How an attempt has ended whose own end cannot be told.
AttemptEvent endWithoutAnswer(const routing::Attempt& attempt) {
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
    self->request_->onClientLeft = [weak = std::weak_ptr(self)] {
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

// A proxy that has just started, or that stood still, waits a moment for what control nodes are about to tell
// it.
Task<std::optional<LocalReply>> RequestHandler::admit() {
    const auto& router = server_.router;
    const bool stoodStill = !server_.awake();
    const Nanos until = now() + kStartWithin;
    while (!(router.ready() && server_.awake()) && now() < until) co_await sleep(kStartPollEvery);
    const bool clientLeft = connection_->clientLeft() ||
                            (stoodStill && !connection_->closed() && hasPeerClosed(connection_->socket));
    if (clientLeft) co_return LocalReply{LocalReplyDetail::clientGone, kRetryAfterUnready};
    co_return route();
}

// The route and the deadline; a local reply where the request cannot have them.
std::optional<LocalReply> RequestHandler::route() {
    auto& router = server_.router;
    const auto& request = request_->request;
    if (!router.configuration()) return LocalReply{LocalReplyDetail::noConfiguration, kRetryAfterUnready};
    if (request["X-Attempt-Id"].empty()) return LocalReply{LocalReplyDetail::missingAttemptId};
    Nanos clientTimeout = kDefaultClientTimeout;
    if (const auto told = view(request["X-Deadline-Ms"]); !told.empty()) {
        double millis = 0;
        if (!parse(told, millis) || !(millis >= 0)) return LocalReply{LocalReplyDetail::invalidDeadline};
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

// The call whose response is to be passed on; null where there is none and nothing more to try.
Task<std::shared_ptr<UpstreamRequest>> RequestHandler::runAttempts() {
    for (;;) {
        if (attemptWanted_ && !request_->uploadStarted && !connection_->clientLeft()) startNextAttempt();
        attemptWanted_ = false;
        const bool allEnded =
            routing::inFlight(request_->routed.attempts) == 0 && endsSeen_ == attempts_.size();
        if (allEnded) co_return fallback_;  // given up, at once
        const bool notified = co_await attemptEnded_.wait(nextWakeUp());
        if (!notified) onTimer(now());
        if (connection_->clientLeft()) cancelAttempts();
        const auto answered = collectEndedAttempts();
        if (answered) co_return answered;
    }
}

void RequestHandler::startNextAttempt() {
    auto& routed = request_->routed;
    const bool hedgeable = !request_->upload;
    auto attempt = server_.router.nextAttempt(routed, now());
    if (!attempt) {
        // For want of retry budget or of hosts, and maybe not for long.
        if (hedgeable) nextHedgeCheck_ = server_.router.nextHedgeCheckAt(routed, now());
        return;
    }
    auto call = std::make_shared<UpstreamRequest>(std::move(attempt));
    call->began = now();
    attempts_.push_back({call});
    nextHedgeCheck_ = hedgeable ? server_.router.hedgeAt(routed, now()) : routed.deadline;
    spawn(server_.io, "attempt", runAttempt(shared_from_this(), call));
}

Nanos RequestHandler::nextWakeUp() const {
    Nanos until =
        deadlinePassed_ ? now() + kCloseWithin : std::min(request_->routed.deadline, nextHedgeCheck_);
    for (const auto& [call, _] : attempts_)
        if (isUnsent(*call) && !call->aborted) until = std::min(until, call->began + kConnectWithin);
    return until;
}

// Ends what has no time left, and asks for a hedged request if it is time for one.
void RequestHandler::onTimer(Nanos now) {
    const auto& routed = request_->routed;
    deadlinePassed_ = now >= routed.deadline;
    for (const auto& [call, _] : attempts_)
        if (deadlinePassed_ || (isUnsent(*call) && now >= call->began + kConnectWithin)) call->abort();
    if (deadlinePassed_ && request_->uploadStarted) connection_->close();  // its client may send no more
    if (now >= nextHedgeCheck_ && !deadlinePassed_) {
        nextHedgeCheck_ = routed.deadline;
        attemptWanted_ = true;
    }
}

// The client has left. Ends what is not sent yet, and what may be repeated; what may run only once is let run
// on: its pod may be at work, and a client that has closed only its own side still gets the response.
void RequestHandler::cancelAttempts() {
    const bool repeatable = request_->routed.route->idempotent;
    for (const auto& [call, _] : attempts_)
        if (repeatable || isUnsent(*call)) call->cancel();
    nextHedgeCheck_ = request_->routed.deadline;
}

// Looks at the attempts that have ended since the last time. An answer that another attempt might better is
// kept, any other is the one to pass on.
std::shared_ptr<UpstreamRequest> RequestHandler::collectEndedAttempts() {
    const auto& routed = request_->routed;
    for (auto& [call, endSeen] : attempts_) {
        if (call->attempt->inFlight() || endSeen) continue;
        endSeen = true;
        ++endsSeen_;
        if (call->end == AttemptEvent::answered) {
            if (call->response.result_int() < 500 || !routed.route->idempotent) return call;
            fallback_ = call;
        }
        if (routing::inFlight(routed.attempts) == 0) attemptWanted_ = true;
    }
    return nullptr;
}

// The client has its response. What has not been written is given up; what is with a host may run on, and
// ends with the request's deadline at the latest.
Task<> RequestHandler::awaitRemainingAttempts() {
    const auto& routed = request_->routed;
    for (const auto& [call, _] : attempts_)
        if (isUnsent(*call)) call->abort();
    while (routing::inFlight(routed.attempts) > 0) {
        co_await attemptEnded_.wait(std::max(routed.deadline, now() + kCloseWithin));
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
    // Locals, not temporaries of the awaited call: GCC 12 destroys such ones twice.
    const std::shared_ptr<const Request> sent(request, &request->request);
    BodyWriter writeBody;
    if (request->upload)
        writeBody = [self](tcp::socket& to) {
            return relayRequestBody(self->connection_, self->request_, to);
        };
    const bool runsOnce = !routed.route->idempotent;
    const int maxConnections = server.router.maxConnections(host);
    try {
        co_await server.upstream.call(call, sent, routed.deadline, runsOnce, maxConnections, writeBody);
    } catch (const std::exception& error) {
        call->end = endWithoutAnswer(attempt);
        call->connection.reset();
        call->unread.reset();
        log("attempt_failed",
            {{"step", "attempt"}, {"peer", host.endpoint.address}, {"error", error.what()}});
    }
    self->reportAttemptEnd(*call);
    self->attemptEnded_.notify();
}

// Tells the router what the host has said of its load, and how the attempt has ended.
void RequestHandler::reportAttemptEnd(UpstreamRequest& call) {
    auto& router = server_.router;
    auto& attempt = *call.attempt;
    auto& host = *attempt.host();
    const auto& response = call.response;
    const Nanos at = now();
    if (const auto load = response.find("X-Instance-Load"); load != response.end()) {
        const auto parts = split(view(load->value()), ',');
        int running = 0;
        int waiting = 0;
        if (parts.size() >= 2 && parse(parts[0], running) && parse(parts[1], waiting))
            router.onLoadReport(host, running, waiting, at);
    }
    const auto status = static_cast<int>(response.result_int());
    const Nanos took = at - call.began;
    try {
        router.onAttemptEnded(request_->routed, attempt, call.end, status, took, at);
    } catch (const std::logic_error& error) {
        // A fault of ours, told by the table. What is not known counts as executed.
        ++server_.stats.invalidTransitions;
        log("attempt_transition_rejected",
            {{"step", "attempt"}, {"peer", host.endpoint.address}, {"error", error.what()}});
        if (attempt.inFlight())
            router.onAttemptEnded(request_->routed, attempt, endWithoutAnswer(attempt), status, took, at);
    }
}

// ---- The response. ----

void RequestHandler::respond(UpstreamRequest& call) {
    ++server_.stats.served;
    request_->unreadResponse = std::move(call.unread);
    request_->response = std::move(call.response);
    connection_->onResponseReady(request_);
}

void RequestHandler::respond(const LocalReply& reply) {
    ++(reply.answerLost() ? server_.stats.failed : server_.stats.rejected);
    request_->response = makeResponse(reply);
    connection_->onResponseReady(request_);
}

}  // namespace lichenlanding::proxy
