#include "settings.hpp"

#include <algorithm>
#include <cmath>

#include "text.hpp"

namespace lichenlanding {
namespace {

// A rate limit of 0 would cause a division by zero and hold back every vote forever.
constexpr double kMinVotesPerSecond = 0.1;

// Typed access to named values. A missing value throws unless there is a default.
class ValueReader {
  public:
    explicit ValueReader(const NamedValues& values) : values_(values) {}

    std::string text(const std::string& key) const {
        const auto found = values_.find(key);
        if (found == values_.end()) throw SettingError("missing setting " + key);
        return found->second;
    }
    std::string text(const std::string& key, const char* fallback) const {
        return values_.contains(key) ? text(key) : fallback;
    }
    double number(const std::string& key) const {
        double value = 0;
        if (!parse(std::string_view(text(key)), value) || !std::isfinite(value))
            throw SettingError("unreadable setting " + key);
        return value;
    }
    double number(const std::string& key, double fallback) const {
        return values_.contains(key) ? number(key) : fallback;
    }
    int integer(const std::string& key) const { return static_cast<int>(number(key)); }
    int integer(const std::string& key, int fallback) const {
        return static_cast<int>(number(key, fallback));
    }
    Nanos time(const std::string& key) const { return nanosOfMillis(number(key)); }
    Nanos time(const std::string& key, double fallback) const { return nanosOfMillis(number(key, fallback)); }
    bool boolean(const std::string& key) const { return text(key) == "true"; }
    bool boolean(const std::string& key, bool fallback) const {
        return values_.contains(key) ? boolean(key) : fallback;
    }
    std::vector<std::string> list(const std::string& key) const {
        std::vector<std::string> items;
        const auto value = text(key);
        if (!value.empty())
            for (auto item : split(value, ',')) items.emplace_back(item);
        return items;
    }

  private:
    const NamedValues& values_;
};

Effect parseEffect(const std::string& value) {
    if (value == "pure") return Effect::idempotent;
    return value == "token" ? Effect::deduplicated : Effect::nonIdempotent;
}

DedupScope parseDedupScope(const std::string& value) {
    if (value == "all") return DedupScope::all;
    return value == "zone" ? DedupScope::zone : DedupScope::cell;
}

VoteMode parseVoteMode(const std::string& value) {
    if (value == "single") return VoteMode::single;
    return value == "clocked" ? VoteMode::timed : VoteMode::majority;
}

PathGroup readGroup(const ValueReader& values, int index) {
    const auto path = "classes." + std::to_string(index) + ".";
    PathGroup group;
    group.index = index;
    group.name = values.text(path + "name");
    group.target = values.time(path + "goalTimeMs");
    group.timeout = values.time(path + "deadlineMs");
    group.priorityWeight = values.number(path + "worth", 1);
    group.streaming = values.boolean(path + "streaming", false);
    group.effect = parseEffect(values.text(path + "effect"));
    if (group.effect == Effect::deduplicated) {
        group.dedupScope = parseDedupScope(values.text(path + "group"));
        group.dedupWindow = values.time(path + "windowMs");
    }
    return group;
}

void readIdentity(const ValueReader& values, Settings& settings) {
    settings.index = values.integer("index");
    settings.sidecarCount = values.integer("balancers");
    settings.zones = values.list("zones");
    for (std::size_t zone = 0; zone < settings.zones.size(); ++zone)
        if (settings.zones[zone] == values.text("zone", "")) settings.zone = static_cast<int>(zone);
    const int groups = values.integer("classes.count");
    for (int group = 0; group < groups; ++group) settings.groups.push_back(readGroup(values, group));
}

void readLimits(const ValueReader& values, Settings& settings) {
    settings.peerMessages = values.boolean("limits.mayTell", false);
    settings.cancellationAllowed = values.boolean("limits.cancelling", false);
    settings.probesAllowed = values.boolean("limits.probes", false);
    settings.reportsOnProbes = settings.probesAllowed && values.text("report.how", "off") == "on_probe";
    settings.hedgingAllowed = values.boolean("limits.mayDuplicate", false);
    settings.sendRetryAfter = values.boolean("limits.retryAfter", false);
    settings.maxRetryAfter = settings.sendRetryAfter ? values.time("limits.maxRetryAfterMs") : 0;
    settings.maxAttempts = values.integer("limits.maxAttempts");
    settings.pullEndpoints = values.text("discovery", "push") == "ask";
}

void readRules(const ValueReader& values, Settings& settings) {
    settings.drainGrace = values.time("rules.drainGraceMs");
    settings.slowStartFloor = values.number("rules.coldFrom");
    settings.slowStartTime = values.time("rules.coldMs");
    settings.overloadMultiple = values.number("rules.fallMultiple");
    settings.overloadTime = values.time("rules.overloadForMs");
}

void readRollout(const ValueReader& values, Settings& settings) {
    settings.voteMode = parseVoteMode(values.text("extra.voteMode"));
    for (const auto& cap : values.list("extra.caps")) {
        double value = 0;
        if (!parse(std::string_view(cap), value)) throw SettingError("unreadable setting extra.caps");
        settings.caps.push_back(value);
    }
    settings.freeAttempts = values.number("extra.free");
    settings.exposureWindow = values.time("extra.exposureWindowMs");
    settings.voteTtl = values.time("extra.ballotTtlMs");
    settings.voteTimeout = values.time("extra.answerWaitMs");
    settings.votesPerSecond = std::max(values.number("extra.callsPerS"), kMinVotesPerSecond);
    settings.restrictedStages = values.integer("extra.closedStages", 0);
    settings.rollBackVotesNeeded = values.integer("extra.noesNeeded", 1);
    settings.advanceVotesNeeded = values.integer("extra.votesToGo", 0);
    settings.perGroup = values.text("extra.counts", "all") == "per_lane";
    settings.monotonicKeys = values.boolean("extra.oneWay", false);
}

void readConnections(const ValueReader& values, Settings& settings) {
    settings.connectTimeout = values.time("limits.connectTimeoutMs", 0);
    settings.idleTimeout = values.time("limits.keepaliveMs", 0);
    settings.clockGranularity = values.time("tickMs", 0);
    settings.maxInFlight = values.integer("limits.maxOpen", 0);
}

}  // namespace

Settings readSettings(const NamedValues& values) {
    const ValueReader reader(values);
    Settings settings;
    readIdentity(reader, settings);
    readLimits(reader, settings);
    readRules(reader, settings);
    readRollout(reader, settings);
    readConnections(reader, settings);
    return settings;
}

}  // namespace lichenlanding
