#include "leases/leases.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::leases {
namespace {

using Json = nlohmann::json;

// Names of the fields in the register's value.
constexpr const char* kHolderField = "holder";
constexpr const char* kIncarnationField = "life";
constexpr const char* kTermField = "term";

}  // namespace

std::string encodeLeases(const Leases& leases) {
    auto encoded = Json::object();
    for (const auto& [name, lease] : leases)
        encoded[name] = {
            {kHolderField, lease.holder}, {kIncarnationField, lease.incarnation}, {kTermField, lease.term}};
    return encoded.dump();
}

Leases decodeLeases(const std::string& text) {
    Leases leases;
    if (text.empty()) return leases;
    const auto encoded = Json::parse(text);
    for (const auto& [name, fields] : encoded.items()) {
        auto& lease = leases[name];
        fields.at(kHolderField).get_to(lease.holder);
        fields.at(kIncarnationField).get_to(lease.incarnation);
        fields.at(kTermField).get_to(lease.term);
    }
    return leases;
}

bool isHeldBy(const Lease& lease, const ProcessIdentity& process) {
    return lease.term > 0 && lease.holder == process.address && lease.incarnation == process.incarnation;
}

bool reachesMajority(const std::string& holder, const std::set<std::string>& members,
                     const Reachability& reachability) {
    if (!members.contains(holder)) return false;
    const auto reachingMembers = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        const auto report = reachability.find(member);
        return member != holder && report != reachability.end() && report->second.contains(holder);
    });
    const auto majority = members.size() / 2 + 1;
    return static_cast<std::size_t>(reachingMembers) + 1 >= majority;
}

bool LeaseMonitor::shouldAcquire(const Lease& current, const std::set<std::string>& members,
                                 const Reachability& reachability, Nanos now) {
    if (!members.contains(self_.address) || isHeldBy(current, self_)) {
        unreachableSince_ = -1;
        return false;
    }
    // Held by an earlier incarnation of this process, which is gone.
    if (current.holder == self_.address) return true;
    if (current.term > 0 && reachesMajority(current.holder, members, reachability)) {
        unreachableSince_ = -1;
        return false;
    }
    if (unreachableSince_ < 0 || unreachableInTerm_ != current.term) {
        unreachableSince_ = now;
        unreachableInTerm_ = current.term;
    }
    return now - unreachableSince_ >= delay(current, members, reachability);
}

/// How long this process waits once the holder is unreachable, by its rank among the candidates it reaches.
Nanos LeaseMonitor::delay(const Lease& current, const std::set<std::string>& members,
                          const Reachability& reachability) const {
    std::vector<std::string> candidates{self_.address};
    if (const auto selfReport = reachability.find(self_.address); selfReport != reachability.end())
        for (const auto& address : selfReport->second)
            if (members.contains(address) && address != current.holder && address != self_.address)
                candidates.push_back(address);
    const auto ranked = hashing::rendezvousSelect(candidates, lease_, candidates.size());
    const auto rank = std::find(ranked.begin(), ranked.end(), self_.address) - ranked.begin();
    const bool neverHeld = current.term == 0;
    return (neverHeld ? 0 : kUnreachableFor) + rank * kCandidateDelay;
}

consensus::Change acquireLease(std::string lease, ProcessIdentity process, std::uint64_t termSeen) {
    return [lease = std::move(lease), process = std::move(process), termSeen](const std::string& value) {
        auto leases = decodeLeases(value);
        auto& current = leases[lease];
        if (current.term > termSeen) return value;
        current = {process.address, process.incarnation, termSeen + 1};
        return encodeLeases(leases);
    };
}

}  // namespace lichenlanding::leases
