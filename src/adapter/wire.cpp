#include "adapter/wire.hpp"

#include <cstdio>
#include <map>

#include "text.hpp"

namespace lichenlanding::wire {

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
    return nanosOfMillis(ms);
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

NamedValues readPairs(const std::vector<std::string_view>& pairs) {
    NamedValues values;
    for (auto pair : pairs)
        if (const auto equals = pair.find('='); equals != pair.npos)
            values.emplace(pair.substr(0, equals), pair.substr(equals + 1));
    return values;
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
