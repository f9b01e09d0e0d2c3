#include "control_plane/admin_response.hpp"

namespace lichenlanding::control_plane {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr const char* kRetryAfterSeconds = "0.2";

}  // namespace

AdminResponse jsonResponse(int status, std::string body) {
    AdminResponse response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

// Invalid UTF-8, which may come from the request, is replaced.
AdminResponse jsonResponse(int status, const Json& body) {
    return jsonResponse(status, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

AdminResponse errorResponse(int status, const std::string& what) {
    return jsonResponse(status, Json{{"error", what}});
}

AdminResponse retryLaterResponse(const std::string& why) {
    auto response = errorResponse(503, why);
    response.set(http::field::retry_after, kRetryAfterSeconds);
    return response;
}

}  // namespace lichenlanding::control_plane
