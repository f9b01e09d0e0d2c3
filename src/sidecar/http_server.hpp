// The server that clients see: an evhttp server, and one ClientRequest for each complete request. Connections
// are followed from their first byte or silence on, so that no client can hold more than its share.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "sidecar/client_request.hpp"
#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

/// From the soft limit on a new connection evicts an idle one if there is one; at the hard limit it is closed
/// if there is none.
struct ConnectionLimits {
    std::size_t soft, hard;
};

class HttpServer {
  public:
    using RequestCallback = std::function<void(std::unique_ptr<ClientRequest>)>;

    /// Requests for readiness are answered here, by `isReady`; all others go to `onRequest`. Throws
    /// std::runtime_error if it cannot listen.
    HttpServer(EventLoop& loop, const Address& listen, ConnectionLimits limits, RequestCallback onRequest,
               std::function<bool()> isReady);
    ~HttpServer();

    /// Graceful shutdown: each connection gets one more response, and idle ones are closed.
    void drain() { draining_ = true; }
    bool draining() const { return draining_; }
    /// Whether a client has connected that is not accepted yet.
    bool hasPendingConnection() const;
    Address address() const;
    std::size_t connections() const { return clients_.size(); }

  private:
    friend class ClientRequest;
    struct Client {
        HttpServer& server;
        evhttp_connection* connection;
        Nanos since;                       // when its present phase began: silent, sending, responded
        ClientRequest* request = nullptr;  // the one in flight
        bool receiving = false;            // part of a next request may have come
        bool silent = true;                // no byte has ever come
    };
    using Clients = std::list<Client>;

    void listen(const Address& address);
    void onAccepted(bufferevent* stream);
    void onRequest(evhttp_request* request);
    void onResponse(evhttp_connection* connection);  // is about to be sent
    void onDisconnect(Client& client);
    static void onBytes(evbuffer* input, const evbuffer_cb_info* info, void* client);
    Clients::iterator find(evhttp_connection* connection);
    void beginPhase(Client& client);
    void watchForDisconnect(Client& client);
    bool isIdle(const Client& client) const;
    bool evictIdle();
    void sweep();

    EventLoop& loop_;
    RequestCallback onRequest_;
    std::function<bool()> isReady_;
    ConnectionLimits limits_;
    bool draining_ = false;
    LibeventPtr<evhttp> server_;
    evconnlistener* listener_ = nullptr;  // the server's
    Timer sweepTimer_;
    Clients clients_;  // the one longest in its phase first
    std::unordered_map<evhttp_connection*, Clients::iterator> byConnection_;  // never iterated
};

}  // namespace lichenlanding::sidecar
