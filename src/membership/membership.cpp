#include "membership/membership.hpp"

#include <algorithm>
#include <tuple>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::membership {
namespace {

using Members = std::vector<consensus::Member>;

// Whether the loss of the `lost` fullest places leaves more than half.
template <typename Place>
bool bears(const Members& members, int lost, Place place) {
    std::map<std::string, std::size_t> counts;
    for (const auto& member : members) ++counts[place(member)];
    std::vector<std::size_t> fullest;
    for (const auto& [_, count] : counts) fullest.push_back(count);
    std::sort(fullest.rbegin(), fullest.rend());
    std::size_t gone = 0;
    for (std::size_t at = 0; at < fullest.size() && at < static_cast<std::size_t>(lost); ++at)
        gone += fullest[at];
    return 2 * gone < members.size();
}

// So many of `pool`, spread: always one from the region, then the zone, that has the fewest yet.
Members spread(const Members& pool, std::size_t count, const Members& now) {
    Members chosen, left = pool;
    std::map<std::string, int> zones, regions;
    while (chosen.size() < count && !left.empty()) {
        const auto rank = [&](const consensus::Member& one) {
            const bool held = std::find(now.begin(), now.end(), one) != now.end();
            return std::tuple(regions[one.region], zones[one.zone], !held,
                              hashing::hash("member", one.address), one.disk);
        };
        const auto best = std::min_element(left.begin(), left.end(), [&](const auto& one, const auto& other) {
            return rank(one) < rank(other);
        });
        ++regions[best->region], ++zones[best->zone];
        chosen.push_back(*best);
        left.erase(best);
    }
    return chosen;
}

}  // namespace

std::vector<std::string> unmetTolerance(const Members& members, const FaultTolerance& tolerance) {
    std::vector<std::string> all;
    const auto ask = [&](int lost, const char* what, auto place) {
        if (lost > 0 && !bears(members, lost, place))
            all.push_back(std::to_string(lost) + " " + what + (lost > 1 ? "s" : ""));
    };
    ask(tolerance.machines, "machine", [](const consensus::Member& one) { return one.address; });
    ask(tolerance.zones, "zone", [](const consensus::Member& one) { return one.zone; });
    ask(tolerance.regions, "region", [](const consensus::Member& one) { return one.region; });
    return all;
}

Members planMembers(const Members& now, const std::vector<Candidate>& candidates,
                    const FaultTolerance& tolerance) {
    Members pool;
    for (const auto& candidate : candidates) {
        const bool held = std::find(now.begin(), now.end(), candidate.member) != now.end();
        if (candidate.present && (candidate.complete || held)) pool.push_back(candidate.member);
    }
    std::sort(pool.begin(), pool.end());
    const auto least = static_cast<std::size_t>(2 * std::max(tolerance.machines, 0) + 1);
    Members chosen;
    std::size_t unborne = 0;
    for (auto count = least; count <= std::max(least, pool.size()); count += 2) {
        auto these = spread(pool, count, now);
        const auto bad = unmetTolerance(these, tolerance).size();
        if (chosen.empty() || bad < unborne) chosen = these, unborne = bad;
        if (bad == 0) break;
    }
    // Where the machines at hand are too few, those that are absent keep their seats.
    for (const auto& member : now) {
        if (chosen.size() >= std::max(now.size(), std::size_t{1})) break;
        if (std::find(chosen.begin(), chosen.end(), member) == chosen.end()) chosen.push_back(member);
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
