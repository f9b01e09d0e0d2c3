// Which of a role's delegations may speak of a path, without asking each: an index made for it.
// Source: TUF 1.0, 4.5 ("paths", "path_hash_prefixes": '*' and '?' do not match '/').
//
// A path is looked up by the beginnings of its hash (one sorted array for each length that occurs) and by its
// pattern's shape: patterns without wildcards in a hash map, the others by number of segments and the literal
// segments before their first wildcard. Only patterns that share all that with the path are matched. With b
// hash bins a look-up costs a binary search, where the plain walk compares b prefixes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lichenlanding::metadata {

/// '*': any number of characters, '?': one, neither a '/'; '[...]' is literal. Linear in either length's
/// product at worst; segments are matched one by one.
bool patternMatches(std::string_view pattern, std::string_view path);

class DelegationIndex {
  public:
    /// In the order of priority: the number given is what matching() returns. Then seal().
    void add(std::uint32_t number, const std::vector<std::string>& patterns,
             const std::vector<std::string>& hashPrefixes);
    void seal();

    /// Ascending, each once. pathHash: hex of the path's SHA-256.
    std::vector<std::uint32_t> matching(std::string_view path, std::string_view pathHash) const;

  private:
    struct Prefix {
        std::string digits;
        std::uint32_t number;
    };
    struct Shaped {
        std::string pattern;
        std::uint32_t number;
    };
    std::map<std::size_t, std::vector<Prefix>> prefixes_;                  // by length, sorted by digits
    std::unordered_map<std::string, std::vector<std::uint32_t>> literal_;  // never iterated
    // By segments and the literal beginning, "3/releases/"; the beginnings' lengths that occur, in segments.
    std::unordered_map<std::string, std::vector<Shaped>> shaped_;  // never iterated
    std::map<std::size_t, std::vector<std::size_t>> beginnings_;   // by segments: literal segments, ascending
};

}  // namespace lichenlanding::metadata
