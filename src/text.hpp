// Cutting text up and reading numbers in it, for every door.
#pragma once

#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

#include "state.hpp"

namespace lichenlanding {

inline std::vector<std::string_view> split(std::string_view text, char by) {
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

inline Nanos nanosOfMillis(double ms) {  // the simulator's wire counts in microseconds
    return std::llround(ms * 1000.0) * 1000;
}

}  // namespace lichenlanding
