// One client's request on the HttpServer, and the one response to it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

class HttpServer;

/// Responds with 500 if it is destroyed before a response was given.
class ClientRequest {
  public:
    ClientRequest(HttpServer& server, evhttp_request* request);
    ~ClientRequest();
    ClientRequest(const ClientRequest&) = delete;

    /// Nothing if there is no such header, or it is empty.
    std::optional<std::string> header(const char* name) const;
    evhttp_cmd_type method() const { return evhttp_request_get_command(request_); }
    /// With its query.
    std::string path() const { return evhttp_request_get_uri(request_); }
    const std::string& body() const { return body_; }
    /// Called if the client leaves before its response.
    void onDisconnect(std::function<void()> callback) { onDisconnect_ = std::move(callback); }

    /// Sends the response at once; only the first one counts. retryAfter 0: no advice.
    void respond(int statusCode, const std::string& body = {}, const std::string& contentType = {},
                 Nanos retryAfter = 0);
    /// With a large body, which is kept alive instead of copied.
    void respond(int statusCode, std::shared_ptr<const std::string> body, const std::string& contentType);
    /// Responds and ends the connection, on which nothing can be trusted after an invalid request.
    void refuse(int statusCode);

  private:
    friend class HttpServer;
    bool beginResponse(const std::string& contentType, Nanos retryAfter);  // false: there was one already
    void disconnected();

    HttpServer& server_;
    evhttp_request* request_;  // owned by evhttp, until the response is given
    evhttp_connection* connection_;
    std::string body_;
    std::function<void()> onDisconnect_;
    bool responded_ = false, closesConnection_ = false;
};

}  // namespace lichenlanding::sidecar
