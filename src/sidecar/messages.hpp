// Wire formats: JSON messages and HTTP header values are parsed into small typed values here, and formatted.
// No other part of the sidecar depends on the names on the wire. A message that is malformed in any field is
// rejected as a whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/types.hpp"
#include "settings.hpp"

namespace lichenlanding::sidecar {

namespace headers {
constexpr const char* kCallId = "X-Call-Id";
constexpr const char* kPathGroup = "X-Call-Class";
constexpr const char* kBudget = "X-Budget";
constexpr const char* kRetry = "X-Again";
constexpr const char* kCost = "X-Call-Cost";
constexpr const char* kRouteKey = "X-Route-Hash";
constexpr const char* kIdempotencyKey = "Idempotency-Key";
constexpr const char* kRejected = "X-Rejected";
constexpr const char* kLoadReport = "X-Load-Report";
}  // namespace headers

namespace paths {
constexpr const char* kReady = "/health/ready";
constexpr const char* kLoad = "/stats";
constexpr const char* kEndpoints = "/registry/instances";
constexpr const char* kVerdicts = "/v1/verdicts";
constexpr const char* kRolloutWatch = "/v1/watch";
}  // namespace paths

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  ///< limit for requests and for pods' responses

/// Whether a request may contain the header only once, since two values could conflict.
bool mustBeUnique(std::string_view header);

/// Parses a duration: "480m" (milliseconds) or "250000u" (microseconds). nullopt if the unit is missing or
/// the value is not above 0 or exceeds one hour.
std::optional<Nanos> parseBudget(std::string_view text);
std::string formatBudget(Nanos span);

/// Parses whole or decimal seconds, at most one hour; 0 if malformed.
Nanos parseRetryAfter(std::string_view seconds);

/// Parses a number of microseconds; 0 if malformed.
Nanos parseCost(std::string_view micros);

/// Parses the number of requests in flight from a pod's load report ("inflight=3,..."); negative if missing.
double parseInFlight(std::string_view report);

/// One pod in the endpoint list.
struct EndpointEntry {
    std::string name, address, zone;
    int build = 0, cell = -1;
    Availability availability = Availability::up;
    std::int64_t startedMs = 0;  ///< Unix time in milliseconds; 0: unknown
};

/// The whole endpoint list (`complete`), or changes to it.
struct EndpointList {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<EndpointEntry> entries;
};

/// The state of a rollout.
struct RolloutUpdate {
    int build = 0, stage = 0;
    RolloutState state = RolloutState::testing;
    double cap = 0;  ///< share of requests, from 0 to 1
    Nanos age = 0;   ///< time since the rollout changed to this state
};

/// A report that a pod's response, given `age` ago, was wrong.
struct Dispute {
    std::string pod, group;
    Nanos age = 0;
};

/// Shows that the platform's watch is alive; also stands for messages of unknown types, which are ignored.
struct Heartbeat {};

using PlatformMessage = std::variant<Heartbeat, RolloutUpdate, Dispute>;

std::optional<EndpointList> parseEndpointList(std::string_view json);
std::optional<RolloutUpdate> parseRolloutUpdate(std::string_view json);
std::optional<PlatformMessage> parsePlatformLine(std::string_view json);
std::string formatVote(Verdict verdict, int build, int stage);

/// The configuration file of a sidecar, with addresses and settings not parsed yet.
struct RawConfig {
    std::string name, listen, discovery, peerListen, peersAll, platform;
    std::vector<std::string> peers;
    std::uint64_t seed = 0;
    int sockets = 0;
    NamedValues settings;
    std::optional<RolloutUpdate> rollout;
    std::optional<EndpointList> endpoints;
};

/// Throws std::invalid_argument that names the missing or malformed field.
RawConfig parseConfig(std::string_view json);

}  // namespace lichenlanding::sidecar
