#include "adapter/wire.hpp"

#include <cstdio>
#include <map>

#include "text.hpp"

namespace lichenlanding::adapter {
namespace {

constexpr double kMaxMillis = 1e12;  // largest accepted time
constexpr std::string_view kAbsent = "-";

Availability readAvailability(LineReader& line) {
    const auto state = line.string("availability");
    if (state == "U") return Availability::up;
    if (state == "L") return Availability::draining;
    if (state == "D") return Availability::removed;
    line.fail("availability");
}

}  // namespace

LineReader::LineReader(std::string_view text) : fields_(split(text, '\t')) {
    messageName_ = fields_[0];
    next_ = 1;
}

void LineReader::fail(const char* field) const {
    throw ParseError("cannot read " + std::string(messageName_) + ": field " + field);
}

std::string_view LineReader::string(const char* field) {
    if (next_ >= fields_.size()) fail(field);
    return fields_[next_++];
}

std::int64_t LineReader::integer(const char* field, std::int64_t min, std::int64_t max) {
    std::int64_t value = 0;
    if (!parse(string(field), value) || value < min || value > max) fail(field);
    return value;
}

double LineReader::number(const char* field) {
    double value = 0;
    if (!parse(string(field), value) || !std::isfinite(value)) fail(field);
    return value;
}

Nanos LineReader::time(const char* field) {
    const auto ms = number(field);
    if (std::abs(ms) > kMaxMillis) fail(field);
    return nanosOfMillis(ms);
}

std::uint64_t LineReader::seed(const char* field) {
    const auto text = string(field);
    std::uint64_t value = 0;
    std::int64_t negative = 0;
    if (parse(text, value)) return value;
    if (parse(text, negative)) return static_cast<std::uint64_t>(negative);
    fail(field);
}

bool LineReader::boolean(const char* field) { return integer(field, 0, 1) == 1; }

std::string LineReader::bytes(const char* field) {
    const auto text = string(field);
    std::string bytes;
    if (text == kAbsent) return bytes;
    if (text.size() % 2) fail(field);
    for (std::size_t at = 0; at < text.size(); at += 2) {
        unsigned value = 0;
        const auto* end = text.data() + at + 2;
        const auto read = std::from_chars(text.data() + at, end, value, 16);
        if (read.ec != std::errc() || read.ptr != end) fail(field);
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

double LineReader::loadValue(const char* field, std::string_view name) {
    const auto text = string(field);
    if (text == kAbsent || text.empty()) return -1;
    for (auto pair : split(text, ',')) {
        const auto colon = pair.find(':');
        double value = 0;
        if (colon == std::basic_string_view<char, std::char_traits<char>>::npos ||
            !parse(pair.substr(colon + 1), value) || !std::isfinite(value))
            fail(field);
        if (pair.substr(0, colon) == name) return value;
    }
    return -1;
}

std::vector<std::string_view> LineReader::remainingFields() {
    std::vector<std::string_view> remaining(fields_.begin() + static_cast<std::ptrdiff_t>(next_),
                                            fields_.end());
    next_ = fields_.size();
    return remaining;
}

bool LineReader::skipAbsent() {
    if (next_ >= fields_.size() || fields_[next_] != kAbsent) return false;
    ++next_;
    return true;
}

std::int64_t LineReader::integerOr(std::int64_t fallback, const char* field, std::int64_t min,
                                   std::int64_t max) {
    return skipAbsent() ? fallback : integer(field, min, max);
}

double LineReader::numberOr(double fallback, const char* field) {
    return skipAbsent() ? fallback : number(field);
}

Nanos LineReader::timeOr(Nanos fallback, const char* field) { return skipAbsent() ? fallback : time(field); }

std::string_view LineReader::stringOr(std::string_view fallback, const char* field) {
    return skipAbsent() ? fallback : string(field);
}

EndpointRow readEndpointRow(LineReader& line) {
    EndpointRow row;
    row.build = static_cast<int>(line.number("ver"));
    row.pod = static_cast<std::uint32_t>(line.integer("pod", 0, 0xffffffffLL));
    row.zone = line.string("regionPart");
    line.string("machine");
    row.cell = static_cast<int>(line.integerOr(row.cell, "cluster", -1, 1 << 30));
    row.availability = readAvailability(line);
    line.numberOr(0, "nominal");
    // 0 means that the start time is unknown, like an absent field.
    if (const auto startedAt = line.timeOr(0, "launchedMs"); startedAt != 0) row.startedAt = startedAt;
    return row;
}

Outcome readOutcome(LineReader& line, const char* field) {
    static const std::map<std::string_view, Outcome> kOutcomes = {
        {"completed", Outcome::succeeded},      {"errored", Outcome::failed},
        {"saturated", Outcome::rejected},       {"overdue", Outcome::timedOut},
        {"refused_conn", Outcome::unreachable}, {"severed", Outcome::connectionLost},
        {"recalled", Outcome::cancelled},       {"superseded", Outcome::superseded}};
    const auto found = kOutcomes.find(line.string(field));
    if (found == kOutcomes.end()) line.fail(field);
    return found->second;
}

NamedValues readNamedValues(const std::vector<std::string_view>& fields) {
    NamedValues values;
    for (auto field : fields)
        if (const auto equals = field.find('=');
            equals != std::basic_string_view<char, std::char_traits<char>>::npos)
            values.emplace(field.substr(0, equals), field.substr(equals + 1));
    return values;
}

std::string formatHex(std::string_view bytes) {
    static const char kDigits[] = "0123456789abcdef";
    std::string text;
    for (auto byte : bytes) {
        text.push_back(kDigits[static_cast<unsigned char>(byte) >> 4]);
        text.push_back(kDigits[static_cast<unsigned char>(byte) & 15]);
    }
    return text.empty() ? std::string(kAbsent) : text;
}

std::string formatMillis(Nanos span) {
    char text[40];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / 1e6);
    return text;
}

}  // namespace lichenlanding::adapter
