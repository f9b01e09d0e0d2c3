// Splitting text and parsing numbers, for all text formats.
#pragma once

#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

#include "state.hpp"

namespace lichenlanding {

/// The parts of `text` between occurrences of `by`: one more than there are of it. They refer to `text`.
inline std::vector<std::string_view> split(std::string_view text, char by) {
    std::vector<std::string_view> parts;
    for (std::size_t from = 0;;) {
        const auto to = text.find(by, from);
        parts.push_back(text.substr(from, to == std::string_view::npos ? to : to - from));
        if (to == std::string_view::npos) return parts;
        from = to + 1;
    }
}

/// Parses a decimal number that takes up all of `text`; false, with an unspecified value, if it does not.
template <typename T>
bool parse(std::string_view text, T& value) {
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc() && read.ptr == end && !text.empty();
}

/// Rounded to whole microseconds, in which the simulator's wire counts.
inline Nanos nanosOfMillis(double ms) { return std::llround(ms * 1000.0) * 1000; }

}  // namespace lichenlanding
