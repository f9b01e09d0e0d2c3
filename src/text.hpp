// Helpers to split text and to parse numbers, shared by all text formats.
#pragma once

#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

#include "state.hpp"

namespace lichenlanding {

/// Splits `text` at each `separator`. The parts, one more than there are separators, refer to `text`.
inline std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    for (std::size_t from = 0;;) {
        const auto to = text.find(separator, from);
        parts.push_back(text.substr(from, to == std::string_view::npos ? to : to - from));
        if (to == std::string_view::npos) return parts;
        from = to + 1;
    }
}

/// Parses `text`, all of it, as a decimal number. Returns false, with an unspecified value, if that fails.
template <typename T>
bool parse(std::string_view text, T& value) {
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc() && read.ptr == end && !text.empty();
}

/// Rounds to whole microseconds, the resolution of the simulator's protocol.
inline Nanos nanosOfMillis(double ms) { return std::llround(ms * 1000.0) * 1000; }

}  // namespace lichenlanding
