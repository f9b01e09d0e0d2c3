// Acquires and holds this process's leases. Leases without a holder are acquired by an update of the
// register. A lease counts as held only while this process has quorum contact and the register names it as
// the holder. leases::LeaseMonitor decides when to acquire.
//
// Runs on the event loop's thread.
#pragma once

#include "control_plane/replica_node.hpp"
#include "leases/leases.hpp"

namespace lichenlanding::control_plane {

/// Names of the leases, in the register's value and in the admin call `status`.
inline const std::string kEndpointListLease = "list", kRolloutsLease = "rollouts";

/// A lease as reported by the admin call `status`.
struct LeaseStatus {
    std::string holder;
    std::uint64_t term = 0;
    bool heldHere = false;
};

class LeaseHolder {
  public:
    using Addresses = std::set<std::string>;

    /// `reachablePeers` returns the addresses of the control nodes that have answered recently.
    /// `highestTermSeen` returns the highest term of the endpoint list that proxies have reported. A register
    /// that was founded again from an old copy may have a lower one; then the holder raises its term. All
    /// must outlive this object.
    LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self, std::function<Addresses()> reachablePeers,
                std::function<std::uint64_t()> highestTermSeen);

    /// Runs until the program ends.
    Task<> run();

    bool holdsLease(const std::string& lease) const;
    /// The term of the current holder, which may be another process; 0 if never held.
    std::uint64_t term(const std::string& lease) const;

    /// Stores the reachable addresses that another control node has reported.
    void onReachability(const std::string& from, Addresses reachable);

    std::map<std::string, LeaseStatus> status() const;  ///< by the lease's name

  private:
    struct ReachabilityReport {
        Addresses reachable;
        Nanos receivedAt = 0;
    };

    leases::Reachability reachability() const;
    const leases::Leases& currentLeases() const;
    leases::Lease currentLease(const std::string& lease) const;
    Task<> acquireUnheldLeases();
    Task<> raiseTermToHighestSeen();
    Task<> acquire(std::string lease, std::uint64_t termSeen);

    ReplicaNode& replica_;
    leases::ProcessIdentity self_;
    std::function<Addresses()> reachablePeers_;
    std::function<std::uint64_t()> highestTermSeen_;
    std::map<std::string, leases::LeaseMonitor> monitors_;  // by lease
    std::map<std::string, ReachabilityReport> reports_;     // by the sender's address
    // Every key was read from a majority since contact was established.
    bool confirmed_ = false;
    // The register's value, decoded once for each proposal number.
    mutable consensus::ProposalNumber decodedAt_;
    mutable leases::Leases decoded_;
};

}  // namespace lichenlanding::control_plane
