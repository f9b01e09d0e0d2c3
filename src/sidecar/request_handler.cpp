#include "sidecar/request_handler.hpp"

#include "sidecar/messages.hpp"

namespace lichenlanding::sidecar {
namespace {

constexpr std::size_t kMaxIdBytes = 256;

}  // namespace

// Sends the newest attempt and suspends until its response arrives.
struct RequestHandler::AttemptAwaiter {
    AttemptAwaiter(RequestHandler& handler_, UpstreamHost& host_, Nanos timeout_)
        : handler(handler_), host(host_), timeout(timeout_) {}
    AttemptAwaiter(const AttemptAwaiter&) = delete;

    RequestHandler& handler;
    UpstreamHost& host;
    Nanos timeout;
    CallResponse response;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> coroutine) {
        handler.connection_ = handler.context_.upstreams().send(
            host, handler.upstreamRequest(timeout), timeout, [this, coroutine](CallResponse received) {
                response = std::move(received);
                coroutine.resume();
            });
    }
    CallResponse await_resume() {
        handler.connection_ = nullptr;
        return std::move(response);
    }
};

RequestHandler::RequestHandler(RequestContext& context, const Settings& settings,
                               std::unique_ptr<ClientRequest> client)
    : context_(context), settings_(settings), client_(std::move(client)) {}

Task RequestHandler::handle() {
    if (const int statusCode = readRequest()) {
        log(LogEvent::client, "refused an invalid request: " + std::to_string(statusCode));
        client_->refuse(statusCode);
        context_.onFinished(*this);
        co_return;
    }
    client_->onDisconnect([this] {
        context_.onClientDisconnect();
        context_.callPolicy([this](PolicyEngine& policy) { policy.onClientDisconnect(request_); });
    });
    context_.callPolicy([this](PolicyEngine& policy) { policy.onRequest(request_); });
    // By now the policy has requested an attempt, or has rejected or failed the request.
    while (const auto timeout = std::exchange(pendingTimeout_, std::nullopt)) {
        auto& attempt = request_.attempts.back();
        // Not a temporary: g++ 12 copies an awaited temporary bytewise and then destroys it twice.
        AttemptAwaiter awaiter(*this, static_cast<UpstreamHost&>(*attempt.pod), *timeout);
        const auto response = co_await awaiter;
        const auto outcome = outcomeOf(response.result);
        const bool forwardsResponse = outcome == Outcome::succeeded && !request_.ended;
        if (forwardsResponse) client_->respond(200, response.body, response.contentType);
        context_.callPolicy([&](PolicyEngine& policy) {
            if (const auto inFlight = parseInFlight(response.loadReport); inFlight >= 0)
                policy.onLoadReport(*attempt.pod, inFlight);
            const auto latency = context_.now() - attempt.sentAt;
            policy.onOutcome(attempt, outcome, latency, forwardsResponse || request_.ended);
        });
    }
    context_.onFinished(*this);
}

int RequestHandler::readRequest() {
    const auto id = client_->header(headers::kCallId);
    const auto group = client_->header(headers::kPathGroup);
    const auto budget = parseBudget(client_->header(headers::kBudget).value_or(""));
    if (!id || id->size() > kMaxIdBytes || !group || !budget) return 400;
    for (const auto& known : settings_.groups)
        if (known.name == *group) request_.group = &known;
    if (!request_.group) return 404;
    const bool idempotent = request_.group->effect == Effect::idempotent;
    if (client_->method() != (idempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST)) return 405;
    idempotencyKey_ = client_->header(headers::kIdempotencyKey).value_or("");
    if (request_.group->effect == Effect::deduplicated && idempotencyKey_.empty()) return 400;
    if (!context_.reserveId(*id)) return 409;  // another request with this id is in flight
    request_.id = *id;
    request_.key = client_->header(headers::kRouteKey).value_or("");
    // The response must be sent before the client times out: earlier by one step of the deployment's clock,
    // but by no more than half of the budget.
    request_.deadline = context_.now() + std::max(*budget - settings_.clockGranularity, *budget / 2);
    request_.cost = parseCost(client_->header(headers::kCost).value_or(""));
    request_.isRetry = client_->header(headers::kRetry) == "1";
    return 0;
}

HttpRequest RequestHandler::upstreamRequest(Nanos timeout) const {
    HttpRequest request{client_->method(), client_->path(), {}, client_->body()};
    request.headers = {{"Host", client_->header("Host").value_or("-")},
                       {headers::kCallId, request_.id},
                       {headers::kPathGroup, request_.group->name},
                       {headers::kBudget, formatBudget(timeout)}};
    if (!idempotencyKey_.empty()) request.headers.push_back({headers::kIdempotencyKey, idempotencyKey_});
    if (const auto type = client_->header("Content-Type")) request.headers.push_back({"Content-Type", *type});
    return request;
}

void RequestHandler::cancel(int attempt) {
    const bool inFlight = attempt >= 0 && attempt < static_cast<int>(request_.attempts.size()) &&
                          request_.attempts[static_cast<std::size_t>(attempt)].inFlight;
    if (inFlight && connection_) connection_->connection.closeWith(CallResult::cancelled);
}

}  // namespace lichenlanding::sidecar
