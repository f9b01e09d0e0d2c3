#include "sidecar/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>

#include "sidecar/messages.hpp"
#include "sidecar/request_validation.hpp"

namespace lichenlanding::sidecar {
namespace {

constexpr Nanos kSweepInterval = 20'000'000;
constexpr Nanos kMinSilenceForEviction = 200'000'000;  // a client with a request sends its first byte sooner
constexpr Nanos kRequestTimeout = 2'400'000'000;       // since the accept or the request's first byte
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr int kMaxInputExtents = 16;  // pieces of memory that one read fills; libevent uses at most four
constexpr std::size_t kMaxReadAheadBytes = 4 * 1024;  // received while a request is in flight
constexpr auto kAllMethods = 0xffff;                  // this program, not evhttp, rejects other methods

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const Address& address, ConnectionLimits limits,
                       RequestCallback onRequest, std::function<bool()> isReady)
    : loop_(loop),
      onRequest_(std::move(onRequest)),
      isReady_(std::move(isReady)),
      limits_(limits),
      server_(evhttp_new(loop.base())),
      sweepTimer_(loop, [this] { sweep(); }) {
    if (!server_) throw std::runtime_error("cannot create the HTTP server");
    evhttp_set_max_body_size(server_.get(), kMaxBodyBytes);
    evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
    evhttp_set_allowed_methods(server_.get(), kAllMethods);
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
    const int enable = 1;  // accepted connections inherit it
    setsockopt(evconnlistener_get_fd(listener_), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    evhttp_bind_listener(server_.get(), listener_);
    // Disabling the listener prevents a busy loop on accept() while there are no descriptors; sweep() enables
    // it again. The callback's context belongs to evhttp: it is not this HttpServer.
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

// evhttp has no callback for accepted connections; the connection is found as the context of the stream's
// callbacks.
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
    evbuffer_add_cb(bufferevent_get_input(stream), onInputAdded, &*client);
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
        // Clients must not pipeline: bytes after the request mean that its declared length is wrong.
        valid = valid && evbuffer_get_length(bufferevent_get_input(stream)) == 0;
        client.request = clientRequest.get();
        client.framing = {};
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

void HttpServer::onResponseStarting(evhttp_connection* connection) {
    auto& client = *find(connection);
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    client.request = nullptr;
    client.receiving = evbuffer_get_length(bufferevent_get_input(stream)) > 0;
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    beginPhase(client);
}

void HttpServer::beginPhase(Client& client) {
    client.phaseStartedAt = loop_.now();
    clients_.splice(clients_.end(), clients_, find(client.connection));
}

void HttpServer::onInputAdded(evbuffer* input, const evbuffer_cb_info* info, void* context) {
    auto& client = *static_cast<Client*>(context);
    if (info->n_added > 0) client.server.boundInput(client, input, *info);
    if (info->n_added == 0 || client.receiving) return;
    client.receiving = true;
    // The request timeout starts at the request's first byte; for the first request, at the accept.
    if (!std::exchange(client.silent, false) && !client.request) client.server.beginPhase(client);
}

// Runs before evhttp sees the bytes that were added. sweep() closes the connection, since evhttp uses it
// until the event has been handled.
void HttpServer::boundInput(Client& client, evbuffer* input, const evbuffer_cb_info& added) {
    evbuffer_ptr position;
    evbuffer_ptr_set(input, &position, added.orig_size, EVBUFFER_PTR_SET);
    std::array<evbuffer_iovec, kMaxInputExtents> extents;
    const auto count = evbuffer_peek(input, -1, &position, extents.data(), kMaxInputExtents);
    for (int extent = 0; extent < std::min(count, kMaxInputExtents); ++extent) {
        const auto& [base, length] = extents[static_cast<std::size_t>(extent)];
        if (!client.framing.add({static_cast<const char*>(base), length})) client.exceedsBounds = true;
    }
    if (count > kMaxInputExtents) client.exceedsBounds = true;
    if (client.exceedsBounds) evbuffer_drain(input, evbuffer_get_length(input));
}

// Reads the connection while a request is in flight, to detect that the client disconnects. evhttp's own read
// callback is removed: it would abort the process if a client sent bytes before it had its response.
void HttpServer::watchForDisconnect(Client& client) {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    bufferevent_data_cb onWritten = nullptr;
    bufferevent_event_cb onEvent = nullptr;
    void* context = nullptr;
    bufferevent_getcb(stream, nullptr, &onWritten, &onEvent, &context);
    bufferevent_setcb(stream, nullptr, onWritten, onEvent, context);
    bufferevent_setwatermark(stream, EV_READ, 0, kMaxReadAheadBytes);
    bufferevent_enable(stream, EV_READ);
}

void HttpServer::onDisconnect(Client& client) {
    auto* request = client.request;
    const auto found = byConnection_.find(client.connection);
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    evbuffer_remove_cb(bufferevent_get_input(stream), onInputAdded, &client);
    clients_.erase(found->second);
    byConnection_.erase(found);
    if (request) request->disconnected();
}

// Whether the connection is between requests, with no unread bytes and no part of a request received by
// evhttp: otherwise the client's request might be complete by the time that it sees the close.
bool HttpServer::isIdle(const Client& client) const {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    if (client.request || client.receiving) return false;
    int unread = 0;
    return ioctl(bufferevent_getfd(stream), FIONREAD, &unread) == 0 && unread == 0 &&
           evbuffer_get_length(bufferevent_get_output(stream)) == 0;
}

// Closes the connection that has been open longest without sending a byte or, if there is none, the one idle
// for longest. Protects against clients that connect and send nothing, and those that send one request and
// stay connected. The cost is that an evicted client has to reconnect.
bool HttpServer::evictIdle() {
    const auto now = loop_.now();
    auto evicted = std::find_if(clients_.begin(), clients_.end(), [&](auto& client) {
        return client.silent && now - client.phaseStartedAt > kMinSilenceForEviction && isIdle(client);
    });
    if (evicted == clients_.end())
        evicted =
            std::find_if(clients_.begin(), clients_.end(), [&](auto& client) { return isIdle(client); });
    if (evicted == clients_.end()) return false;
    evhttp_connection_free(evicted->connection);
    return true;
}

// Whether the client has exceeded a bound or has not completed its request in time.
bool HttpServer::isOverdue(const Client& client) const {
    if (client.request) return false;
    if (client.exceedsBounds) return true;
    // While draining, a client that does not read its response must not delay the shutdown either.
    const bool unfinished = client.silent || client.receiving || draining_;
    return unfinished && loop_.now() - client.phaseStartedAt > kRequestTimeout;
}

void HttpServer::sweep() {
    sweepTimer_.start(kSweepInterval);
    evconnlistener_enable(listener_);
    std::vector<evhttp_connection*> expired;
    for (auto& client : clients_)
        if (isOverdue(client) || (draining_ && isIdle(client))) expired.push_back(client.connection);
    for (auto* connection : expired) evhttp_connection_free(connection);
}

bool HttpServer::hasPendingConnection() const {
    pollfd pending{evconnlistener_get_fd(listener_), POLLIN, 0};
    return poll(&pending, 1, 0) > 0;
}

}  // namespace lichenlanding::sidecar
