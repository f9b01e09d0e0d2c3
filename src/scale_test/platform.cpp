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

constexpr std::size_t kDrainingMax = 2;
constexpr std::size_t kLeastEndpoints = 4;  // with fewer none is replaced

}  // namespace

Platform::Platform(asio::io_context& io, const ScenarioConfig& plan)
    : io_(io),
      plan_(plan),
      acceptor_(listen(io, "127.0.0.1:0")),
      callsLeft_(static_cast<double>(plan.listCallsPerSecond)) {
    while (endpointsMade_ < plan_.pods) endpoints_.push_back(pod(plan_, endpointsMade_++));
    spawn(io_, "platform", accept());
}

std::string Platform::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::string Platform::replaceEndpoint() {
    if (endpoints_.size() < kLeastEndpoints) return "";
    if (drainingCount_ == kDrainingMax) {
        endpoints_.pop_front();
        --drainingCount_;
    }
    auto& drained = endpoints_.at(drainingCount_++);
    drained.draining = true;
    const auto id = drained.id;
    endpoints_.push_back(pod(plan_, endpointsMade_++));
    return id;
}

bool Platform::takeCall() {
    const auto most = static_cast<double>(plan_.listCallsPerSecond);
    const Nanos at = now();
    callsLeft_ =
        std::min(most, callsLeft_ + static_cast<double>(at - std::exchange(refilledAt_, at)) / 1e9 * most);
    if (callsLeft_ < 1) return false;
    --callsLeft_;
    return true;
}

std::string Platform::page(std::size_t from) {
    const auto to = std::min(from + static_cast<std::size_t>(plan_.listPageSize), endpoints_.size());
    Json list = Json::array();
    for (auto at = from; at < to; ++at) {
        const auto& one = endpoints_[at];
        list.push_back({{"instance_id", one.id},
                        {"service_name", one.service},
                        {"address", one.address},
                        {"zone", one.zone},
                        {"config_version", one.version},
                        {"capacity_slots", one.slots},
                        {"state", one.draining ? "draining" : "ready"},
                        {"warmup_left", "0ms"}});
    }
    const bool last = to == endpoints_.size();
    if (last) completeLists.push_back(now());
    return Json{{"instance_list", std::move(list)},
                {"next_token", last ? Json(nullptr) : Json("p-" + std::to_string(to))}}
        .dump();
}

Task<> Platform::accept() {
    while (acceptor_.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor_.async_accept(withErrorCode(code));
        if (code) co_return;
        spawn(io_, "platform", serve(std::move(socket)));
    }
}

Task<> Platform::serve(tcp::socket socket) {
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::empty_body> request;
        ErrorCode code;
        co_await http::async_read(socket, buffer, request, withErrorCode(code));
        if (code) co_return;
        ++calls;
        Response response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        const std::string target(request.target());
        const auto token = target.find("page_token=p-");
        std::size_t from = 0;
        if (token != std::string::npos) parse(std::string_view(target).substr(token + 13), from);
        if (takeCall()) {
            response.body() = page(from);
        } else {
            response.result(http::status::too_many_requests);
            ++rejected;
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        bytes += response.body().size();
        co_await http::async_write(socket, response, withErrorCode(code));
        if (code || !response.keep_alive()) co_return;
    }
}

}  // namespace lichenlanding::scale_test
