// HTTP responses of the admin API.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace lichenlanding::control_plane {

using AdminRequest = boost::beast::http::request<boost::beast::http::string_body>;
using AdminResponse = boost::beast::http::response<boost::beast::http::string_body>;

AdminResponse jsonResponse(int status, std::string body);
AdminResponse jsonResponse(int status, const nlohmann::json& body);
/// {"error": what}
AdminResponse errorResponse(int status, const std::string& what);
/// 503 with Retry-After. The request may or may not have taken effect; the caller should retry, here or at
/// another process.
AdminResponse retryLaterResponse(const std::string& why);

}  // namespace lichenlanding::control_plane
