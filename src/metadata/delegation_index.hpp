// Index of a role's delegations by target path, so that a lookup need not test every delegation.
// Source: TUF 1.0, 4.5 ("paths", "path_hash_prefixes": '*' and '?' do not match '/').
//
// Hash prefixes are kept in one sorted array for each prefix length. Patterns without wildcards are kept in a
// hash map; patterns with wildcards are grouped by the number of segments and the literal segments before the
// first wildcard, and only those in the path's groups are matched. With b hash bins a lookup is a binary
// search, where a scan compares b prefixes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lichenlanding::metadata {

/// '*' matches any number of characters and '?' one, except '/'; '[...]' is literal. Takes at most time
/// proportional to the product of both lengths.
bool patternMatches(std::string_view pattern, std::string_view path);

class DelegationIndex {
  public:
    /// Adds a delegation; matching() returns its number. Call in order of priority, then call seal().
    void add(std::uint32_t number, const std::vector<std::string>& patterns,
             const std::vector<std::string>& hashPrefixes);
    void seal();

    /// Numbers of the delegations for a path, ascending and distinct. pathHash: hex SHA-256 of the path.
    std::vector<std::uint32_t> matching(std::string_view path, std::string_view pathHash) const;

  private:
    struct Prefix {
        std::string digits;
        std::uint32_t number;
    };
    struct WildcardPattern {
        std::string pattern;
        std::uint32_t number;
    };
    std::map<std::size_t, std::vector<Prefix>> prefixes_;                  // by length, sorted by digits
    std::unordered_map<std::string, std::vector<std::uint32_t>> literal_;  // never iterated
    // Key: number of segments and the literal first segments, e.g. "3/releases/".
    std::unordered_map<std::string, std::vector<WildcardPattern>> wildcardPatterns_;  // never iterated
    std::map<std::size_t, std::vector<std::size_t>>
        literalSegmentCounts_;  // by number of segments: counts of literal first segments, ascending
};

}  // namespace lichenlanding::metadata
