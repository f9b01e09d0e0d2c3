// An HTTP server that stands in for a remote service: an evhttp server whose responses are given by the test.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/sockets.hpp"

class HttpStandIn {
  public:
    using Handler = std::function<void(HttpStandIn&, evhttp_request*)>;
    using Headers = std::vector<std::pair<const char*, const char*>>;

    HttpStandIn(lichenlanding::sidecar::EventLoop& loop, Handler handler)
        : loop_(loop), handler_(std::move(handler)), server_(evhttp_new(loop.base())) {
        evhttp_set_gencb(
            server_.get(),
            [](evhttp_request* request, void* self) { static_cast<HttpStandIn*>(self)->onRequest(request); },
            this);
        auto* bound = evhttp_bind_socket_with_handle(server_.get(), "127.0.0.1", 0);
        address = {"127.0.0.1", ::portOf(evhttp_bound_socket_get_fd(bound))};
    }
    ~HttpStandIn() {
        for (auto* connection : connections_) evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }

    void respond(evhttp_request* request, int code, const std::string& body, const Headers& headers = {}) {
        std::erase(pending, request);
        for (const auto& [name, value] : headers)
            evhttp_add_header(evhttp_request_get_output_headers(request), name, value);
        evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
        evhttp_send_reply(request, code, nullptr, nullptr);
    }
    /// Leaves a request pending and detects if the client disconnects meanwhile.
    void hold(evhttp_request* request) {
        pending.push_back(request);
        auto* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
        bufferevent_event_cb onEvent = nullptr;
        void* context = nullptr;
        bufferevent_getcb(stream, nullptr, nullptr, &onEvent, &context);
        bufferevent_setcb(stream, nullptr, nullptr, onEvent, context);
        bufferevent_enable(stream, EV_READ);
    }
    void respondToPending(int code, const std::string& body, const Headers& headers = {}) {
        const auto requests = std::exchange(pending, {});
        for (auto* request : requests) respond(request, code, body, headers);
    }
    /// Starts a response that stays open; sendChunk() sends parts of it.
    void beginStream(evhttp_request* request) { evhttp_send_reply_start(request, 200, nullptr); }
    void sendChunk(evhttp_request* request, const std::string& bytes) {
        lichenlanding::sidecar::LibeventPtr<evbuffer> chunk(evbuffer_new());
        evbuffer_add(chunk.get(), bytes.data(), bytes.size());
        evhttp_send_reply_chunk(request, chunk.get());
    }
    void sendRaw(evhttp_request* request, const std::string& bytes) {
        send(descriptorOf(request), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void disconnect(evhttp_request* request) {
        auto* connection = evhttp_request_get_connection(request);
        loop_.post([connection] { evhttp_connection_free(connection); });
    }
    void closeAll() {
        for (auto* connection : std::vector(connections_)) evhttp_connection_free(connection);
    }
    /// The port of the client.
    static std::uint16_t portOf(evhttp_request* request) { return ::portOf(descriptorOf(request), true); }
    static std::string bodyOf(evhttp_request* request) {
        auto* input = evhttp_request_get_input_buffer(request);
        const auto length = evbuffer_get_length(input);
        return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
    }

    lichenlanding::sidecar::Address address;
    std::vector<std::string> requestPaths;
    std::vector<evhttp_request*> pending;
    int closed = 0;  // number of closed connections

  private:
    static int descriptorOf(evhttp_request* request) {
        return bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    }
    void onRequest(evhttp_request* request) {
        requestPaths.emplace_back(evhttp_request_get_uri(request));
        auto* connection = evhttp_request_get_connection(request);
        if (std::find(connections_.begin(), connections_.end(), connection) == connections_.end())
            connections_.push_back(connection);
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection* closed, void* self) { static_cast<HttpStandIn*>(self)->onClose(closed); },
            this);
        handler_(*this, request);
    }
    void onClose(evhttp_connection* connection) {
        std::erase(connections_, connection);
        std::erase_if(pending, [&](auto* request) {
            auto* of = evhttp_request_get_connection(request);
            // Without a connection, because the client has disconnected, the request has to be freed here.
            if (!of) evhttp_request_free(request);
            return !of || of == connection;
        });
        ++closed;
    }

    lichenlanding::sidecar::EventLoop& loop_;
    Handler handler_;
    std::vector<evhttp_connection*> connections_;
    lichenlanding::sidecar::LibeventPtr<evhttp> server_;
};
