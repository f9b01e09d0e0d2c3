#include "control_plane/admin_api.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "admin/configuration_record.hpp"
#include "admin/rollout_requests.hpp"
#include "config/configuration.hpp"
#include "messages/codec.hpp"
#include "text.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
namespace http = boost::beast::http;

namespace {

using Response = AdminApi::Response;

constexpr Nanos kAnswerWithin = 900 * kMillisecond;  // callers move on after a second
constexpr std::uint64_t kBodyAtMost = 96 << 20;
constexpr std::uint32_t kHeadAtMost = 64 << 10;
constexpr std::size_t kReadAtOnce = 16 << 10;
constexpr Nanos kTurnedAwayWithin = kSecond, kAcceptPause = 20 * kMillisecond;

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
consensus::Change changing(consensus::Change change) {
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

AdminApi::Register AdminApi::Register::of(ReplicaNode& replica) {
    return {[&replica] { return replica.hasQuorumContact(); },
            [&replica](std::string key, consensus::Change change, Nanos within) {
                return replica.change(std::move(key), std::move(change), within);
            },
            [&replica](std::string key, Nanos within) { return replica.read(std::move(key), within); }};
}

Task<AdminApi::Response> AdminApi::answer(const Request& request) {
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
// once: a caller that waits for a majority here loses the time in which another control node would have
// answered.
Task<AdminApi::Response> AdminApi::ask(const std::string& call, const std::string& of,
                                       const std::string& body) {
    const bool known = call == "config.replace" || call == "config.read" || call == "rollouts.begin" ||
                       call == "rollouts.read";
    if (!known) co_return wrong(404, "call: no such call: " + call);
    if (!register_.hasQuorumContact()) co_return later("register: out of contact with a majority");
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

AdminApi::Response AdminApi::metricsPage() const {
    const auto told = status_();
    std::uint32_t behind = 0;
    for (const auto& [_, proxy] : told.at("foyers").items())
        behind += proxy.at("configuration") != told.at("configuration");
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
    add("operator_callers", "gauge", callers_.size());
    add("operator_calls_total", "counter", calls_);
    add("list_calls_total", "counter", told.at("list_calls"));
    add("list_refused_total", "counter", told.at("list_refused"));
    auto response = respond(200, std::move(page));
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
}

Task<AdminApi::Response> AdminApi::replace(const std::string& body) {
    admin::ConfigurationRequest order;
    try {
        order = admin::makeRequest(config::Configuration::parse(body).version, body);
    } catch (const config::ValidationError& refusal) {
        log("configuration_refused", {{"error", refusal.what()}});
        co_return respond(
            400, Json{{"errors", refusal.errors}}.dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    const auto version = config::formatVersion(order.number);
    const consensus::Change put =
        changing([order](const std::string& held) { return admin::applyRequest(held, order); });
    const auto held = co_await register_.change(kConfigurationKey, put, kAnswerWithin);
    if (!held) co_return later("register: no majority has synced it");
    const auto recalled = admin::checkDuplicate(*held, order);
    const auto inForce = config::formatVersion(admin::version(*held));
    if (recalled == admin::DuplicateCheck::conflict) {
        log("configuration_clash", {{"version", version}, {"held", inForce}});
        co_return respond(409,
                          Json{{"error", "config_version " + version + ": acknowledged with another body"},
                               {"config_version", version}}
                              .dump());
    }
    log("configuration", {{"version", version}, {"held", inForce}});
    co_return respond(200, Json{{"config_version", inForce}}.dump());
}

Task<AdminApi::Response> AdminApi::readBack() {
    const auto value = co_await register_.read(kConfigurationKey, kAnswerWithin);
    if (!value) co_return later("register: no majority");
    if (value->empty()) co_return later("no configuration yet");
    co_return respond(200, admin::body(*value));
}

Task<AdminApi::Response> AdminApi::begin(const std::string& body) {
    const auto told = Json::parse(body, nullptr, false);
    messages::Rollout order;
    try {
        told.at("service_name").get_to(order.service);
        told.at("target_version").get_to(order.target);
        order.term = config::parseDuration(told.at("deadline").get<std::string>()) / kMillisecond;
    } catch (const std::exception&) {
        co_return wrong(400, "must hold service_name, target_version and deadline (\"12s\")");
    }
    const consensus::Change add =
        changing([order](const std::string& held) { return admin::addRollout(held, order); });
    const auto held = co_await register_.change(kRolloutsKey, add, kAnswerWithin);
    if (!held) co_return later("register: no majority has synced it");
    const auto outcome = admin::classifyRequest(messages::decodeRollouts(*held), order);
    log("rollout_ordered", {{"service", order.service},
                            {"target", order.target},
                            {"term_ms", order.term},
                            {"outcome", admin::outcomeName(outcome)}});
    if (outcome == admin::RolloutRequestOutcome::underWay)
        co_return respond(409, Json{{"error", "target_version " + order.target + " of " + order.service +
                                                  ": under way by an order with another deadline"},
                                    {"target_version", order.target}}
                                   .dump(-1, ' ', false, Json::error_handler_t::replace));
    co_return respond(200, "{}");
}

Task<AdminApi::Response> AdminApi::readRollout(const std::string& service) {
    const auto value = co_await register_.read(kRolloutsKey, kAnswerWithin);
    if (!value) co_return later("register: no majority");
    const auto rollouts = messages::decodeRollouts(*value);
    const auto* newest = admin::newestRollout(rollouts, service);
    if (!newest) co_return wrong(404, "of: no rollout of " + service);
    co_return respond(200, Json{{"state", newest->state}, {"target_version", newest->target}}.dump(
                               -1, ' ', false, Json::error_handler_t::replace));
}

void AdminApi::left(const std::shared_ptr<Caller>& its) {
    std::erase(callers_, its);
    room_.notify();
}

// Idle callers give way first, then those that take longest to send, then those that take longest to listen.
bool AdminApi::makeRoom() {
    if (callers_.size() < bounds_.callers) return true;
    const auto at =
        std::min_element(callers_.begin(), callers_.end(), [](const auto& one, const auto& other) {
            return std::tie(one->phase, one->since) < std::tie(other->phase, other->since);
        });
    if ((*at)->phase == Phase::answered) return false;
    log("caller_dropped", {{"step", "control"}, {"callers", callers_.size()}});
    const auto dropped = *at;
    left(dropped);
    dropped->stream.close();
    return true;
}

Task<> AdminApi::caller(std::shared_ptr<Caller> its) {
    try {
        co_await converse(*its);
    } catch (const std::exception& error) {
        log("failure", {{"step", "caller"}, {"error", error.what()}});
    }
    left(its);
}

Task<> AdminApi::converse(Caller& its) {
    auto& stream = its.stream;
    beast::flat_buffer buffer;
    for (;;) {
        ErrorCode code;
        its.enter(Phase::idle);
        if (buffer.size() == 0) {
            stream.expires_after(toDuration(bounds_.idle));
            const auto bytes =
                co_await stream.async_read_some(buffer.prepare(kReadAtOnce), withErrorCode(code));
            if (code) co_return;
            buffer.commit(bytes);
        }
        its.enter(Phase::sending);
        http::request_parser<http::string_body> parser;
        parser.body_limit(kBodyAtMost);
        parser.header_limit(kHeadAtMost);
        stream.expires_after(toDuration(bounds_.head));
        co_await http::async_read_header(stream, buffer, parser, withErrorCode(code));
        if (!code && !parser.is_done()) {
            stream.expires_after(span(bounds_.body));
            if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
                const http::response<http::empty_body> goOn(http::status::continue_, 11);
                co_await http::async_write(stream, goOn, withErrorCode(code));
            }
            if (!code) co_await http::async_read(stream, buffer, parser, withErrorCode(code));
        }
        if (code == http::error::body_limit) co_return co_await turnAway(its, wrong(413, code.message()));
        if (code == http::error::header_limit) co_return co_await turnAway(its, wrong(431, code.message()));
        // What is no request is told so; one that was cut, or took too long, has nobody to tell.
        if (code && code.category() == http::make_error_code(http::error::bad_method).category() &&
            code != http::error::end_of_stream && code != http::error::partial_message)
            co_return co_await turnAway(its, wrong(400, code.message()));
        if (code) co_return;
        const auto request = parser.release();
        ++calls_;
        its.enter(Phase::answered);
        auto response = co_await answer(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        its.enter(Phase::taking);
        stream.expires_after(span(bounds_.taking));
        co_await http::async_write(stream, response, withErrorCode(code));
        if (code || !response.keep_alive()) co_return;
    }
}

// The answer, and the end. What still comes is read for a moment: a close over unread bytes is a reset, which
// can take the answer away from the caller.
Task<> AdminApi::turnAway(Caller& its, Response response) {
    ErrorCode code;
    its.enter(Phase::taking);
    its.stream.expires_after(toDuration(kTurnedAwayWithin));
    response.keep_alive(false), response.prepare_payload();
    co_await http::async_write(its.stream, response, withErrorCode(code));
    its.stream.socket().shutdown(tcp::socket::shutdown_send, code);
    std::array<char, kReadAtOnce> rest;
    while (!code) co_await its.stream.async_read_some(asio::buffer(rest), withErrorCode(code));
}

Task<> AdminApi::serve(tcp::acceptor& control) {
    while (control.is_open()) {
        ErrorCode code;
        auto socket = co_await control.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {  // no descriptor left, say
            co_await sleep(kAcceptPause);
            continue;
        }
        while (!makeRoom()) co_await room_.wait(now() + kAcceptPause);
        configureSocket(socket, bounds_.taking);
        const auto its = std::make_shared<Caller>(std::move(socket));
        callers_.push_back(its);
        spawn(io_, "caller", caller(its));
    }
}

}  // namespace lichenlanding::control_plane
