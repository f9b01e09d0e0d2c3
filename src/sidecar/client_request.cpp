#include "sidecar/client_request.hpp"

#include <cstdio>
#include <utility>

#include "sidecar/http_server.hpp"

namespace lichenlanding::sidecar {

ClientRequest::ClientRequest(HttpServer& server, evhttp_request* request)
    : server_(server), request_(request), connection_(evhttp_request_get_connection(request)) {
    auto* input = evhttp_request_get_input_buffer(request);
    body_.resize(evbuffer_get_length(input));
    evbuffer_remove(input, body_.data(), body_.size());
}

ClientRequest::~ClientRequest() {
    onDisconnect_ = nullptr;
    respond(500);
}

std::optional<std::string> ClientRequest::header(const char* name) const {
    const auto* value = evhttp_find_header(evhttp_request_get_input_headers(request_), name);
    if (!value || !*value) return {};
    return value;
}

bool ClientRequest::beginResponse(const std::string& contentType, Nanos retryAfter) {
    if (std::exchange(responded_, true)) return false;
    if (connection_) server_.onResponseStarting(connection_);
    auto* headers = evhttp_request_get_output_headers(request_);
    const char* type = contentType.empty() ? "application/octet-stream" : contentType.c_str();
    evhttp_add_header(headers, "Content-Type", type);
    if (retryAfter > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retryAfter) / 1e9);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    if (server_.draining() || closesConnection_) evhttp_add_header(headers, "Connection", "close");
    return true;
}

void ClientRequest::respond(int statusCode, const std::string& body, const std::string& contentType,
                            Nanos retryAfter) {
    if (!beginResponse(contentType, retryAfter)) return;
    auto* output = evhttp_request_get_output_buffer(request_);
    if (!body.empty()) evbuffer_add(output, body.data(), body.size());
    // Frees the request if the client has disconnected.
    evhttp_send_reply(request_, statusCode, nullptr, nullptr);
}

void ClientRequest::respond(int statusCode, std::shared_ptr<const std::string> body,
                            const std::string& contentType) {
    using Owner = std::shared_ptr<const std::string>;
    if (!beginResponse(contentType, 0)) return;
    auto* owner = new Owner(std::move(body));
    evbuffer_add_reference(
        evhttp_request_get_output_buffer(request_), (*owner)->data(), (*owner)->size(),
        [](const void*, std::size_t, void* owner) { delete static_cast<Owner*>(owner); }, owner);
    evhttp_send_reply(request_, statusCode, nullptr, nullptr);
}

void ClientRequest::refuse(int statusCode) {
    closesConnection_ = true;
    respond(statusCode);
}

void ClientRequest::disconnected() {
    connection_ = nullptr;
    if (responded_) return;
    if (const auto callback = std::exchange(onDisconnect_, nullptr)) callback();
}

}  // namespace lichenlanding::sidecar
