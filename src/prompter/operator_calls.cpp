#include "prompter/operator_calls.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "cues/cues.hpp"
#include "orders/configuration.hpp"
#include "orders/rollouts.hpp"
#include "playbill/playbill.hpp"
#include "text.hpp"
#include "wings/log.hpp"

namespace lichenlanding::prompter {

using namespace wings;
namespace http = boost::beast::http;

namespace {

using Response = OperatorCalls::Response;

constexpr Nanos answerWithin = 900 * ms;  // callers move on after a second
constexpr std::uint64_t bodyAtMost = 96 << 20;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

Response respond(int status, std::string body, Nanos retryAfter = 0) {
    Response response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    if (retryAfter > 0)
        response.set(http::field::retry_after, std::to_string(static_cast<double>(retryAfter) / 1e9));
    response.body() = std::move(body);
    return response;
}
Response wrong(int status, const std::string& what) {
    return respond(status, Json{{"error", what}}.dump(-1, ' ', false, Json::error_handler_t::replace));
}
// Nothing is promised either way: the caller asks again, here or elsewhere.
Response later(const char* what) {
    auto response = wrong(503, what);
    response.set(http::field::retry_after, "0.2");
    return response;
}

// A change that leaves a value alone which it cannot read: it is called in the midst of another's message,
// and the answer finds the same value unreadable.
reg::Change changing(reg::Change change) {
    return [change = std::move(change)](const std::string& held) {
        try {
            return change(held);
        } catch (const std::exception& error) {
            log("value_unreadable", {{"step", "order"}, {"error", error.what()}});
            return held;
        }
    };
}

}  // namespace

OperatorCalls::Register OperatorCalls::Register::of(Keeper& keeper) {
    return {[&keeper] { return keeper.inContact(); },
            [&keeper](std::string key, reg::Change change, Nanos within) {
                return keeper.change(std::move(key), std::move(change), within);
            },
            [&keeper](std::string key, Nanos within) { return keeper.read(std::move(key), within); }};
}

Task<OperatorCalls::Response> OperatorCalls::answer(const Request& request) {
    const auto target = view(request.target());
    const auto question = target.find('?');
    if (metrics_ && target == "/metrics") co_return metricsPage();
    if (target.substr(0, question) != "/api/rpc") co_return wrong(404, "path: only /api/rpc");
    if (request.method() != http::verb::post) co_return wrong(405, "method: must be POST");
    std::string call, of;
    if (question != target.npos)
        for (const auto part : split(target.substr(question + 1), '&')) {
            if (part.starts_with("call=")) call = part.substr(5);
            if (part.starts_with("of=")) of = part.substr(3);
        }
    if (call == "status")
        co_return respond(200, status_().dump(-1, ' ', false, Json::error_handler_t::replace));
    co_return co_await ask(call, of, request.body());
}

// The calls that the register answers. Out of contact with its majority they are told to go elsewhere at
// once: a caller that waits for a majority here loses the time in which another prompter would have answered.
Task<OperatorCalls::Response> OperatorCalls::ask(const std::string& call, const std::string& of,
                                                 const std::string& body) {
    const bool known = call == "config.replace" || call == "config.read" || call == "rollouts.begin" ||
                       call == "rollouts.read";
    if (!known) co_return wrong(404, "call: no such call: " + call);
    if (!register_.inContact()) co_return later("register: out of contact with a majority");
    try {
        if (call == "config.replace") co_return co_await replace(body);
        if (call == "config.read") co_return co_await readBack();
        if (call == "rollouts.begin") co_return co_await begin(body);
        co_return co_await readRollout(of);
    } catch (
        const std::exception& error) {  // of the register's value; a caller's mistakes are answered below
        log("call_failed", {{"step", call}, {"error", error.what()}});
    }
    co_return later("register: a value that cannot be read");
}

OperatorCalls::Response OperatorCalls::metricsPage() const {
    const auto told = status_();
    std::uint32_t behind = 0;
    for (const auto& [_, foyer] : told.at("foyers").items())
        behind += foyer.at("configuration") != told.at("configuration");
    std::size_t pods = 0;
    for (const auto& [_, versions] : told.at("pods").items())
        for (const auto& [_2, counts] : versions.items())
            for (const auto& count : counts) pods += count.get<std::size_t>();
    std::string page;
    const auto add = [&](const char* name, const char* kind, const Json& value) {
        page += std::string("# TYPE lichenlanding_") + name + " " + kind + "\nlichenlanding_" + name + " " +
                value.dump() + "\n";
    };
    add("members_reached", "gauge", told.at("reached"));
    add("disk_blank", "gauge", told.at("blank").get<bool>() ? 1 : 0);
    add("foyers", "gauge", told.at("foyers").size());
    add("foyers_behind", "gauge", behind);
    add("pods", "gauge", pods);
    add("rollouts", "gauge", told.at("rollouts").size());
    add("operator_calls_total", "counter", calls_);
    add("list_calls_total", "counter", told.at("list_calls"));
    add("list_refused_total", "counter", told.at("list_refused"));
    auto response = respond(200, std::move(page));
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
}

Task<OperatorCalls::Response> OperatorCalls::replace(const std::string& body) {
    orders::Order order;
    try {
        order = orders::order(playbill::Playbill::read(body).version, body);
    } catch (const playbill::Refusal& refusal) {
        log("configuration_refused", {{"error", refusal.what()}});
        co_return respond(
            400, Json{{"errors", refusal.mistakes}}.dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    const auto version = playbill::versionText(order.number);
    const reg::Change put =
        changing([order](const std::string& held) { return orders::change(held, order); });
    const auto held = co_await register_.change(configurationKey, put, answerWithin);
    if (!held) co_return later("register: no majority has synced it");
    const auto recalled = orders::recalled(*held, order);
    const auto inForce = playbill::versionText(orders::version(*held));
    if (recalled == orders::Recalled::clash) {
        log("configuration_clash", {{"version", version}, {"held", inForce}});
        co_return respond(409,
                          Json{{"error", "config_version " + version + ": acknowledged with another body"},
                               {"config_version", version}}
                              .dump());
    }
    log("configuration", {{"version", version}, {"held", inForce}});
    co_return respond(200, Json{{"config_version", inForce}}.dump());
}

Task<OperatorCalls::Response> OperatorCalls::readBack() {
    const auto value = co_await register_.read(configurationKey, answerWithin);
    if (!value) co_return later("register: no majority");
    if (value->empty()) co_return later("no configuration yet");
    co_return respond(200, orders::body(*value));
}

Task<OperatorCalls::Response> OperatorCalls::begin(const std::string& body) {
    const auto told = Json::parse(body, nullptr, false);
    cues::Rollout order;
    try {
        told.at("service_name").get_to(order.service);
        told.at("target_version").get_to(order.target);
        order.term = playbill::span(told.at("deadline").get<std::string>()) / ms;
    } catch (const std::exception&) {
        co_return wrong(400, "must hold service_name, target_version and deadline (\"12s\")");
    }
    order.began = wallMillis();
    const reg::Change add = changing([order](const std::string& held) { return orders::begin(held, order); });
    const auto held = co_await register_.change(rolloutsKey, add, answerWithin);
    if (!held) co_return later("register: no majority has synced it");
    const auto outcome = orders::ordered(cues::readRollouts(*held), order);
    log("rollout_ordered", {{"service", order.service},
                            {"target", order.target},
                            {"term_ms", order.term},
                            {"outcome", orders::name(outcome)}});
    if (outcome == orders::Ordered::underWay)
        co_return respond(409, Json{{"error", "target_version " + order.target + " of " + order.service +
                                                  ": under way by an order with another deadline"},
                                    {"target_version", order.target}}
                                   .dump(-1, ' ', false, Json::error_handler_t::replace));
    co_return respond(200, "{}");
}

Task<OperatorCalls::Response> OperatorCalls::readRollout(const std::string& service) {
    const auto value = co_await register_.read(rolloutsKey, answerWithin);
    if (!value) co_return later("register: no majority");
    const auto rollouts = cues::readRollouts(*value);
    const auto* newest = orders::newest(rollouts, service);
    if (!newest) co_return wrong(404, "of: no rollout of " + service);
    co_return respond(200, Json{{"state", newest->state}, {"target_version", newest->target}}.dump(
                               -1, ' ', false, Json::error_handler_t::replace));
}

Task<> OperatorCalls::caller(tcp::socket socket) {
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyAtMost);
        parser.header_limit(64 << 10);
        Code code;
        co_await http::async_read(socket, buffer, parser, told(code));
        if (code) {
            if (code == http::error::body_limit || code == http::error::header_limit ||
                code == http::error::bad_method) {
                auto response = wrong(code == http::error::body_limit ? 413 : 400, code.message());
                response.keep_alive(false), response.prepare_payload();
                co_await http::async_write(socket, response, told(code));
            }
            co_return;
        }
        const auto request = parser.release();
        ++calls_;
        auto response = co_await answer(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(socket, response, told(code));
        if (code || !response.keep_alive()) co_return;
    }
}

Task<> OperatorCalls::serve(tcp::acceptor& control) {
    while (control.is_open()) {
        Code code;
        auto socket = co_await control.async_accept(told(code));
        if (code == asio::error::operation_aborted) co_return;
        if (!code) start(io_, "caller", caller(std::move(socket)));
    }
}

}  // namespace lichenlanding::prompter
