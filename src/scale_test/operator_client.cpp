#include "scale_test/operator_client.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace lichenlanding::scale_test {

using namespace transport;
namespace http = boost::beast::http;

namespace {

constexpr Nanos kRetryDelay = 200 * kMillisecond;
constexpr Nanos kPollInterval = 10 * kMillisecond;
constexpr Nanos kCallTimeout = 20 * kSecond;

}  // namespace

OperatorClient::OperatorClient(asio::io_context& io, const ScenarioConfig& scenario, const RunLayout& layout)
    : io_(io), scenario_(scenario), layout_(layout) {}

Task<int> OperatorClient::call(std::string address, Request request) {
    beast::tcp_stream stream(io_);
    stream.expires_after(toDuration(kCallTimeout));
    ErrorCode error;
    co_await stream.async_connect(parseAddress(address), withErrorCode(error));
    if (error) co_return 0;
    if (request[http::field::host].empty()) request.set(http::field::host, address);
    request.prepare_payload();
    co_await http::async_write(stream, request, withErrorCode(error));
    if (error) co_return 0;
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, withErrorCode(error));
    co_return error ? 0 : static_cast<int>(response.result_int());
}

Task<> OperatorClient::replaceConfiguration(std::int64_t changes) {
    const auto body = buildConfiguration(scenario_, changes);
    bodyBytes_ = body.size();
    for (std::int64_t n = changes;; ++n) {
        Request request(http::verb::post, "/api/rpc?call=config.replace", 11);
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        const auto address = layout_.controlNodeAddress(n % scenario_.controlNodes, kControlPlanePort);
        const auto status = co_await call(address, std::move(request));
        if (status == 200) co_return;
        if (status >= 400 && status < 500)
            throw std::runtime_error("configuration rejected with HTTP status " + std::to_string(status));
        ++resent_;
        co_await sleep(kRetryDelay);
    }
}

Task<Nanos> OperatorClient::waitForRoute(std::int64_t proxy, std::int64_t change, Nanos timeout) {
    const Nanos end = now() + timeout;
    const auto address = layout_.proxyAddress(proxy, kHttpPort);
    while (now() < end) {
        Request request(http::verb::get, addedRoutePath(change) + "x", 11);
        request.set(http::field::host, kAddedRouteHost);
        request.set("X-Attempt-Id", "a" + std::to_string(proxy) + "." + std::to_string(now()));
        request.set("X-Deadline-Ms", "200");
        const auto status = co_await call(address, std::move(request));
        if (status != 0 && status != 404) co_return now();
        co_await sleep(kPollInterval);
    }
    co_return 0;
}

}  // namespace lichenlanding::scale_test
