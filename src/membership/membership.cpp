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

// Whether more than half of the members remain after the loss of the `lost` failure domains with most
// members.
template <typename DomainOf>
bool survives(const Members& members, int lost, DomainOf domainOf) {
    std::map<std::string, std::size_t> counts;
    for (const auto& member : members) ++counts[domainOf(member)];
    std::vector<std::size_t> largest;
    for (const auto& [_, count] : counts) largest.push_back(count);
    std::sort(largest.rbegin(), largest.rend());
    std::size_t lostMembers = 0;
    for (std::size_t index = 0; index < largest.size() && index < static_cast<std::size_t>(lost); ++index)
        lostMembers += largest[index];
    return 2 * lostMembers < members.size();
}

// Chooses `count` members from `pool`, one at a time from the region, then the zone, with the fewest so far.
Members spread(const Members& pool, std::size_t count, const Members& current) {
    Members chosen;
    Members remaining = pool;
    std::map<std::string, int> zones;
    std::map<std::string, int> regions;
    while (chosen.size() < count && !remaining.empty()) {
        const auto rank = [&](const consensus::Member& one) {
            return std::tuple(regions[one.region], zones[one.zone], !contains(current, one),
                              hashing::hash("member", one.address), one.disk);
        };
        const auto best =
            std::min_element(remaining.begin(), remaining.end(),
                             [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
        ++regions[best->region];
        ++zones[best->zone];
        chosen.push_back(*best);
        remaining.erase(best);
    }
    return chosen;
}

// The machines that can be members, sorted: present, and complete or already members.
Members eligible(const Members& current, const std::vector<Candidate>& candidates) {
    Members pool;
    for (const auto& candidate : candidates)
        if (candidate.present && (candidate.complete || contains(current, candidate.member)))
            pool.push_back(candidate.member);
    std::sort(pool.begin(), pool.end());
    return pool;
}

// The smallest set with the fewest losses that it does not survive.
Members smallestSet(const Members& pool, const Members& current, const FaultTolerance& tolerance) {
    const auto minimum = static_cast<std::size_t>(2 * std::max(tolerance.machines, 0) + 1);
    Members chosen;
    std::size_t fewestUnmet = 0;
    for (auto count = minimum; count <= std::max(minimum, pool.size()); count += 2) {
        auto members = spread(pool, count, current);
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
    std::vector<std::string> losses;
    const auto check = [&](int lost, const char* kind, auto domainOf) {
        if (lost > 0 && !survives(members, lost, domainOf))
            losses.push_back(std::to_string(lost) + " " + kind + (lost > 1 ? "s" : ""));
    };
    check(tolerance.machines, "machine", [](const consensus::Member& one) { return one.address; });
    check(tolerance.zones, "zone", [](const consensus::Member& one) { return one.zone; });
    check(tolerance.regions, "region", [](const consensus::Member& one) { return one.region; });
    return losses;
}

Members planMembers(const Members& current, const std::vector<Candidate>& candidates,
                    const FaultTolerance& tolerance) {
    const auto pool = eligible(current, candidates);
    auto chosen = smallestSet(pool, current, tolerance);
    // If too few machines are available, absent members stay.
    for (const auto& member : current) {
        if (chosen.size() >= std::max(current.size(), std::size_t{1})) break;
        if (!contains(chosen, member)) chosen.push_back(member);
    }
    // A set without a majority of present members could not decide anything: keep the current members.
    const auto presentMembers = std::count_if(chosen.begin(), chosen.end(), [&](const auto& one) {
        return std::binary_search(pool.begin(), pool.end(), one);
    });
    if (2 * static_cast<std::size_t>(presentMembers) <= chosen.size()) return current;
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}  // namespace lichenlanding::membership
