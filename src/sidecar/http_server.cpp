#include "sidecar/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "sidecar/messages.hpp"
#include "sidecar/request_validation.hpp"

namespace lichenlanding::sidecar {
namespace {

constexpr Nanos kSweepInterval = 20'000'000;
constexpr Nanos kSilenceAllowed = 200'000'000;    // a client with a request to send has begun by then
constexpr Nanos kRequestTimeout = 2'400'000'000;  // from the connection's start, or the request's first byte
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxReadAhead = 4 * 1024;  // of what a client sends before it has its response
constexpr auto kEveryMethod = 0xffff;            // wrong ones are answered here, not by evhttp

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const Address& address, ConnectionLimits limits,
                       RequestCallback onRequest, std::function<bool()> isReady)
    : loop_(loop),
      onRequest_(std::move(onRequest)),
      isReady_(std::move(isReady)),
      limits_(limits),
      server_(evhttp_new(loop.base())),
      sweepTimer_(loop, [this] { sweep(); }) {
    if (!server_) throw std::runtime_error("cannot make a server");
    evhttp_set_max_body_size(server_.get(), kMaxBodyBytes);
    evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
    evhttp_set_allowed_methods(server_.get(), kEveryMethod);
    evhttp_set_gencb(
        server_.get(),
        [](evhttp_request* request, void* self) {
            logExceptions([&] { static_cast<HttpServer*>(self)->onRequest(request); });
        },
        this);
    evhttp_set_bevcb(
        server_.get(),
        [](event_base* base, void* context) {
            auto* stream = bufferevent_socket_new(base, -1, 0);
            auto& self = *static_cast<HttpServer*>(context);
            if (!stream) return stream;
            bufferevent_incref(stream);
            logExceptions([&] { self.loop_.post([&self, stream] { self.onAccepted(stream); }); });
            return stream;
        },
        this);
    listen(address);
    sweepTimer_.start(kSweepInterval);
}

void HttpServer::listen(const Address& address) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &local.sin_addr);
    listener_ = evconnlistener_new_bind(loop_.base(), nullptr, nullptr,
                                        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                        SOMAXCONN, reinterpret_cast<sockaddr*>(&local), sizeof local);
    if (!listener_)
        throw std::runtime_error("cannot listen on " + address.text() + ": " + std::strerror(errno));
    const int on = 1;  // accepted connections inherit it
    setsockopt(evconnlistener_get_fd(listener_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    evhttp_bind_listener(server_.get(), listener_);
    // Guards against a loop that spins on accept() while there are no descriptors; sweep() enables it again.
    // The listener is evhttp's, and so is the callback's context: it is no HttpServer.
    evconnlistener_set_error_cb(listener_, [](evconnlistener* listener, void*) {
        evconnlistener_disable(listener);
        logExceptions([] {
            log(LogEvent::overload, "cannot accept a connection: " + std::string(std::strerror(errno)));
        });
    });
}

HttpServer::~HttpServer() {
    while (!clients_.empty()) {
        auto& client = clients_.front();
        evhttp_connection_set_closecb(client.connection, nullptr, nullptr);
        onDisconnect(client);
    }
}

Address HttpServer::address() const {
    sockaddr_in local{};
    socklen_t size = sizeof local;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&local), &size);
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &local.sin_addr, host, sizeof host);
    return {host, ntohs(local.sin_port)};
}

// evhttp does not announce the connections it accepts; they are the context of its streams' callbacks.
void HttpServer::onAccepted(bufferevent* stream) {
    void* context = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, nullptr, &context);
    const bool freed = bufferevent_decref(stream);
    auto* connection = static_cast<evhttp_connection*>(context);
    if (freed || !connection) return;
    if (clients_.size() >= limits_.soft && !evictIdle() && clients_.size() >= limits_.hard) {
        log(LogEvent::overload,
            "connection limit: " + std::to_string(clients_.size()) + " client connections");
        return evhttp_connection_free(connection);
    }
    const auto client = clients_.insert(clients_.end(), {*this, connection, loop_.now()});
    byConnection_.emplace(connection, client);
    evbuffer_add_cb(bufferevent_get_input(stream), onBytes, &*client);
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection*, void* context) {
            auto& client = *static_cast<Client*>(context);
            logExceptions([&] { client.server.onDisconnect(client); });
        },
        &*client);
}

