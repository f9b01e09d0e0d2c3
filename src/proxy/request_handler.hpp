/// Takes one request through routing to the hosts: first attempt, retries and hedged requests.
#pragma once

#include <optional>

#include "proxy/client_connection.hpp"

namespace lichenlanding::proxy {

/// Requests attempts from the router, runs them and selects the response; the retry and hedging policy is the
/// router's. Kept alive by its own coroutines. Used from one thread: the server's event loop.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
  public:
    RequestHandler(HttpServerContext& server, std::shared_ptr<ClientConnection> connection,
                   std::shared_ptr<RequestContext> request);

    /// Runs until the response was handed to the connection and every attempt has ended.
    static transport::Task<> handle(std::shared_ptr<RequestHandler> self);

  private:
    using UpstreamRequestPtr = std::shared_ptr<UpstreamRequest>;
    struct AttemptRecord {
        UpstreamRequestPtr call;
        bool endProcessed = false;  // collectEndedAttempts() has processed its end
    };

    transport::Task<std::optional<routing::LocalReply>> admit();
    std::optional<routing::LocalReply> route();
    void prepareRequestHeaders();
    transport::Task<UpstreamRequestPtr> runAttempts();
    void startNextAttempt();
    Nanos nextWakeUp() const;
    void onTimer(Nanos now);
    void cancelAttempts();
    UpstreamRequestPtr collectEndedAttempts();
    transport::Task<> awaitRemainingAttempts();

    static transport::Task<> runAttempt(std::shared_ptr<RequestHandler> self, UpstreamRequestPtr call);
    void reportAttemptEnd(UpstreamRequest& call);

    void respond(UpstreamRequest& call);
    void respond(const routing::LocalReply& reply);

    HttpServerContext& server_;
    std::shared_ptr<ClientConnection> connection_;
    std::shared_ptr<RequestContext> request_;
    transport::AsyncEvent attemptEnded_;
    std::vector<AttemptRecord> attempts_;
    std::size_t endsProcessed_ = 0;  // number of `attempts_` whose end was processed
    bool attemptWanted_ = true;      // start another attempt if the router permits one
    bool deadlinePassed_ = false;    // all attempts have been aborted
    Nanos nextHedgeCheck_ = 0;  // when to ask the router for a hedged request; the request's deadline: never
    UpstreamRequestPtr fallback_;  // a host's response that is used if no further attempt yields a better one
};

}  // namespace lichenlanding::proxy
