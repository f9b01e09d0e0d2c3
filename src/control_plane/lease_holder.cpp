#include "control_plane/lease_holder.hpp"

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kCheckInterval = 100 * kMillisecond;
constexpr Nanos kReportLifetime = 1500 * kMillisecond;  // three times as long as between two words of another
constexpr Nanos kUpdateTimeout = 900 * kMillisecond;

}  // namespace

LeaseHolder::LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self,
                         std::function<std::set<std::string>()> hears,
                         std::function<std::uint64_t()> highestTermSeen)
    : replica_(replica),
      self_(std::move(self)),
      hears_(std::move(hears)),
      highestTermSeen_(std::move(highestTermSeen)) {
    for (const auto& name : {kEndpointListLease, kRolloutsLease})
        monitors_.emplace(name, leases::LeaseMonitor(name, self_));
}

const leases::Leases& LeaseHolder::currentLeases() const {
    const auto& known = replica_.known(kLeasesKey);
    if (known.proposalNumber != readAt_)
        readAt_ = known.proposalNumber, read_ = leases::decodeLeases(known.value);
    return read_;
}

bool LeaseHolder::holdsLease(const std::string& lease) const {
    if (!confirmed_ || !replica_.hasQuorumContact()) return false;
    const auto at = currentLeases().find(lease);
    return at != currentLeases().end() && leases::isHeldBy(at->second, self_);
}

std::uint64_t LeaseHolder::term(const std::string& lease) const {
    const auto at = currentLeases().find(lease);
    return at == currentLeases().end() ? 0 : at->second.term;
}

void LeaseHolder::onReachability(const std::string& from, const Json& hears) {
    reachabilityOf_[from] = {hears.get<std::set<std::string>>(), now()};
}

leases::Reachability LeaseHolder::reachability() const {
    leases::Reachability reachability;
    const auto own = hears_();
    for (const auto& [from, row] : reachabilityOf_)
        if (own.contains(from) && now() - row.at < kReportLifetime) reachability[from] = row.hears;
    reachability[self_.address] = own;
    return reachability;
}

Task<> LeaseHolder::run() {
    for (;;) {
        co_await sleep(kCheckInterval);
        if (!replica_.hasQuorumContact()) {
            confirmed_ = false;
            continue;
        }
        confirmed_ = true;  // in contact: every key was read from a majority since
        for (auto& [name, monitor] : monitors_) {
            const auto at = currentLeases().find(name);
            const auto before = at == currentLeases().end() ? leases::Lease() : at->second;
            if (monitor.shouldAcquire(before, replica_.members(), reachability(), now()))
                co_await acquire(name, before.term);
        }
        if (highestTermSeen_() <= term(kEndpointListLease) || !holdsLease(kEndpointListLease)) continue;
        const auto value = co_await replica_.read(kLeasesKey, kUpdateTimeout);  // another may have it by now
        if (value && holdsLease(kEndpointListLease) && highestTermSeen_() > term(kEndpointListLease))
            co_await acquire(kEndpointListLease, highestTermSeen_());
    }
}

Task<> LeaseHolder::acquire(std::string lease, std::uint64_t seen) {
    const auto before = currentLeases().contains(lease) ? currentLeases().at(lease).holder : "";
    const consensus::Change change = leases::acquireLease(lease, self_, seen);
    const auto value = co_await replica_.change(kLeasesKey, change, kUpdateTimeout);
    if (!value) co_return;
    const auto after = leases::decodeLeases(*value)[lease];
    if (leases::isHeldBy(after, self_))
        log("duty", {{"duty", lease}, {"term", after.term}, {"before", before}});
}

Json LeaseHolder::describe() const {
    Json told = Json::object();
    for (const auto& [name, duty] : currentLeases())
        told[name] = {{"holder", duty.holder}, {"term", duty.term}, {"mine", holdsLease(name)}};
    return told;
}

}  // namespace lichenlanding::control_plane
