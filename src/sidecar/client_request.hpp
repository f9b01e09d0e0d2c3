// A request that a client sent to the HttpServer, and its response.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

class HttpServer;

/// Responds with 500 if it is destroyed before respond() or refuse() was called.
class ClientRequest {
  public:
    ClientRequest(HttpServer& server, evhttp_request* request);
    ~ClientRequest();
    ClientRequest(const ClientRequest&) = delete;

    /// The value of a header; nothing if it is missing or empty.
    std::optional<std::string> header(const char* name) const;
    evhttp_cmd_type method() const { return evhttp_request_get_command(request_); }
    /// The path with its query string.
    std::string path() const { return evhttp_request_get_uri(request_); }
    const std::string& body() const { return body_; }
    /// Sets a callback for a client that disconnects before its response.
    void onDisconnect(std::function<void()> callback) { onDisconnect_ = std::move(callback); }

    /// Sends the response at once; further calls have no effect. A `retryAfter` of 0 sends no Retry-After.
    void respond(int statusCode, const std::string& body = {}, const std::string& contentType = {},
                 Nanos retryAfter = 0);
    /// Sends a large body without copying it; the body is kept alive until it has been written.
    void respond(int statusCode, std::shared_ptr<const std::string> body, const std::string& contentType);
    /// Responds and closes the connection: after an invalid request, request boundaries are unreliable.
    void refuse(int statusCode);

  private:
    friend class HttpServer;
    bool beginResponse(const std::string& contentType, Nanos retryAfter);  // false: already responded
    void disconnected();

    HttpServer& server_;
    evhttp_request* request_;  // owned by evhttp until the response is sent
    evhttp_connection* connection_;
    std::string body_;
    std::function<void()> onDisconnect_;
    bool responded_ = false, closesConnection_ = false;
};

}  // namespace lichenlanding::sidecar
