#include "control_plane/admin_api.hpp"

#include "admin/configuration_record.hpp"
#include "config/configuration.hpp"
#include "limits/process_limits.hpp"
#include "messages/codec.hpp"
#include "text.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
namespace http = boost::beast::http;

namespace {

constexpr Nanos kRegisterTimeout = 900 * kMillisecond;  // callers try another process after a second

// The API's paths and calls.
constexpr std::string_view kMetricsPath = "/metrics", kCallPath = "/api/rpc";
constexpr std::string_view kCallParameter = "call=", kServiceParameter = "of=";
constexpr const char* kReplaceConfiguration = "config.replace";
constexpr const char* kReadConfiguration = "config.read";
constexpr const char* kBeginRollout = "rollouts.begin";
constexpr const char* kReadRollout = "rollouts.read";
constexpr const char* kStatus = "status";

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Wraps a change so that it keeps a value that cannot be decoded. Changes run while a message of another
/// process is handled, so they must not throw; the code that makes the response then fails to decode the
/// value.
consensus::Change keepingUnreadable(consensus::Change change) {
    return [change = std::move(change)](const std::string& current) {
        try {
            return change(current);
        } catch (const std::exception& error) {
            log("register_value_rejected", {{"step", "admin_request"}, {"error", error.what()}});
            return current;
        }
    };
}

/// Null if the body is not a valid rollout request.
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
    return jsonResponse(
        409, Json{{"error", "config_version " + version + ": already acknowledged with a different body"},
                  {"config_version", version}});
}

AdminResponse rolloutConflictResponse(const messages::Rollout& request) {
    return jsonResponse(409, Json{{"error", "target_version " + request.target + " of " + request.service +
                                                ": already in progress with a different deadline"},
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
    const auto queryStart = target.find('?');
    if (metrics_ && target == kMetricsPath) co_return metricsPage();
    if (target.substr(0, queryStart) != kCallPath)
        co_return errorResponse(404, "path: only /api/rpc is served");
    if (request.method() != http::verb::post) co_return errorResponse(405, "method: must be POST");
    const auto call =
        queryStart == std::string_view::npos ? Call{} : decodeCall(target.substr(queryStart + 1));
    if (call.name == kStatus) co_return jsonResponse(200, encodeStatus(status_()));
    co_return co_await answerFromRegister(call, request.body());
}

// Without quorum contact the response is 503 at once, so that the caller tries another process instead of
// waiting for a majority here.
Task<AdminResponse> AdminApi::answerFromRegister(const Call& call, const std::string& body) {
    const bool known = call.name == kReplaceConfiguration || call.name == kReadConfiguration ||
                       call.name == kBeginRollout || call.name == kReadRollout;
    if (!known) co_return errorResponse(404, "call: no such call: " + call.name);
    if (call.name != kReplaceConfiguration && body.size() > limits::kMaxOrderBytes)
        co_return errorResponse(413,
                                "body: is longer than " + std::to_string(limits::kMaxOrderBytes) + " bytes");
    if (!register_.hasQuorumContact())
        co_return retryLaterResponse("register: out of contact with a majority");
    try {
        if (call.name == kReplaceConfiguration) co_return co_await replaceConfiguration(body);
        if (call.name == kReadConfiguration) co_return co_await readConfiguration();
        if (call.name == kBeginRollout) co_return co_await beginRollout(body);
        co_return co_await readRollout(call.service);
    } catch (const std::exception& error) {
        // The register's value cannot be decoded. Invalid requests were answered before.
        log("admin_request_failed", {{"step", call.name}, {"error", error.what()}});
    }
    co_return retryLaterResponse("register: the stored value cannot be decoded");
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
    if (request.compressed.size() > limits::kMaxStoredConfigurationBytes)
        co_return errorResponse(413, "body: takes too much room when it is stored");
    const auto version = config::formatVersion(request.number);
    const consensus::Change change = keepingUnreadable(
        [request](const std::string& current) { return admin::applyRequest(current, request); });
    const auto value = co_await register_.update(kConfigurationKey, change, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority has synced the update in time");
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
    if (!value) co_return retryLaterResponse("register: no majority answered in time");
    if (value->empty()) co_return retryLaterResponse("no configuration yet");
    co_return jsonResponse(200, admin::body(*value));
}

Task<AdminResponse> AdminApi::beginRollout(const std::string& body) {
    using Outcome = admin::RolloutRequestOutcome;
    const auto decoded = decodeRolloutRequest(body);
    if (!decoded)
        co_return errorResponse(
            400, "body: must be JSON with service_name, target_version and deadline (such as \"12s\")");
    const auto& request = *decoded;
    // By the value before the change: afterwards a new rollout is known.
    const auto outcomeBefore = std::make_shared<Outcome>(Outcome::known);
    const auto recordIsFull = std::make_shared<bool>(false);
    const consensus::Change change =
        keepingUnreadable([this, request, outcomeBefore, recordIsFull](const std::string& current) {
            const auto found = admin::classifyRequest(messages::decodeRollouts(current), request, repeats_);
            // A change that runs again finds the request known by its own earlier attempt.
            if (found != Outcome::known) *outcomeBefore = found;
            auto updated = admin::addRollout(current, request, repeats_);
            *recordIsFull = updated.size() > std::max(current.size(), limits::kMaxStoredRolloutsBytes);
            return *recordIsFull ? current : updated;
        });
    const auto value = co_await register_.update(kRolloutsKey, change, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority has synced the update in time");
    if (*recordIsFull) co_return retryLaterResponse("rollouts: too many are on record");
    const auto outcome = admin::classifyRequest(messages::decodeRollouts(*value), request, repeats_);
    log("rollout_requested", {{"service", request.service},
                              {"target", request.target},
                              {"term_ms", request.timeLimitMs},
                              {"outcome", admin::outcomeName(*outcomeBefore)}});
    if (outcome == Outcome::underWay) co_return rolloutConflictResponse(request);
    co_return jsonResponse(200, std::string("{}"));
}

Task<AdminResponse> AdminApi::readRollout(const std::string& service) {
    const auto value = co_await register_.read(kRolloutsKey, kRegisterTimeout);
    if (!value) co_return retryLaterResponse("register: no majority answered in time");
    const auto rollouts = messages::decodeRollouts(*value);
    const auto* newest = admin::newestRollout(rollouts, service);
    if (!newest) co_return errorResponse(404, "of: no rollout of " + service);
    co_return jsonResponse(200, Json{{"state", newest->state}, {"target_version", newest->target}});
}

}  // namespace lichenlanding::control_plane
