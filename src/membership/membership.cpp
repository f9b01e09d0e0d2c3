#include "membership/membership.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::membership {
namespace {

using Members = std::vector<consensus::Member>;

bool contains(const Members& members, const consensus::Member& member) {
    return std::find(members.begin(), members.end(), member) != members.end();
}

// Whether the loss of the `lost` places with most members leaves more than half of all members.
template <typename Place>
bool survives(const Members& members, int lost, Place place) {
    std::map<std::string, std::size_t> counts;
    for (const auto& member : members) ++counts[place(member)];
    std::vector<std::size_t> largest;
    for (const auto& [_, count] : counts) largest.push_back(count);
    std::sort(largest.rbegin(), largest.rend());
    std::size_t gone = 0;
    for (std::size_t at = 0; at < largest.size() && at < static_cast<std::size_t>(lost); ++at)
        gone += largest[at];
    return 2 * gone < members.size();
}

// So many of `pool`, spread: always one from the region, then the zone, that has the fewest yet.
Members spread(const Members& pool, std::size_t count, const Members& now) {
    Members chosen;
    Members left = pool;
    std::map<std::string, int> zones;
    std::map<std::string, int> regions;
    while (chosen.size() < count && !left.empty()) {
        const auto rank = [&](const consensus::Member& one) {
            return std::tuple(regions[one.region], zones[one.zone], !contains(now, one),
                              hashing::hash("member", one.address), one.disk);
        };
        const auto best = std::min_element(left.begin(), left.end(), [&](const auto& one, const auto& other) {
            return rank(one) < rank(other);
        });
        ++regions[best->region];
        ++zones[best->zone];
        chosen.push_back(*best);
        left.erase(best);
    }
    return chosen;
}

// Those that can be members, in order: present, and complete or members already.
Members eligible(const Members& now, const std::vector<Candidate>& candidates) {
    Members pool;
    for (const auto& candidate : candidates)
        if (candidate.present && (candidate.complete || contains(now, candidate.member)))
            pool.push_back(candidate.member);
    std::sort(pool.begin(), pool.end());
    return pool;
}

// The smallest number of members with the fewest unmet losses.
Members smallestSet(const Members& pool, const Members& now, const FaultTolerance& tolerance) {
    const auto least = static_cast<std::size_t>(2 * std::max(tolerance.machines, 0) + 1);
    Members chosen;
    std::size_t fewestUnmet = 0;
    for (auto count = least; count <= std::max(least, pool.size()); count += 2) {
        auto members = spread(pool, count, now);
        const auto unmet = unmetTolerance(members, tolerance).size();
        if (chosen.empty() || unmet < fewestUnmet) {
            chosen = std::move(members);
            fewestUnmet = unmet;
        }
        if (unmet == 0) break;
    }
    return chosen;
}

}  // namespace

std::vector<std::string> unmetTolerance(const Members& members, const FaultTolerance& tolerance) {
    std::vector<std::string> all;
    const auto check = [&](int lost, const char* kind, auto place) {
        if (lost > 0 && !survives(members, lost, place))
            all.push_back(std::to_string(lost) + " " + kind + (lost > 1 ? "s" : ""));
    };
    check(tolerance.machines, "machine", [](const consensus::Member& one) { return one.address; });
    check(tolerance.zones, "zone", [](const consensus::Member& one) { return one.zone; });
    check(tolerance.regions, "region", [](const consensus::Member& one) { return one.region; });
    return all;
}

Members planMembers(const Members& now, const std::vector<Candidate>& candidates,
                    const FaultTolerance& tolerance) {
    const auto pool = eligible(now, candidates);
    auto chosen = smallestSet(pool, now, tolerance);
    // Where the machines at hand are too few, absent members keep their places.
    for (const auto& member : now) {
        if (chosen.size() >= std::max(now.size(), std::size_t{1})) break;
        if (!contains(chosen, member)) chosen.push_back(member);
    }
    // What would not have a majority of its own at once is no plan.
    const auto live = std::count_if(chosen.begin(), chosen.end(), [&](const auto& one) {
        return std::binary_search(pool.begin(), pool.end(), one);
    });
    if (2 * static_cast<std::size_t>(live) <= chosen.size()) return now;
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}  // namespace lichenlanding::membership
