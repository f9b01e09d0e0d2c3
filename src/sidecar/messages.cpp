#include "sidecar/messages.hpp"

#include <strings.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "sidecar/json_fields.hpp"
#include "text.hpp"

namespace lichenlanding::sidecar {
namespace {

using json_fields::Json;
using json_fields::parseJson;
using json_fields::read;
using json_fields::readInteger;
using json_fields::readNamedValue;
using json_fields::WireName;

constexpr double kMaxDuration = 3600e9;  // one hour in ns: the limit for budgets and Retry-After

bool readAge(const Json& object, Nanos& age) {
    double ms = 0;
    if (!read(object, "lag_ms", ms) || ms < 0) return false;
    age = nanosOfMillis(ms);
    return true;
}

std::optional<EndpointEntry> endpointEntry(const Json& json) {
    static constexpr WireName<Availability> kPhases[] = {
        {"up", Availability::up}, {"draining", Availability::draining}, {"removed", Availability::removed}};
    EndpointEntry entry;
    const bool valid = read(json, "id", entry.name) && read(json, "host_port", entry.address) &&
                       read(json, "locality", entry.zone) &&
                       readNamedValue(json, "phase", kPhases, entry.availability) &&
                       readInteger(json, "image_id", 0, 65535, entry.build);
    if (!valid) return {};
    if (json_fields::find(json, "cell") && !readInteger(json, "cell", -1, 1 << 30, entry.cell)) return {};
    if (json_fields::find(json, "up_since_ms") &&
        !readInteger<std::int64_t>(json, "up_since_ms", 0, 1LL << 45, entry.startedMs))
        return {};
    return entry;
}

std::optional<EndpointList> endpointList(const Json& json) {
    EndpointList list;
    const auto* complete = json_fields::find(json, "complete");
    const auto* members = json_fields::find(json, "members");
    if (!readInteger<std::int64_t>(json, "revision", 0, 1LL << 49, list.revision)) return {};
    if (!complete || !complete->is_boolean() || !members || !members->is_array()) return {};
    list.complete = complete->get<bool>();
    list.entries.reserve(members->size());
    for (const auto& member : *members) {
        auto entry = endpointEntry(member);
        if (!entry) return {};
        list.entries.push_back(std::move(*entry));
    }
    return list;
}

std::optional<RolloutUpdate> rolloutUpdate(const Json& json) {
    static constexpr WireName<RolloutState> kStates[] = {{"testing", RolloutState::testing},
                                                         {"recalling", RolloutState::rollingBack},
                                                         {"live", RolloutState::released},
                                                         {"recalled", RolloutState::rolledBack}};
    RolloutUpdate update;
    const bool valid = readInteger(json, "image", 0, 65535, update.build) &&
                       readInteger(json, "ring", 0, 1 << 20, update.stage) &&
                       readNamedValue(json, "progress", kStates, update.state) &&
                       read(json, "ceiling", update.cap) && update.cap >= 0 && update.cap <= 1 &&
                       readAge(json, update.age);
    if (!valid) return {};
    return update;
}

// Flattens nested JSON into the dotted paths of NamedValues (settings.hpp).
void flatten(const Json& json, const std::string& path, NamedValues& values) {
    const auto childPath = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    const auto scalarText = [](const Json& value) {
        auto text = value.is_string() ? value.get<std::string>() : value.dump();
        for (auto& character : text)
            if (character == ' ' || character == ',') character = '_';
        return text;
    };
    if (json.is_object()) {
        for (const auto& [name, value] : json.items()) flatten(value, childPath(name), values);
    } else if (json.is_array() && !json.empty() && json.front().is_object()) {
        values[childPath("count")] = std::to_string(json.size());
        for (std::size_t index = 0; index < json.size(); ++index)
            flatten(json[index], childPath(std::to_string(index)), values);
    } else if (json.is_array()) {
        auto& list = values[path];
        for (const auto& value : json) list += (list.empty() ? "" : ",") + scalarText(value);
    } else if (!json.is_null()) {
        values[path] = scalarText(json);
    }
}

void require(bool valid, const char* name) {
    if (!valid)
        throw std::invalid_argument(std::string("configuration: field ") + name +
                                    " is missing or cannot be read");
}

// The seed is written in hexadecimal.
bool readSeed(const Json& json, std::uint64_t& seed) {
    std::string text;
    if (!read(json, "seed", text)) return false;
    const auto* end = text.data() + text.size();
    return std::from_chars(text.data(), end, seed, 16).ptr == end;
}

std::vector<std::string> readPeers(const Json& json) {
    std::vector<std::string> peers;
    const auto* found = json_fields::find(json, "peers");
    if (!found) return peers;
    require(found->is_array(), "peers");
    for (const auto& peer : *found) {
        require(peer.is_string(), "peers");
        peers.push_back(peer.get<std::string>());
    }
    return peers;
}

}  // namespace

bool mustBeUnique(std::string_view header) {
    static constexpr std::string_view kUnique[] = {headers::kCallId,
                                                   headers::kPathGroup,
                                                   headers::kBudget,
                                                   headers::kIdempotencyKey,
                                                   "Content-Length",
                                                   "Transfer-Encoding",
                                                   "Host"};
    return std::any_of(std::begin(kUnique), std::end(kUnique), [&](auto name) {
        return name.size() == header.size() && strncasecmp(name.data(), header.data(), name.size()) == 0;
    });
}

std::optional<Nanos> parseBudget(std::string_view text) {
    if (text.empty()) return {};
    const double unit = text.back() == 'm' ? 1e6 : text.back() == 'u' ? 1e3 : 0;
    double number = 0;
    if (unit == 0 || !parse(text.substr(0, text.size() - 1), number)) return {};
    if (!(number > 0) || !(number * unit <= kMaxDuration)) return {};
    return std::llround(number * unit);
}

std::string formatBudget(Nanos span) { return std::to_string(std::max<Nanos>(span / 1000, 1)) + "u"; }

Nanos parseRetryAfter(std::string_view seconds) {
    double number = 0;
    if (!parse(seconds, number) || !(number > 0) || !(number * 1e9 <= kMaxDuration)) return 0;
    return std::llround(number * 1e9);
}

Nanos parseCost(std::string_view micros) {
    double number = 0;
    if (!parse(micros, number) || !(number > 0) || !(number * 1e3 <= json_fields::kMaxMagnitude)) return 0;
    return std::llround(number * 1e3);
}

double parseInFlight(std::string_view report) {
    for (auto pair : split(report, ',')) {
        while (!pair.empty() && (pair.front() == ' ' || pair.front() == '\n')) pair.remove_prefix(1);
        while (!pair.empty() && (pair.back() == '\n' || pair.back() == '\r')) pair.remove_suffix(1);
        const auto equals = pair.find('=');
        if (equals == std::basic_string_view<char, std::char_traits<char>>::npos ||
            pair.substr(0, equals) != "inflight")
            continue;
        double value = 0;
        if (parse(pair.substr(equals + 1), value) && value >= 0 && value <= json_fields::kMaxMagnitude)
            return value;
    }
    return -1;
}

std::optional<EndpointList> parseEndpointList(std::string_view json) { return endpointList(parseJson(json)); }
std::optional<RolloutUpdate> parseRolloutUpdate(std::string_view json) {
    return rolloutUpdate(parseJson(json));
}

std::optional<PlatformMessage> parsePlatformLine(std::string_view text) {
    const auto json = parseJson(text);
    if (!json.is_object()) return {};
    std::string type;
    if (!read(json, "type", type)) {
        if (json.empty()) return Heartbeat{};
        return {};
    }
    const auto* object = json_fields::find(json, "object");
    if (!object) return {};
    if (type == "ROLLOUT") {
        if (const auto update = rolloutUpdate(*object)) return *update;
    } else if (type == "DISPUTE") {
        Dispute dispute;
        if (read(*object, "host", dispute.pod) && read(*object, "type", dispute.group) &&
            readAge(*object, dispute.age))
            return dispute;
    } else {
        return Heartbeat{};
    }
    return {};
}

std::string formatVote(Verdict verdict, int build, int stage) {
    static constexpr const char* kOpinions[] = {"WITHDRAW", "PROCEED", "HOLD", "ROLLBACK"};
    const Json vote = {{"image", build}, {"ring", stage}, {"opinion", kOpinions[static_cast<int>(verdict)]}};
    return vote.dump();
}

RawConfig parseConfig(std::string_view text) {
    const auto json = parseJson(text);
    if (!json.is_object()) throw std::invalid_argument("configuration: not a JSON object");
    RawConfig config;
    require(read(json, "name", config.name), "name");
    require(read(json, "listen", config.listen), "listen");
    require(read(json, "discovery", config.discovery), "discovery");
    require(readSeed(json, config.seed), "seed");
    const auto* limits = json_fields::find(json, "limits");
    require(limits && readInteger(*limits, "sockets", 1, 1 << 30, config.sockets), "limits.sockets");
    const auto* platform = json_fields::find(json, "deployer");
    require(platform && read(*platform, "address", config.platform), "deployer.address");
    if (const auto* news = json_fields::find(*platform, "news")) config.rollout = rolloutUpdate(*news);
    if (const auto* known = json_fields::find(json, "known")) config.endpoints = endpointList(*known);
    read(json, "peer_listen", config.peerListen);
    read(json, "peers_all", config.peersAll);
    config.peers = readPeers(json);
    const auto* settings = json_fields::find(json, "settings");
    require(settings && settings->is_object(), "settings");
    flatten(*settings, "", config.settings);
    return config;
}

}  // namespace lichenlanding::sidecar
