#include "control_plane/endpoint_list_client.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "limits/process_limits.hpp"
#include "messages/codec.hpp"
#include "transport/bounded_parser.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
namespace http = boost::beast::http;

namespace {

constexpr Nanos kRequestTimeout = 700 * kMillisecond;
constexpr Nanos kSilenceTimeout = 2 * kSecond;
constexpr std::size_t kMaxHeaderBytes = 64 << 10;

// Path, parameter and fields of the platform's API.
constexpr const char* kPath = "/instances";
constexpr const char* kTokenParameter = "?page_token=";
constexpr const char* kListField = "instance_list";
constexpr const char* kNextTokenField = "next_token";

}  // namespace

EndpointListPage decodeEndpointListPage(const std::string& body) {
    const auto decoded = nlohmann::json::parse(body);
    EndpointListPage page;
    for (const auto& entry : decoded.at(kListField))
        page.endpoints.push_back(messages::decodePlatformEntry(entry));
    const auto next = decoded.find(kNextTokenField);
    if (next != decoded.end() && !next->is_null()) page.nextToken = next->get<std::string>();
    return page;
}

EndpointListClient::EndpointListClient(asio::io_context& io, const config::BootstrapSettings& boot)
    : io_(io),
      boot_(boot),
      maxBodyBytes_(limits::controlPlaneLimits(
                        limits::MachineLimits::fromSettings(boot.memoryMegabytes, boot.maxDescriptors))
                        .bodyBytes),
      stream_(std::make_unique<beast::tcp_stream>(io)) {}

Task<EndpointListClient::Response> EndpointListClient::requestPage(const std::string& token) {
    stream_->expires_after(toDuration(kRequestTimeout));
    if (!connected_) {
        co_await stream_->async_connect(parseAddress(boot_.platformAddress), asio::use_awaitable);
        configureSocket(stream_->socket(), kSilenceTimeout);
        connected_ = true;
        buffer_.clear();
    }
    http::request<http::empty_body> request(
        http::verb::get, token.empty() ? std::string(kPath) : kPath + (kTokenParameter + token), 11);
    request.set(http::field::host, boot_.platformAddress);
    co_await http::async_write(*stream_, request, asio::use_awaitable);
    BoundedParser<false, http::string_body> parser({kMaxHeaderBytes});
    limitReadBuffer(buffer_, kMaxHeaderBytes);
    parser.body_limit(maxBodyBytes_);
    co_await http::async_read(*stream_, buffer_, parser, asio::use_awaitable);
    auto response = parser.release();
    if (!response.keep_alive()) {
        connected_ = false;
        stream_->close();
    }
    co_return response;
}

void EndpointListClient::reset() {
    stream_->close();
    stream_ = std::make_unique<beast::tcp_stream>(io_);
    connected_ = false;
}

}  // namespace lichenlanding::control_plane
