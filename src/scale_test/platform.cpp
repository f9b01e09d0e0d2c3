#include "scale_test/platform.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "text.hpp"

namespace lichenlanding::scale_test {

using namespace transport;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Response = http::response<http::string_body>;

namespace {

constexpr std::size_t kMaxDraining = 2;
constexpr std::size_t kMinEndpoints = 4;  // with fewer, replaceEndpoint() does nothing

}  // namespace

Platform::Platform(asio::io_context& io, const ScenarioConfig& scenario)
    : io_(io),
      scenario_(scenario),
      acceptor_(listen(io, "127.0.0.1:0")),
      availableCalls_(static_cast<double>(scenario.listCallsPerSecond)) {
    while (endpointsCreated_ < scenario_.pods)
        endpoints_.push_back(podEndpoint(scenario_, endpointsCreated_++));
    spawn(io_, "platform", accept());
}

std::string Platform::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::string Platform::replaceEndpoint() {
    if (endpoints_.size() < kMinEndpoints) return "";
    if (drainingCount_ == kMaxDraining) {
        endpoints_.pop_front();
        --drainingCount_;
    }
    auto& drained = endpoints_.at(drainingCount_++);
    drained.draining = true;
    const auto id = drained.id;
    endpoints_.push_back(podEndpoint(scenario_, endpointsCreated_++));
    return id;
}

bool Platform::tryAcquireCall() {
    const auto callsPerSecond = static_cast<double>(scenario_.listCallsPerSecond);
    const Nanos at = now();
    availableCalls_ =
        std::min(callsPerSecond, availableCalls_ + static_cast<double>(at - std::exchange(refilledAt_, at)) /
                                                       1e9 * callsPerSecond);
    if (availableCalls_ < 1) return false;
    --availableCalls_;
    return true;
}

std::string Platform::page(std::size_t from) {
    const auto to = std::min(from + static_cast<std::size_t>(scenario_.listPageSize), endpoints_.size());
    Json list = Json::array();
    for (auto at = from; at < to; ++at) {
        const auto& endpoint = endpoints_[at];
        list.push_back({{"instance_id", endpoint.id},
                        {"service_name", endpoint.service},
                        {"address", endpoint.address},
                        {"zone", endpoint.zone},
                        {"config_version", endpoint.version},
                        {"capacity_slots", endpoint.slots},
                        {"state", endpoint.draining ? "draining" : "ready"},
                        {"warmup_left", "0ms"}});
    }
    const bool last = to == endpoints_.size();
    if (last) listCompletionTimes.push_back(now());
    return Json{{"instance_list", std::move(list)},
                {"next_token", last ? Json(nullptr) : Json("p-" + std::to_string(to))}}
        .dump();
}

Task<> Platform::accept() {
    while (acceptor_.is_open()) {
        ErrorCode error;
        auto socket = co_await acceptor_.async_accept(withErrorCode(error));
        if (error) co_return;
        spawn(io_, "platform", serve(std::move(socket)));
    }
}

Task<> Platform::serve(tcp::socket socket) {
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::empty_body> request;
        ErrorCode error;
        co_await http::async_read(socket, buffer, request, withErrorCode(error));
        if (error) co_return;
        ++calls;
        Response response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        const std::string target(request.target());
        const auto token = target.find("page_token=p-");
        std::size_t from = 0;
        if (token != std::string::npos) parse(std::string_view(target).substr(token + 13), from);
        if (tryAcquireCall()) {
            response.body() = page(from);
        } else {
            response.result(http::status::too_many_requests);
            ++rejected;
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        bytes += response.body().size();
        co_await http::async_write(socket, response, withErrorCode(error));
        if (error || !response.keep_alive()) co_return;
    }
}

}  // namespace lichenlanding::scale_test