void HttpServer::onRequest(evhttp_request* request) {
    auto clientRequest = std::make_unique<ClientRequest>(*this, request);
    bool valid = isUnambiguous(request);
    if (clientRequest->connection_) {
        auto& client = *find(clientRequest->connection_);
        auto* stream = evhttp_connection_get_bufferevent(client.connection);
        // Clients send one request at a time: bytes behind it belong to it, and its length is wrong.
        valid = valid && evbuffer_get_length(bufferevent_get_input(stream)) == 0;
        client.request = clientRequest.get();
        client.receiving = false;
        beginPhase(client);
        watchForDisconnect(client);
    }
    if (!valid) return clientRequest->refuse(400);
    const auto* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    if (path && std::string_view(path) == paths::kReady)
        return clientRequest->respond(isReady_() && !draining_ ? 200 : 503);
    onRequest_(std::move(clientRequest));
}

HttpServer::Clients::iterator HttpServer::find(evhttp_connection* connection) {
    return byConnection_.at(connection);
}

void HttpServer::onResponse(evhttp_connection* connection) {
    auto& client = *find(connection);
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    client.request = nullptr;
    client.receiving = evbuffer_get_length(bufferevent_get_input(stream)) > 0;
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    beginPhase(client);
}

void HttpServer::beginPhase(Client& client) {
    client.since = loop_.now();
    clients_.splice(clients_.end(), clients_, find(client.connection));
}

void HttpServer::onBytes(evbuffer* /*unused*/, const evbuffer_cb_info* info, void* context) {
    auto& client = *static_cast<Client*>(context);
    if (info->n_added == 0 || client.receiving) return;
    client.receiving = true;
    // The request time-out counts from the request's first byte, but the first one's from the start.
    if (!std::exchange(client.silent, false) && !client.request) client.server.beginPhase(client);
}

// The connection is read while a request is in flight, to see the client leave. evhttp's own reader would
// abort the program over bytes that come then, from a client that does not wait for its response.
void HttpServer::watchForDisconnect(Client& client) {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    bufferevent_data_cb onWritten = nullptr;
    bufferevent_event_cb onEvent = nullptr;
    void* context = nullptr;
    bufferevent_getcb(stream, nullptr, &onWritten, &onEvent, &context);
    bufferevent_setcb(stream, nullptr, onWritten, onEvent, context);
    bufferevent_setwatermark(stream, EV_READ, 0, kMaxReadAhead);
    bufferevent_enable(stream, EV_READ);
}

void HttpServer::onDisconnect(Client& client) {
    auto* request = client.request;
    const auto found = byConnection_.find(client.connection);
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    evbuffer_remove_cb(bufferevent_get_input(stream), onBytes, &client);
    clients_.erase(found->second);
    byConnection_.erase(found);
    if (request) request->disconnected();
}

// Between requests, with nothing unread on it, nor part of a request read by evhttp: what a client is writing
// may be complete by the time a close reaches it.
bool HttpServer::isIdle(const Client& client) const {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    if (client.request || client.receiving) return false;
    int unread = 0;
    return ioctl(bufferevent_getfd(stream), FIONREAD, &unread) == 0 && unread == 0 &&
           evbuffer_get_length(bufferevent_get_output(stream)) == 0;
}

// First the longest silent of those that have never sent a byte, then the longest idle. Guards against
// clients that connect and send nothing, and those that send one request and stay. Harm: the client connects
// anew.
bool HttpServer::evictIdle() {
    const auto now = loop_.now();
    auto evicted = std::find_if(clients_.begin(), clients_.end(), [&](auto& client) {
        return client.silent && now - client.since > kSilenceAllowed && isIdle(client);
    });
    if (evicted == clients_.end())
        evicted =
            std::find_if(clients_.begin(), clients_.end(), [&](auto& client) { return isIdle(client); });
    if (evicted == clients_.end()) return false;
    evhttp_connection_free(evicted->connection);
    return true;
}

void HttpServer::sweep() {
    sweepTimer_.start(kSweepInterval);
    evconnlistener_enable(listener_);
    const auto now = loop_.now();
    std::vector<evhttp_connection*> expired;
    for (auto& client : clients_) {
        // While draining, a client that does not read its response must not hold the process up either.
        const bool unfinished = !client.request && (client.silent || client.receiving || draining_);
        if ((unfinished && now - client.since > kRequestTimeout) || (draining_ && isIdle(client)))
            expired.push_back(client.connection);
    }
    for (auto* connection : expired) evhttp_connection_free(connection);
}

bool HttpServer::hasPendingConnection() const {
    pollfd pending{evconnlistener_get_fd(listener_), POLLIN, 0};
    return poll(&pending, 1, 0) > 0;
}

}  // namespace lichenlanding::sidecar
