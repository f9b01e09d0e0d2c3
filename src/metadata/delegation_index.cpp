#include "metadata/delegation_index.hpp"

#include <algorithm>

namespace lichenlanding::metadata {
namespace {

bool wild(std::string_view text) { return text.find_first_of("*?") != std::string_view::npos; }

// One segment. On a mismatch the last '*' takes one character more; an earlier one need not be asked again.
bool segmentMatches(std::string_view pattern, std::string_view text) {
    std::size_t at = 0;
    std::size_t from = 0;
    std::size_t star = std::string_view::npos;
    std::size_t taken = 0;
    while (from < text.size()) {
        if (at < pattern.size() && pattern[at] == '*') {
            star = at++;
            taken = from;
        } else if (at < pattern.size() && (pattern[at] == '?' || pattern[at] == text[from])) {
            ++at;
            ++from;
        } else if (star != std::string_view::npos) {
            at = star + 1;
            from = ++taken;
        } else {
            return false;
        }
    }
    return pattern.find_first_not_of('*', at) == std::string_view::npos;
}

std::size_t segmentsOf(std::string_view path) {
    return 1 + static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
}

// The first `count` segments with their slashes, behind the number of all: a key that only paths of this
// shape share.
std::string shapeOf(std::string_view path, std::size_t segments, std::size_t count) {
    std::size_t end = 0;
    for (std::size_t one = 0; one < count; ++one) end = path.find('/', end) + 1;
    return std::to_string(segments) + "/" + std::string(path.substr(0, end));
}

}  // namespace

bool patternMatches(std::string_view pattern, std::string_view path) {
    while (true) {
        const auto one = pattern.find('/');
        const auto other = path.find('/');
        if (!segmentMatches(pattern.substr(0, one), path.substr(0, other))) return false;
        if (one == std::string_view::npos || other == std::string_view::npos) return one == other;
        pattern.remove_prefix(one + 1);
        path.remove_prefix(other + 1);
    }
}

void DelegationIndex::add(std::uint32_t number, const std::vector<std::string>& patterns,
                          const std::vector<std::string>& hashPrefixes) {
    for (const auto& digits : hashPrefixes) prefixes_[digits.size()].push_back({digits, number});
    for (const auto& pattern : patterns) {
        if (!wild(pattern)) {
            literal_[pattern].push_back(number);
            continue;
        }
        const auto before = std::string_view(pattern).substr(0, pattern.find_first_of("*?"));
        const auto count = static_cast<std::size_t>(std::count(before.begin(), before.end(), '/'));
        const auto segments = segmentsOf(pattern);
        shaped_[shapeOf(pattern, segments, count)].push_back({pattern, number});
        auto& lengths = beginnings_[segments];
        if (std::find(lengths.begin(), lengths.end(), count) == lengths.end()) lengths.push_back(count);
    }
}

void DelegationIndex::seal() {
    for (auto& [length, all] : prefixes_)
        std::stable_sort(all.begin(), all.end(),
                         [](auto& one, auto& other) { return one.digits < other.digits; });
    for (auto& [segments, lengths] : beginnings_) std::sort(lengths.begin(), lengths.end());
}

std::vector<std::uint32_t> DelegationIndex::matching(std::string_view path, std::string_view pathHash) const {
    std::vector<std::uint32_t> found;
    for (const auto& [length, all] : prefixes_) {
        const auto digits = pathHash.substr(0, length);
        auto at = std::lower_bound(all.begin(), all.end(), digits,
                                   [](auto& one, auto& wanted) { return one.digits < wanted; });
        for (; at != all.end() && at->digits == digits; ++at) found.push_back(at->number);
    }
    if (const auto exact = literal_.find(std::string(path)); exact != literal_.end())
        found.insert(found.end(), exact->second.begin(), exact->second.end());
    const auto segments = segmentsOf(path);
    if (const auto lengths = beginnings_.find(segments); lengths != beginnings_.end())
        for (const auto count : lengths->second) {
            const auto shaped = shaped_.find(shapeOf(path, segments, count));
            if (shaped == shaped_.end()) continue;
            for (const auto& [pattern, number] : shaped->second)
                if (patternMatches(pattern, path)) found.push_back(number);
        }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

}  // namespace lichenlanding::metadata
