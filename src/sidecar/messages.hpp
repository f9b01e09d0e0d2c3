// The formats of the sockets: JSON and header values are parsed into small typed values here, and formatted.
// Nothing else in the sidecar knows these words. A message that cannot be parsed is nothing, never half of
// one.
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

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  ///< of requests and pods' responses

/// Whether a second occurrence of a header would contradict the first.
bool mustBeUnique(std::string_view header);

/// "480m" (milliseconds) or "250000u" (microseconds); nothing if it is neither, not above 0, or over an hour.
std::optional<Nanos> parseBudget(std::string_view text);
std::string formatBudget(Nanos span);

/// Whole or decimal seconds up to an hour; 0 if it cannot be parsed.
Nanos parseRetryAfter(std::string_view seconds);

/// Microseconds; 0 if it cannot be parsed.
Nanos parseCost(std::string_view micros);

/// The requests in flight of a pod's load report ("inflight=3,..."); below 0 if it does not say.
double parseInFlight(std::string_view report);

/// One pod of the endpoint list.
struct EndpointEntry {
    std::string name, address, zone;
    int build = 0, cell = -1;
    Availability availability = Availability::up;
    std::int64_t startedMs = 0;  ///< Unix time in milliseconds; 0: not known
};

/// The endpoint list, or changes of it.
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
    Nanos age = 0;
};

/// A pod's response of `age` ago was found to be wrong.
struct Dispute {
    std::string pod, group;
    Nanos age = 0;
};

/// The platform's watch is alive; also stands for messages of unknown types, which are skipped.
struct Heartbeat {};

using PlatformMessage = std::variant<Heartbeat, RolloutUpdate, Dispute>;

std::optional<EndpointList> parseEndpointList(std::string_view json);
std::optional<RolloutUpdate> parseRolloutUpdate(std::string_view json);
std::optional<PlatformMessage> parsePlatformLine(std::string_view json);
std::string formatVote(Verdict verdict, int build, int stage);

/// The configuration file of a sidecar, with its texts as they are.
struct RawConfig {
    std::string name, listen, discovery, peerListen, peersAll, platform;
    std::vector<std::string> peers;
    std::uint64_t seed = 0;
    int sockets = 0;
    NamedValues settings;
    std::optional<RolloutUpdate> rollout;
    std::optional<EndpointList> endpoints;
};

/// Throws std::invalid_argument naming the field that is missing or cannot be read.
RawConfig parseConfig(std::string_view json);

}  // namespace lichenlanding::sidecar
