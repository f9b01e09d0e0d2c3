#include "control_plane/lease_holder.hpp"

#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kCheckInterval = 100 * kMillisecond;
constexpr Nanos kReportLifetime = 1500 * kMillisecond;  // reports come every 500 ms
constexpr Nanos kUpdateTimeout = 900 * kMillisecond;

}  // namespace

LeaseHolder::LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self,
                         std::function<Addresses()> reachablePeers,
                         std::function<std::uint64_t()> highestTermSeen)
    : replica_(replica),
      self_(std::move(self)),
      reachablePeers_(std::move(reachablePeers)),
      highestTermSeen_(std::move(highestTermSeen)) {
    for (const auto& name : {kEndpointListLease, kRolloutsLease})
        monitors_.emplace(name, leases::LeaseMonitor(name, self_));
}

const leases::Leases& LeaseHolder::currentLeases() const {
    const auto& known = replica_.known(kLeasesKey);
    if (known.proposalNumber != decodedAt_) {
        decodedAt_ = known.proposalNumber;
        decoded_ = leases::decodeLeases(known.value);
    }
    return decoded_;
}

leases::Lease LeaseHolder::currentLease(const std::string& lease) const {
    const auto it = currentLeases().find(lease);
    return it == currentLeases().end() ? leases::Lease() : it->second;
}

bool LeaseHolder::holdsLease(const std::string& lease) const {
    if (!confirmed_ || !replica_.hasQuorumContact()) return false;
    return leases::isHeldBy(currentLease(lease), self_);
}

std::uint64_t LeaseHolder::term(const std::string& lease) const { return currentLease(lease).term; }

void LeaseHolder::onReachability(const std::string& from, Addresses reachable) {
    reports_[from] = {std::move(reachable), now()};
}

leases::Reachability LeaseHolder::reachability() const {
    leases::Reachability reachability;
    const auto own = reachablePeers_();
    for (const auto& [from, report] : reports_)
        if (own.contains(from) && now() - report.receivedAt < kReportLifetime)
            reachability[from] = report.reachable;
    reachability[self_.address] = own;
    return reachability;
}

Task<> LeaseHolder::run() {
    for (;;) {
        co_await sleep(kCheckInterval);
        confirmed_ = replica_.hasQuorumContact();  // contact implies that every key was read from a majority
        if (!confirmed_) continue;
        co_await acquireUnheldLeases();
        co_await raiseTermToHighestSeen();
    }
}

Task<> LeaseHolder::acquireUnheldLeases() {
    for (auto& [name, monitor] : monitors_) {
        const auto current = currentLease(name);
        if (monitor.shouldAcquire(current, replica_.members(), reachability(), now()))
            co_await acquire(name, current.term);
    }
}

Task<> LeaseHolder::raiseTermToHighestSeen() {
    if (highestTermSeen_() <= term(kEndpointListLease) || !holdsLease(kEndpointListLease)) co_return;
    const auto value =
        co_await replica_.read(kLeasesKey, kUpdateTimeout);  // another process may hold it by now
    if (value && holdsLease(kEndpointListLease) && highestTermSeen_() > term(kEndpointListLease))
        co_await acquire(kEndpointListLease, highestTermSeen_());
}

Task<> LeaseHolder::acquire(std::string lease, std::uint64_t termSeen) {
    const auto before = currentLease(lease).holder;
    // A local variable, because GCC 12 destroys temporaries of an awaited call twice.
    const consensus::Change change = leases::acquireLease(lease, self_, termSeen);
    const auto value = co_await replica_.update(kLeasesKey, change, kUpdateTimeout);
    if (!value) co_return;
    const auto after = leases::decodeLeases(*value)[lease];
    if (leases::isHeldBy(after, self_))
        log("lease_acquired", {{"lease", lease}, {"term", after.term}, {"before", before}});
}

std::map<std::string, LeaseStatus> LeaseHolder::status() const {
    std::map<std::string, LeaseStatus> status;
    for (const auto& [name, lease] : currentLeases())
        status[name] = {lease.holder, lease.term, holdsLease(name)};
    return status;
}

}  // namespace lichenlanding::control_plane
