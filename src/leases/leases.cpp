#include "leases/leases.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "hashing/rendezvous.hpp"

// Member and name of each, once.
#define LEASE_FIELDS(X) X(holder, "holder") X(incarnation, "life") X(term, "term")

namespace lichenlanding::leases {

using Json = nlohmann::json;

std::string encodeLeases(const Leases& leases) {
    auto all = Json::object();
    for (const auto& [name, lease] : leases) {
        auto& json = all[name];
#define X(field, name) json[name] = lease.field;
        LEASE_FIELDS(X)
#undef X
    }
    return all.dump();
}

Leases decodeLeases(const std::string& text) {
    Leases leases;
    if (text.empty()) return leases;
    const auto all = Json::parse(text);
    for (const auto& [name, json] : all.items()) {
        auto& lease = leases[name];
#define X(field, name) json.at(name).get_to(lease.field);
        LEASE_FIELDS(X)
#undef X
    }
    return leases;
}

bool isHeldBy(const Lease& lease, const ProcessIdentity& self) {
    return lease.term > 0 && lease.holder == self.address && lease.incarnation == self.incarnation;
}

bool reachesMajority(const std::string& holder, const std::set<std::string>& members,
                     const Reachability& hears) {
    if (!members.contains(holder)) return false;
    const auto hearing = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        const auto row = hears.find(member);
        return member != holder && row != hears.end() && row->second.contains(holder);
    });
    return static_cast<std::size_t>(hearing) + 1 >= members.size() / 2 + 1;
}

bool LeaseMonitor::shouldAcquire(const Lease& held, const std::set<std::string>& members,
                                 const Reachability& hears, Nanos now) {
    if (!members.contains(self_.address) || isHeldBy(held, self_)) {
        unreachableSince_ = -1;
        return false;
    }
    if (held.holder == self_.address) return true;  // an earlier life of this machine: nobody has it
    if (held.term > 0 && reachesMajority(held.holder, members, hears)) {
        unreachableSince_ = -1;
        return false;
    }
    if (unreachableSince_ < 0 || term_ != held.term) unreachableSince_ = now, term_ = held.term;
    std::vector<std::string> candidates{self_.address};
    if (const auto row = hears.find(self_.address); row != hears.end())
        for (const auto& heard : row->second)
            if (members.contains(heard) && heard != held.holder && heard != self_.address)
                candidates.push_back(heard);
    const auto chosen = hashing::rendezvousSelect(candidates, lease_, candidates.size());
    const auto rank = std::find(chosen.begin(), chosen.end(), self_.address) - chosen.begin();
    const Nanos wait = held.term == 0 ? 0 : kUnreachableFor;  // nobody has had it: nobody is waited for
    return now - unreachableSince_ >= wait + rank * kCandidateDelay;
}

consensus::Change acquireLease(std::string lease, ProcessIdentity self, std::uint64_t seen) {
    return [lease = std::move(lease), self = std::move(self), seen](const std::string& value) {
        auto all = decodeLeases(value);
        auto& held = all[lease];
        if (held.term > seen) return value;
        held = {self.address, self.incarnation, seen + 1};
        return encodeLeases(all);
    };
}

}  // namespace lichenlanding::leases
