#include "leases/leases.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "hashing/rendezvous.hpp"

// Member and name of each, once.
#define DUTY_FIELDS(X) X(holder, "holder") X(life, "life") X(term, "term")

namespace lichenlanding::leases {

using Json = nlohmann::json;

std::string write(const Leases& duties) {
    auto all = Json::object();
    for (const auto& [name, duty] : duties) {
        auto& json = all[name];
#define X(field, name) json[name] = duty.field;
        DUTY_FIELDS(X)
#undef X
    }
    return all.dump();
}

Leases read(const std::string& text) {
    Leases duties;
    if (text.empty()) return duties;
    const auto all = Json::parse(text);
    for (const auto& [name, json] : all.items()) {
        auto& duty = duties[name];
#define X(field, name) json.at(name).get_to(duty.field);
        DUTY_FIELDS(X)
#undef X
    }
    return duties;
}

bool holds(const Lease& duty, const ProcessIdentity& self) {
    return duty.term > 0 && duty.holder == self.address && duty.life == self.life;
}

bool reaches(const std::string& holder, const std::set<std::string>& members, const Reachability& hears) {
    if (!members.contains(holder)) return false;
    const auto hearing = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        const auto row = hears.find(member);
        return member != holder && row != hears.end() && row->second.contains(holder);
    });
    return static_cast<std::size_t>(hearing) + 1 >= members.size() / 2 + 1;
}

bool LeaseMonitor::due(const Lease& held, const std::set<std::string>& members, const Reachability& hears,
                       Nanos now) {
    if (!members.contains(self_.address) || holds(held, self_)) {
        absentSince_ = -1;
        return false;
    }
    if (held.holder == self_.address) return true;  // an earlier life of this machine: nobody has it
    if (held.term > 0 && reaches(held.holder, members, hears)) {
        absentSince_ = -1;
        return false;
    }
    if (absentSince_ < 0 || term_ != held.term) absentSince_ = now, term_ = held.term;
    std::vector<std::string> candidates{self_.address};
    if (const auto row = hears.find(self_.address); row != hears.end())
        for (const auto& heard : row->second)
            if (members.contains(heard) && heard != held.holder && heard != self_.address)
                candidates.push_back(heard);
    const auto chosen = hashing::rendezvousSelect(candidates, duty_, candidates.size());
    const auto rank = std::find(chosen.begin(), chosen.end(), self_.address) - chosen.begin();
    const Nanos wait = held.term == 0 ? 0 : kAbsentFor;  // nobody has had it: nobody is waited for
    return now - absentSince_ >= wait + rank * kStandbyStep;
}

consensus::Change taking(std::string duty, ProcessIdentity self, std::uint64_t seen) {
    return [duty = std::move(duty), self = std::move(self), seen](const std::string& value) {
        auto all = read(value);
        auto& held = all[duty];
        if (held.term > seen) return value;
        held = {self.address, self.life, seen + 1};
        return write(all);
    };
}

}  // namespace lichenlanding::leases
