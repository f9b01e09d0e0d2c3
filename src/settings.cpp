#include "settings.hpp"

#include <algorithm>
#include <cmath>

#include "text.hpp"

namespace lichenlanding {
namespace {

constexpr double leastCalls = 0.1;  // a second: a party that is told to take none is still asked

class Pairs {
  public:
    explicit Pairs(const NamedValues& values) : values_(values) {}

    std::string text(const std::string& key) const {
        const auto found = values_.find(key);
        if (found == values_.end()) throw MissingSetting("missing setting " + key);
        return found->second;
    }
    std::string text(const std::string& key, const char* otherwise) const {
        return values_.count(key) ? text(key) : otherwise;
    }
    double number(const std::string& key) const {
        double value = 0;
        if (!parse(std::string_view(text(key)), value) || !std::isfinite(value))
            throw MissingSetting("unreadable setting " + key);
        return value;
    }
    double number(const std::string& key, double otherwise) const {
        return values_.count(key) ? number(key) : otherwise;
    }
    Nanos time(const std::string& key) const { return nanosOfMillis(number(key)); }
    bool truth(const std::string& key) const { return text(key) == "true"; }
    bool truth(const std::string& key, bool otherwise) const {
        return values_.count(key) ? truth(key) : otherwise;
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

PathGroup readGroup(const Pairs& pairs, int index) {
    const auto path = "classes." + std::to_string(index) + ".";
    PathGroup group;
    group.index = index;
    group.name = pairs.text(path + "name");
    group.target = pairs.time(path + "goalTimeMs");
    group.timeout = pairs.time(path + "deadlineMs");
    group.benefit = pairs.number(path + "worth", 1);
    group.streaming = pairs.truth(path + "streaming", false);
    const auto effect = pairs.text(path + "effect");
    group.effect = effect == "pure"    ? Effect::repeatable
                   : effect == "token" ? Effect::tagged
                                       : Effect::mutating;
    if (group.effect == Effect::tagged) {
        const auto reach = pairs.text(path + "group");
        group.reach = reach == "all" ? Reach::all : reach == "zone" ? Reach::zone : Reach::cell;
        group.window = pairs.time(path + "windowMs");
    }
    return group;
}

}  // namespace

Settings readSettings(const NamedValues& values) {
    const Pairs pairs(values);
    Settings told;
    told.index = static_cast<int>(pairs.number("index"));
    told.balancers = static_cast<int>(pairs.number("balancers"));
    told.zones = pairs.list("zones");
    for (std::size_t zone = 0; zone < told.zones.size(); ++zone)
        if (told.zones[zone] == pairs.text("zone", "")) told.zone = static_cast<int>(zone);
    const int groups = static_cast<int>(pairs.number("classes.count"));
    for (int group = 0; group < groups; ++group) told.groups.push_back(readGroup(pairs, group));
    told.mayTell = pairs.truth("limits.mayTell", false);
    told.mayCancel = pairs.truth("limits.cancelling", false);
    told.mayProbe = pairs.truth("limits.probes", false);
    told.probesTell = told.mayProbe && pairs.text("report.how", "off") == "on_probe";
    told.mayDuplicate = pairs.truth("limits.mayDuplicate", false);
    told.adviseRetry = pairs.truth("limits.retryAfter", false);
    told.maxRetryAfter = told.adviseRetry ? pairs.time("limits.maxRetryAfterMs") : 0;
    told.maxForwards = static_cast<int>(pairs.number("limits.maxAttempts"));
    told.askForList = pairs.text("discovery", "push") == "ask";
    told.drainGrace = pairs.time("rules.drainGraceMs");
    told.coldFrom = pairs.number("rules.coldFrom");
    told.coldTime = pairs.time("rules.coldMs");
    told.fallMultiple = pairs.number("rules.fallMultiple");
    told.fallTime = pairs.time("rules.overloadForMs");
    const auto control = pairs.text("extra.voteMode");
    told.control = control == "single"    ? Control::single
                   : control == "clocked" ? Control::clocked
                                          : Control::majority;
    for (const auto& cap : pairs.list("extra.caps")) {
        double value = 0;
        if (!parse(std::string_view(cap), value)) throw MissingSetting("unreadable setting extra.caps");
        told.caps.push_back(value);
    }
    told.freeForwards = pairs.number("extra.free");
    told.exposureWindow = pairs.time("extra.exposureWindowMs");
    told.voteLife = pairs.time("extra.ballotTtlMs");
    told.answerWait = pairs.time("extra.answerWaitMs");
    told.votesPerSecond = std::max(pairs.number("extra.callsPerS"), leastCalls);
    told.closedStages = static_cast<int>(pairs.number("extra.closedStages", 0));
    told.backVotes = static_cast<int>(pairs.number("extra.noesNeeded", 1));
    told.onVotes = static_cast<int>(pairs.number("extra.votesToGo", 0));
    told.perGroup = pairs.text("extra.counts", "all") == "per_lane";
    told.oneWay = pairs.truth("extra.oneWay", false);
    told.connectWithin = nanosOfMillis(pairs.number("limits.connectTimeoutMs", 0));
    told.keepIdle = nanosOfMillis(pairs.number("limits.keepaliveMs", 0));
    told.grain = nanosOfMillis(pairs.number("tickMs", 0));
    told.maxOpen = static_cast<int>(pairs.number("limits.maxOpen", 0));
    return told;
}

}  // namespace lichenlanding
