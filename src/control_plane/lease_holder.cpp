#include "control_plane/lease_holder.hpp"

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kLookEvery = 100 * kMillisecond;
constexpr Nanos kRowLife = 1500 * kMillisecond;  // three times as long as between two words of another
constexpr Nanos kDecideWithin = 900 * kMillisecond;

}  // namespace

LeaseHolder::LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self,
                         std::function<std::set<std::string>()> hears,
                         std::function<std::uint64_t()> listTerm)
    : replica_(replica), self_(std::move(self)), hears_(std::move(hears)), listTerm_(std::move(listTerm)) {
    for (const auto& name : {kListDuty, kRolloutsDuty})
        watches_.emplace(name, leases::LeaseMonitor(name, self_));
}

const leases::Leases& LeaseHolder::held() const {
    const auto& known = replica_.known(kDutiesKey);
    if (known.proposalNumber != readAt_) readAt_ = known.proposalNumber, read_ = leases::read(known.value);
    return read_;
}

bool LeaseHolder::has(const std::string& duty) const {
    if (!confirmed_ || !replica_.hasQuorumContact()) return false;
    const auto at = held().find(duty);
    return at != held().end() && leases::holds(at->second, self_);
}

std::uint64_t LeaseHolder::term(const std::string& duty) const {
    const auto at = held().find(duty);
    return at == held().end() ? 0 : at->second.term;
}

void LeaseHolder::heard(const std::string& from, const Json& hears) {
    rows_[from] = {hears.get<std::set<std::string>>(), now()};
}

leases::Reachability LeaseHolder::rows() const {
    leases::Reachability rows;
    const auto own = hears_();
    for (const auto& [from, row] : rows_)
        if (own.contains(from) && now() - row.at < kRowLife) rows[from] = row.hears;
    rows[self_.address] = own;
    return rows;
}

Task<> LeaseHolder::run() {
    for (;;) {
        co_await sleep(kLookEvery);
        if (!replica_.hasQuorumContact()) {
            confirmed_ = false;
            continue;
        }
        confirmed_ = true;  // in contact: every key was read from a majority since
        for (auto& [name, watch] : watches_) {
            const auto at = held().find(name);
            const auto before = at == held().end() ? leases::Lease() : at->second;
            if (watch.due(before, replica_.members(), rows(), now())) co_await take(name, before.term);
        }
        if (listTerm_() <= term(kListDuty) || !has(kListDuty)) continue;
        const auto value = co_await replica_.read(kDutiesKey, kDecideWithin);  // another may have it by now
        if (value && has(kListDuty) && listTerm_() > term(kListDuty)) co_await take(kListDuty, listTerm_());
    }
}

Task<> LeaseHolder::take(std::string duty, std::uint64_t seen) {
    const auto before = held().contains(duty) ? held().at(duty).holder : "";
    const consensus::Change change = leases::taking(duty, self_, seen);
    const auto value = co_await replica_.update(kDutiesKey, change, kDecideWithin);
    if (!value) co_return;
    const auto after = leases::read(*value)[duty];
    if (leases::holds(after, self_)) log("duty", {{"duty", duty}, {"term", after.term}, {"before", before}});
}

Json LeaseHolder::describe() const {
    Json told = Json::object();
    for (const auto& [name, duty] : held())
        told[name] = {{"holder", duty.holder}, {"term", duty.term}, {"mine", has(name)}};
    return told;
}

}  // namespace lichenlanding::control_plane
