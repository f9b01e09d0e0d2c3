#include "proxy/http_headers.hpp"

#include "text.hpp"

namespace lichenlanding::proxy {
namespace {

bool isEndToEnd(boost::beast::string_view name) {
    for (const auto* endToEndHeader :
         {"Host", "Content-Length", "Content-Encoding", "X-Attempt-Id", "X-Response-Seal"})
        if (boost::beast::iequals(name, endToEndHeader)) return true;
    return false;
}

// The values of all Connection headers, joined by commas.
std::string connectionOptions(const http::fields& fields) {
    std::string options;
    const auto headers = fields.equal_range(http::field::connection);
    for (auto header = headers.first; header != headers.second; ++header)
        options += std::string(header->value()) + ",";
    return options;
}

}  // namespace

Response makeResponse(const routing::LocalReply& reply) {
    Response response(static_cast<http::status>(reply.status()), 11);
    response.set(http::field::content_type, "application/json");
    if (reply.retryAfter > 0) {
        char seconds[16];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(reply.retryAfter) / 1e9);
        response.set(http::field::retry_after, seconds);
    }
    response.body() = std::string("{\"error\":\"") + reply.text() + "\"}\n";
    return response;
}

void removeHopByHopHeaders(http::fields& fields) {
    const auto options = connectionOptions(fields);
    for (auto name : split(options, ',')) {
        const auto first = name.find_first_not_of(" \t");
        if (first == std::basic_string_view<char, std::char_traits<char>>::npos) continue;
        name = name.substr(first, name.find_last_not_of(" \t") - first + 1);
        const boost::beast::string_view field(name.data(), name.size());
        if (!isEndToEnd(field)) fields.erase(field);
    }
    for (const auto field :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
          http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
        fields.erase(field);
}

bool isAmbiguous(const http::fields& fields) {
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings > 1 || fields.count(http::field::host) > 1 || fields.count("X-Attempt-Id") > 1 ||
           (codings == 1 && !boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

}  // namespace lichenlanding::proxy
