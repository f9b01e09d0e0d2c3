#include "wire.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <map>

namespace lichenlanding::wire {
namespace {

std::vector<std::string_view> split(std::string_view text, char by) {
    std::vector<std::string_view> parts;
    for (std::size_t from = 0;;) {
        const auto to = text.find(by, from);
        parts.push_back(text.substr(from, to == text.npos ? to : to - from));
        if (to == text.npos) return parts;
        from = to + 1;
    }
}

template <typename T>
bool parse(std::string_view text, T& value) {
    const auto end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc() && read.ptr == end && !text.empty();
}

Nanos nanos(double ms) { return std::llround(ms * 1000.0) * 1000; }  // the wire counts in microseconds

class Pairs {
  public:
    explicit Pairs(const std::vector<std::string_view>& pairs) {
        for (auto pair : pairs)
            if (const auto equals = pair.find('='); equals != pair.npos)
                values_.emplace(pair.substr(0, equals), pair.substr(equals + 1));
    }

    std::string text(const std::string& key) const {
        const auto found = values_.find(key);
        if (found == values_.end()) throw MissingSetting("missing setting " + key);
        return std::string(found->second);
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
    Nanos time(const std::string& key) const { return nanos(number(key)); }
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
    std::map<std::string, std::string_view, std::less<>> values_;
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

Line::Line(std::string_view text) : parts_(split(text, '\t')) {
    name_ = parts_[0];
    next_ = 1;
}

void Line::fail(const char* field) const {
    throw Unreadable("cannot read " + std::string(name_) + ": field " + field);
}

std::string_view Line::word(const char* field) {
    if (next_ >= parts_.size()) fail(field);
    return parts_[next_++];
}

std::int64_t Line::integer(const char* field, std::int64_t least, std::int64_t most) {
    std::int64_t value = 0;
    if (!parse(word(field), value) || value < least || value > most) fail(field);
    return value;
}

double Line::number(const char* field) {
    double value = 0;
    if (!parse(word(field), value) || !std::isfinite(value)) fail(field);
    return value;
}

Nanos Line::time(const char* field) {
    const auto ms = number(field);
    if (std::abs(ms) > 1e12) fail(field);
    return nanos(ms);
}

std::uint64_t Line::seed(const char* field) {
    const auto text = word(field);
    std::uint64_t value = 0;
    std::int64_t negative = 0;
    if (parse(text, value)) return value;
    if (parse(text, negative)) return static_cast<std::uint64_t>(negative);
    fail(field);
}

bool Line::truth(const char* field) { return integer(field, 0, 1) == 1; }

std::string Line::bytes(const char* field) {
    const auto text = word(field);
    std::string bytes;
    if (text == "-") return bytes;
    if (text.size() % 2) fail(field);
    for (std::size_t at = 0; at < text.size(); at += 2) {
        unsigned value = 0;
        const auto read = std::from_chars(text.data() + at, text.data() + at + 2, value, 16);
        if (read.ec != std::errc() || read.ptr != text.data() + at + 2) fail(field);
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

double Line::report(const char* field, std::string_view value) {
    const auto text = word(field);
    if (text == "-" || text.empty()) return -1;
    for (auto pair : split(text, ',')) {
        const auto colon = pair.find(':');
        double read = 0;
        if (colon == pair.npos || !parse(pair.substr(colon + 1), read) || !std::isfinite(read)) fail(field);
        if (pair.substr(0, colon) == value) return read;
    }
    return -1;
}

std::vector<std::string_view> Line::rest() {
    std::vector<std::string_view> rest(parts_.begin() + static_cast<std::ptrdiff_t>(next_), parts_.end());
    next_ = parts_.size();
    return rest;
}

Row readRow(Line& line) {
    Row row;
    row.build = static_cast<int>(line.number("ver"));
    row.pod = static_cast<std::uint32_t>(line.integer("pod", 0, 0xffffffffLL));
    row.zone = line.word("regionPart");
    line.word("machine");
    if (line.absent()) line.word("cluster");
    else row.cell = static_cast<int>(line.integer("cluster", -1, 1 << 30));
    const auto state = line.word("availability");
    if (state == "U") row.availability = Availability::up;
    else if (state == "L") row.availability = Availability::draining;
    else if (state == "D") row.availability = Availability::gone;
    else line.fail("availability");
    if (line.absent()) line.word("nominal");
    else line.number("nominal");
    if (line.absent()) {
        line.word("launchedMs");
    } else if (const auto started = line.time("launchedMs"); started != 0) {
        row.started = started;
    }
    return row;
}

Outcome readOutcome(Line& line, const char* field) {
    static const std::map<std::string_view, Outcome> words = {
        {"completed", Outcome::delivered},    {"errored", Outcome::errored},
        {"saturated", Outcome::saturated},    {"overdue", Outcome::overdue},
        {"refused_conn", Outcome::unreached}, {"severed", Outcome::severed},
        {"recalled", Outcome::recalled},      {"superseded", Outcome::superseded}};
    const auto found = words.find(line.word(field));
    if (found == words.end()) line.fail(field);
    return found->second;
}

Settings readSettings(const std::vector<std::string_view>& list) {
    const Pairs pairs(list);
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
    told.votesPerSecond = pairs.number("extra.callsPerS");
    told.closedStages = static_cast<int>(pairs.number("extra.closedStages", 0));
    told.backVotes = static_cast<int>(pairs.number("extra.noesNeeded", 1));
    told.perGroup = pairs.text("extra.counts", "all") == "per_lane";
    told.oneWay = pairs.truth("extra.oneWay", false);
    return told;
}

std::string hex(std::string_view bytes) {
    static const char digits[] = "0123456789abcdef";
    std::string text;
    for (auto byte : bytes) {
        text.push_back(digits[static_cast<unsigned char>(byte) >> 4]);
        text.push_back(digits[static_cast<unsigned char>(byte) & 15]);
    }
    return text.empty() ? "-" : text;
}

std::string millis(Nanos span) {
    char text[40];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / 1e6);
    return text;
}

}  // namespace lichenlanding::wire
