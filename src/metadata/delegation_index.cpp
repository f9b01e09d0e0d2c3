#include "metadata/delegation_index.hpp"

#include <algorithm>

namespace lichenlanding::metadata {
namespace {

bool hasWildcard(std::string_view text) { return text.find_first_of("*?") != std::string_view::npos; }

// Matches one segment. On a mismatch only the last '*' is extended by a character; backtracking to an earlier
// '*' cannot help.
bool segmentMatches(std::string_view pattern, std::string_view text) {
    std::size_t patternAt = 0;
    std::size_t textAt = 0;
    std::size_t star = std::string_view::npos;
    std::size_t starEnd = 0;
    while (textAt < text.size()) {
        if (patternAt < pattern.size() && pattern[patternAt] == '*') {
            star = patternAt++;
            starEnd = textAt;
        } else if (patternAt < pattern.size() &&
                   (pattern[patternAt] == '?' || pattern[patternAt] == text[textAt])) {
            ++patternAt;
            ++textAt;
        } else if (star != std::string_view::npos) {
            patternAt = star + 1;
            textAt = ++starEnd;
        } else {
            return false;
        }
    }
    return pattern.find_first_not_of('*', patternAt) == std::string_view::npos;
}

std::size_t segmentsOf(std::string_view path) {
    return 1 + static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
}

// Group key: the number of all segments, then the first `count` segments with their slashes.
std::string groupKey(std::string_view path, std::size_t segments, std::size_t count) {
    std::size_t end = 0;
    for (std::size_t segment = 0; segment < count; ++segment) end = path.find('/', end) + 1;
    return std::to_string(segments) + "/" + std::string(path.substr(0, end));
}

}  // namespace

bool patternMatches(std::string_view pattern, std::string_view path) {
    while (true) {
        const auto patternEnd = pattern.find('/');
        const auto pathEnd = path.find('/');
        if (!segmentMatches(pattern.substr(0, patternEnd), path.substr(0, pathEnd))) return false;
        if (patternEnd == std::string_view::npos || pathEnd == std::string_view::npos)
            return patternEnd == pathEnd;
        pattern.remove_prefix(patternEnd + 1);
        path.remove_prefix(pathEnd + 1);
    }
}

void DelegationIndex::add(std::uint32_t number, const std::vector<std::string>& patterns,
                          const std::vector<std::string>& hashPrefixes) {
    for (const auto& digits : hashPrefixes) prefixes_[digits.size()].push_back({digits, number});
    for (const auto& pattern : patterns) {
        if (!hasWildcard(pattern)) {
            literal_[pattern].push_back(number);
            continue;
        }
        const auto literal = std::string_view(pattern).substr(0, pattern.find_first_of("*?"));
        const auto count = static_cast<std::size_t>(std::count(literal.begin(), literal.end(), '/'));
        const auto segments = segmentsOf(pattern);
        wildcardPatterns_[groupKey(pattern, segments, count)].push_back({pattern, number});
        auto& lengths = literalSegmentCounts_[segments];
        if (std::find(lengths.begin(), lengths.end(), count) == lengths.end()) lengths.push_back(count);
    }
}

void DelegationIndex::seal() {
    for (auto& [length, all] : prefixes_)
        std::stable_sort(all.begin(), all.end(),
                         [](auto& one, auto& other) { return one.digits < other.digits; });
    for (auto& [segments, lengths] : literalSegmentCounts_) std::sort(lengths.begin(), lengths.end());
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
    if (const auto lengths = literalSegmentCounts_.find(segments); lengths != literalSegmentCounts_.end())
        for (const auto count : lengths->second) {
            const auto group = wildcardPatterns_.find(groupKey(path, segments, count));
            if (group == wildcardPatterns_.end()) continue;
            for (const auto& [pattern, number] : group->second)
                if (patternMatches(pattern, path)) found.push_back(number);
        }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

}  // namespace lichenlanding::metadata
