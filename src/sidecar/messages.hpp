// The words of the sockets: JSON and header values become small typed values here, once, and back. Nothing
// else in the sidecar knows these words. A message that cannot be read is nothing, never half of one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings.hpp"
#include "state.hpp"

namespace lichenlanding::net {

namespace headers {
constexpr const char* id = "X-Call-Id";
constexpr const char* group = "X-Call-Class";
constexpr const char* budget = "X-Budget";
constexpr const char* again = "X-Again";
constexpr const char* work = "X-Call-Cost";
constexpr const char* key = "X-Route-Hash";
constexpr const char* mark = "Idempotency-Key";
constexpr const char* notRun = "X-Rejected";
constexpr const char* load = "X-Load-Report";
}  // namespace headers

namespace paths {
constexpr const char* ready = "/health/ready";
constexpr const char* load = "/stats";
constexpr const char* live = "/health/live";
constexpr const char* list = "/registry/instances";
constexpr const char* verdicts = "/v1/verdicts";
constexpr const char* news = "/v1/watch";
}  // namespace paths

constexpr std::size_t longestBody = 64 * 1024;

bool meantOnce(std::string_view header);  // a second one contradicts the first

// "480m" or "250000u"; nothing if it is neither, not above zero, or beyond an hour.
std::optional<Nanos> readBudget(std::string_view text);
std::string budgetText(Nanos span);

Nanos readRetryAfter(std::string_view seconds);  // whole or decimal, up to an hour; 0 if it cannot be read

Nanos readWork(std::string_view micros);  // 0 if it cannot be read

// The hits that a pod says it holds; below 0 if the report does not tell.
double readHolds(std::string_view report);

struct PodLine {
    std::string name, address, zone;
    int build = 0, cell = -1;
    Availability availability = Availability::up;
    std::int64_t startedMs = 0;  // Unix time; 0: long ago
};

struct PodList {
    std::int64_t revision = 0;
    bool whole = false;
    std::vector<PodLine> lines;
};

struct StageNews {
    int build = 0, stage = 0;
    Standing standing = Standing::trial;
    double cap = 0;
    Nanos age = 0;
};

struct Dispute {
    std::string pod, group;
    Nanos age = 0;
};

struct SignOfLife {};

std::optional<PodList> readPodList(std::string_view json);
std::optional<StageNews> readStageNews(std::string_view json);
std::optional<std::variant<SignOfLife, StageNews, Dispute>> readPlatformLine(std::string_view json);
std::string voteText(Verdict verdict, int build, int stage);

// The configuration of a sidecar, as its file tells it.
struct Told {
    std::string name, listen, discovery, peerListen, peersAll, platform;
    std::vector<std::string> peers;
    std::uint64_t seed = 0;
    int sockets = 0;
    NamedValues settings;
    std::optional<StageNews> news;
    std::optional<PodList> known;
};

// Throws std::invalid_argument naming the field that is missing or cannot be read.
Told readTold(std::string_view json);

}  // namespace lichenlanding::net
