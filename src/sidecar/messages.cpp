#include "sidecar/messages.hpp"

#include <strings.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "text.hpp"

namespace lichenlanding::net {
namespace {

using Json = nlohmann::json;

constexpr double farthest = 1e15;       // of a number that stands for a time or a count
constexpr double longestWait = 3600e9;  // of a client: an hour

const Json* field(const Json& object, const char* name) {
    if (!object.is_object()) return nullptr;
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

bool read(const Json& object, const char* name, double& value) {
    const auto* found = field(object, name);
    if (!found || !found->is_number()) return false;
    value = found->get<double>();
    return std::isfinite(value) && std::abs(value) <= farthest;
}

template <typename Whole>
bool readWhole(const Json& object, const char* name, Whole least, Whole most, Whole& value) {
    double number = 0;
    if (!read(object, name, number) || number != std::floor(number)) return false;
    if (number < static_cast<double>(least) || number > static_cast<double>(most)) return false;
    value = static_cast<Whole>(number);
    return true;
}

bool read(const Json& object, const char* name, std::string& value) {
    const auto* found = field(object, name);
    if (!found || !found->is_string()) return false;
    value = found->get<std::string>();
    return !value.empty();
}

bool readAge(const Json& object, Nanos& age) {
    double ms = 0;
    if (!read(object, "lag_ms", ms) || ms < 0) return false;
    age = nanosOfMillis(ms);
    return true;
}

template <typename Value, std::size_t count>
bool readWord(const Json& object, const char* name, const std::pair<const char*, Value> (&words)[count],
              Value& value) {
    std::string text;
    if (!read(object, name, text)) return false;
    for (const auto& [word, meant] : words)
        if (text == word) return value = meant, true;
    return false;
}

std::optional<PodLine> podLine(const Json& entry) {
    static constexpr std::pair<const char*, Availability> phases[] = {
        {"up", Availability::up}, {"draining", Availability::draining}, {"removed", Availability::gone}};
    PodLine line;
    const bool whole = read(entry, "id", line.name) && read(entry, "host_port", line.address) &&
                       read(entry, "locality", line.zone) &&
                       readWord(entry, "phase", phases, line.availability) &&
                       readWhole(entry, "image_id", 0, 65535, line.build);
    if (!whole) return {};
    if (field(entry, "cell") && !readWhole(entry, "cell", -1, 1 << 30, line.cell)) return {};
    if (field(entry, "up_since_ms") &&
        !readWhole<std::int64_t>(entry, "up_since_ms", 0, 1LL << 45, line.startedMs))
        return {};
    return line;
}

std::optional<PodList> podList(const Json& json) {
    PodList list;
    const auto* whole = field(json, "complete");
    const auto* members = field(json, "members");
    if (!readWhole<std::int64_t>(json, "revision", 0, 1LL << 49, list.revision)) return {};
    if (!whole || !whole->is_boolean() || !members || !members->is_array()) return {};
    list.whole = whole->get<bool>();
    list.lines.reserve(members->size());
    for (const auto& entry : *members) {
        auto line = podLine(entry);
        if (!line) return {};
        list.lines.push_back(std::move(*line));
    }
    return list;
}

std::optional<StageNews> stageNews(const Json& json) {
    static constexpr std::pair<const char*, Standing> phases[] = {{"testing", Standing::trial},
                                                                  {"recalling", Standing::goingBack},
                                                                  {"live", Standing::released},
                                                                  {"recalled", Standing::withdrawn}};
    StageNews news;
    const bool whole = readWhole(json, "image", 0, 65535, news.build) &&
                       readWhole(json, "ring", 0, 1 << 20, news.stage) &&
                       readWord(json, "progress", phases, news.standing) && read(json, "ceiling", news.cap) &&
                       news.cap >= 0 && news.cap <= 1 && readAge(json, news.age);
    if (!whole) return {};
    return news;
}

Json parsed(std::string_view text) { return Json::parse(text.begin(), text.end(), nullptr, false); }

// As the simulator's wire writes them: see settings.hpp.
void flatten(const Json& json, const std::string& path, NamedValues& values) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    const auto plain = [](const Json& value) {
        auto text = value.is_string() ? value.get<std::string>() : value.dump();
        for (auto& letter : text)
            if (letter == ' ' || letter == ',') letter = '_';
        return text;
    };
    if (json.is_object()) {
        for (const auto& [name, value] : json.items()) flatten(value, below(name), values);
    } else if (json.is_array() && !json.empty() && json.front().is_object()) {
        values[below("count")] = std::to_string(json.size());
        for (std::size_t at = 0; at < json.size(); ++at) flatten(json[at], below(std::to_string(at)), values);
    } else if (json.is_array()) {
        auto& list = values[path];
        for (const auto& value : json) list += (list.empty() ? "" : ",") + plain(value);
    } else if (!json.is_null()) {
        values[path] = plain(json);
    }
}

}  // namespace

bool meantOnce(std::string_view header) {
    static constexpr std::string_view once[] = {headers::id,   headers::group,   headers::budget,
                                                headers::mark, "Content-Length", "Transfer-Encoding",
                                                "Host"};
    return std::any_of(std::begin(once), std::end(once), [&](auto name) {
        return name.size() == header.size() && strncasecmp(name.data(), header.data(), name.size()) == 0;
    });
}

std::optional<Nanos> readBudget(std::string_view text) {
    if (text.empty()) return {};
    const double unit = text.back() == 'm' ? 1e6 : text.back() == 'u' ? 1e3 : 0;
    double number = 0;
    if (unit == 0 || !parse(text.substr(0, text.size() - 1), number)) return {};
    if (!(number > 0) || !(number * unit <= longestWait)) return {};
    return std::llround(number * unit);
}

std::string budgetText(Nanos span) { return std::to_string(std::max<Nanos>(span / 1000, 1)) + "u"; }

Nanos readRetryAfter(std::string_view seconds) {
    double number = 0;
    if (!parse(seconds, number) || !(number > 0) || !(number * 1e9 <= longestWait)) return 0;
    return std::llround(number * 1e9);
}

Nanos readWork(std::string_view micros) {
    double number = 0;
    if (!parse(micros, number) || !(number > 0) || !(number * 1e3 <= farthest)) return 0;
    return std::llround(number * 1e3);
}

double readHolds(std::string_view report) {
    for (auto pair : split(report, ',')) {
        while (!pair.empty() && (pair.front() == ' ' || pair.front() == '\n')) pair.remove_prefix(1);
        while (!pair.empty() && (pair.back() == '\n' || pair.back() == '\r')) pair.remove_suffix(1);
        const auto equals = pair.find('=');
        double value = 0;
        if (equals == pair.npos || pair.substr(0, equals) != "inflight") continue;
        if (parse(pair.substr(equals + 1), value) && value >= 0 && value <= farthest) return value;
    }
    return -1;
}

std::optional<PodList> readPodList(std::string_view json) { return podList(parsed(json)); }
std::optional<StageNews> readStageNews(std::string_view json) { return stageNews(parsed(json)); }

std::optional<std::variant<SignOfLife, StageNews, Dispute>> readPlatformLine(std::string_view text) {
    const auto json = parsed(text);
    if (!json.is_object()) return {};
    std::string type;
    if (!read(json, "type", type)) {
        if (json.empty()) return SignOfLife{};
        return {};
    }
    const auto* object = field(json, "object");
    if (!object) return {};
    if (type == "ROLLOUT") {
        if (const auto news = stageNews(*object)) return *news;
    } else if (type == "DISPUTE") {
        Dispute dispute;
        if (read(*object, "host", dispute.pod) && read(*object, "type", dispute.group) &&
            readAge(*object, dispute.age))
            return dispute;
    } else {
        return SignOfLife{};  // a kind that this program does not know is skipped
    }
    return {};
}

std::string voteText(Verdict verdict, int build, int stage) {
    static constexpr const char* words[] = {"WITHDRAW", "PROCEED", "HOLD", "ROLLBACK"};
    const Json vote = {{"image", build}, {"ring", stage}, {"opinion", words[static_cast<int>(verdict)]}};
    return vote.dump();
}

Told readTold(std::string_view text) {
    const auto json = parsed(text);
    if (!json.is_object()) throw std::invalid_argument("configuration: not a JSON object");
    const auto need = [&](bool read, const char* name) {
        if (!read)
            throw std::invalid_argument(std::string("configuration: field ") + name +
                                        " is missing or cannot be read");
    };
    Told told;
    need(read(json, "name", told.name), "name");
    need(read(json, "listen", told.listen), "listen");
    need(read(json, "discovery", told.discovery), "discovery");
    std::string seed;
    need(read(json, "seed", seed) &&
             std::from_chars(seed.data(), seed.data() + seed.size(), told.seed, 16).ptr ==
                 seed.data() + seed.size(),
         "seed");
    const auto* limits = field(json, "limits");
    need(limits && readWhole(*limits, "sockets", 1, 1 << 30, told.sockets), "limits.sockets");
    const auto* platform = field(json, "deployer");
    need(platform && read(*platform, "address", told.platform), "deployer.address");
    if (const auto* news = field(*platform, "news")) told.news = stageNews(*news);
    if (const auto* known = field(json, "known")) told.known = podList(*known);
    read(json, "peer_listen", told.peerListen);
    read(json, "peers_all", told.peersAll);
    if (const auto* peers = field(json, "peers")) {
        need(peers->is_array(), "peers");
        for (const auto& peer : *peers) {
            need(peer.is_string(), "peers");
            told.peers.push_back(peer.get<std::string>());
        }
    }
    const auto* settings = field(json, "settings");
    need(settings && settings->is_object(), "settings");
    flatten(*settings, "", told.settings);
    return told;
}

}  // namespace lichenlanding::net
