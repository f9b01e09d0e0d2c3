// The HTTP server for clients: an evhttp server that yields a ClientRequest for each complete request. It
// tracks every connection from its acceptance on, so that idle and slow clients cannot use up the
// descriptors.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "sidecar/client_request.hpp"
#include "sidecar/connection.hpp"
#include "sidecar/request_framing.hpp"

namespace lichenlanding::sidecar {

/// At or above the soft limit a new connection evicts an idle one. If there is none, it is accepted below the
/// hard limit, and closed otherwise.
struct ConnectionLimits {
    std::size_t soft, hard;
};

class HttpServer {
  public:
    using RequestCallback = std::function<void(std::unique_ptr<ClientRequest>)>;

    /// The server responds to readiness requests itself, according to `isReady`; all others are passed to
    /// `onRequest`. Throws std::runtime_error if it cannot listen.
    HttpServer(EventLoop& loop, const Address& listen, ConnectionLimits limits, RequestCallback onRequest,
               std::function<bool()> isReady);
    ~HttpServer();

    /// Begins a graceful shutdown: idle connections are closed, the others after their next response.
    void drain() { draining_ = true; }
    bool draining() const { return draining_; }
    /// Whether a connection is waiting to be accepted.
    bool hasPendingConnection() const;
    Address address() const;
    std::size_t connections() const { return clients_.size(); }

  private:
    friend class ClientRequest;
    struct Client {
        HttpServer& server;
        evhttp_connection* connection;
        Nanos phaseStartedAt;  // start of the current phase: connected, sending a request, response
        ClientRequest* request = nullptr;  // in flight; null if there is none
        bool receiving = false;            // part of the next request may have been received
        bool silent = true;                // no byte was ever received
        RequestFraming framing = {};       // of the request that is being received
        bool exceedsBounds = false;        // its input is discarded until it is closed
    };
    using Clients = std::list<Client>;

    void listen(const Address& address);
    void onAccepted(bufferevent* stream);
    void onRequest(evhttp_request* request);
    void onResponseStarting(evhttp_connection* connection);  // before a response is sent
    void onDisconnect(Client& client);
    static void onInputAdded(evbuffer* input, const evbuffer_cb_info* info, void* client);
    Clients::iterator find(evhttp_connection* connection);
    void beginPhase(Client& client);
    void watchForDisconnect(Client& client);
    void boundInput(Client& client, evbuffer* input, const evbuffer_cb_info& added);
    bool isIdle(const Client& client) const;
    bool isOverdue(const Client& client) const;
    bool evictIdle();
    void sweep();

    EventLoop& loop_;
    RequestCallback onRequest_;
    std::function<bool()> isReady_;
    ConnectionLimits limits_;
    bool draining_ = false;
    LibeventPtr<evhttp> server_;
    evconnlistener* listener_ = nullptr;  // owned by server_
    Timer sweepTimer_;
    Clients clients_;  // ordered by the start of the phase, earliest first
    std::unordered_map<evhttp_connection*, Clients::iterator> byConnection_;  // never iterated
};

}  // namespace lichenlanding::sidecar
