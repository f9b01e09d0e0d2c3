#include "control_plane/admin_api.hpp"

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

constexpr Nanos kRegisterTimeout = 900 * kMillisecond;  // callers move on after a second

// The API's paths and calls.
constexpr std::string_view kMetricsPath = "/metrics", kCallPath = "/api/rpc";
constexpr std::string_view kCallParameter = "call=", kServiceParameter = "of=";
constexpr const char* kReplaceConfiguration = "config.replace";
constexpr const char* kReadConfiguration = "config.read";
constexpr const char* kBeginRollout = "rollouts.begin";
constexpr const char* kReadRollout = "rollouts.read";
constexpr const char* kStatus = "status";

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// A change that leaves a value alone which it cannot read: it is called while a message of another process
/// is handled, and whoever makes the response finds the same value unreadable.
consensus::Change keepingUnreadable(consensus::Change change) {
    return [change = std::move(change)](const std::string& held) {
        try {
            return change(held);
        } catch (const std::exception& error) {
            log("register_value_rejected", {{"step", "admin_request"}, {"error", error.what()}});
            return held;
        }
    };
}

/// Null where the body is no rollout request.
std::optional<messages::Rollout> decodeRolloutRequest(const std::string& body) {
    const auto decoded = Json::parse(body, nullptr, false);
    messages::Rollout request;
    try {
        decoded.at("service_name").get_to(request.service);
        decoded.at("target_version").get_to(request.target);
        request.timeLimitMs = config::parseDuration(decoded.at("deadline").get<std::string>()) / kMillisecond;
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return request;
}

AdminResponse versionConflictResponse(const std::string& version) {
    return jsonResponse(409, Json{{"error", "config_version " + version + ": acknowledged with another body"},
                                  {"config_version", version}});
}

AdminResponse rolloutConflictResponse(const messages::Rollout& request) {
    return jsonResponse(409, Json{{"error", "target_version " + request.target + " of " + request.service +
                                                ": under way by an order with another deadline"},
                                  {"target_version", request.target}});
}

}  // namespace

AdminApi::Register AdminApi::Register::of(ReplicaNode& replica) {
    return {[&replica] { return replica.hasQuorumContact(); },
            [&replica](std::string key, consensus::Change change, Nanos timeout) {
                return replica.update(std::move(key), std::move(change), timeout);
            },
            [&replica](std::string key, Nanos timeout) { return replica.read(std::move(key), timeout); }};
}

AdminApi::Call AdminApi::decodeCall(std::string_view query) {
    Call call;
    for (const auto part : split(query, '&')) {
        if (part.starts_with(kCallParameter)) call.name = part.substr(kCallParameter.size());
        if (part.starts_with(kServiceParameter)) call.service = part.substr(kServiceParameter.size());
    }
    return call;
}

Task<AdminResponse> AdminApi::answer(const AdminRequest& request) {
    const auto target = view(request.target());
    const auto question = target.find('?');
    if (metrics_ && target == kMetricsPath) co_return metricsPage();
    if (target.substr(0, question) != kCallPath) co_return errorResponse(404, "path: only /api/rpc");
    if (request.method() != http::verb::post) co_return errorResponse(405, "method: must be POST");
    const auto call = question == std::string_view::npos ? Call{} : decodeCall(target.substr(question + 1));
    if (call.name == kStatus) co_return jsonResponse(200, encodeStatus(status_()));
    co_return co_await answerFromRegister(call, request.body());
}

// Out of contact with a majority callers are told to go elsewhere at once: one that waits for a majority here
// loses the time in which another process would have answered.
Task<AdminResponse> AdminApi::answerFromRegister(const Call& call, const std::string& body) {
    const bool known = call.name == kReplaceConfiguration || call.name == kReadConfiguration ||
                       call.name == kBeginRollout || call.name == kReadRollout;
    if (!known) co_return errorResponse(404, "call: no such call: " + call.name);
    if (!register_.hasQuorumContact())
        co_return retryLaterResponse("register: out of contact with a majority");
    try {
        if (call.name == kReplaceConfiguration) co_return co_await replaceConfiguration(body);
        if (call.name == kReadConfiguration) co_return co_await readConfiguration();
        if (call.name == kBeginRollout) co_return co_await beginRollout(body);
        co_return co_await readRollout(call.service);
    } catch (const std::exception& error) {
        // The register's value can't be read; a caller's mistakes have had their response.
        log("admin_request_failed", {{"step", call.name}, {"error", error.what()}});
    }
    co_return retryLaterResponse("register: a value that cannot be read");
}

AdminResponse AdminApi::metricsPage() const {
    auto response = jsonResponse(200, encodeMetrics(status_()));
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
}

Task<AdminResponse> AdminApi::replaceConfiguration(const std::string& body) {
    admin::ConfigurationRequest request;
    try {
        request = admin::makeRequest(config::Configuration::parse(body).version, body);
    } catch (const config::ValidationError& rejection) {
        log("configuration_rejected", {{"error", rejection.what()}});
        co_return jsonResponse(400, Json{{"errors", rejection.errors}});
    }
    const auto version = config::formatVersion(request.number);
    const consensus::Change change =
        keepingUnreadable([request](const std::string& held) { return admin::applyRequest(held, request); });
    const auto value = co_await register_.update(kConfigurationKey, change, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority has synced it");
    const auto duplicate = admin::checkDuplicate(*value, request);
    const auto inForce = config::formatVersion(admin::version(*value));
    if (duplicate == admin::DuplicateCheck::conflict) {
        log("configuration_conflict_rejected", {{"version", version}, {"held", inForce}});
        co_return versionConflictResponse(version);
    }
    log("configuration_acknowledged", {{"version", version}, {"held", inForce}});
    co_return jsonResponse(200, Json{{"config_version", inForce}});
}

Task<AdminResponse> AdminApi::readConfiguration() {
    const auto value = co_await register_.read(kConfigurationKey, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority");
    if (value->empty()) co_return retryLaterResponse("no configuration yet");
    co_return jsonResponse(200, admin::body(*value));
}

Task<AdminResponse> AdminApi::beginRollout(const std::string& body) {
    const auto decoded = decodeRolloutRequest(body);
    if (!decoded)
        co_return errorResponse(400, "must hold service_name, target_version and deadline (\"12s\")");
    const auto& request = *decoded;
    const consensus::Change change =
        keepingUnreadable([request](const std::string& held) { return admin::addRollout(held, request); });
    const auto value = co_await register_.update(kRolloutsKey, change, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority has synced it");
    const auto outcome = admin::classifyRequest(messages::decodeRollouts(*value), request);
    log("rollout_requested", {{"service", request.service},
                              {"target", request.target},
                              {"term_ms", request.timeLimitMs},
                              {"outcome", admin::outcomeName(outcome)}});
    if (outcome == admin::RolloutRequestOutcome::underWay) co_return rolloutConflictResponse(request);
    co_return jsonResponse(200, std::string("{}"));
}

Task<AdminResponse> AdminApi::readRollout(const std::string& service) {
    const auto value = co_await register_.read(kRolloutsKey, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority");
    const auto rollouts = messages::decodeRollouts(*value);
    const auto* newest = admin::newestRollout(rollouts, service);
    if (!newest) co_return errorResponse(404, "of: no rollout of " + service);
    co_return jsonResponse(200, Json{{"state", newest->state}, {"target_version", newest->target}});
}

}  // namespace lichenlanding::control_plane
