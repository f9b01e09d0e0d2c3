// This process's part in the leases: it acquires those that nobody holds, by a ballot in the register, and
// holds one only while it is in contact with a majority and the register names it. When to acquire is decided
// by leases::LeaseMonitor.
//
// All of it runs on the event loop's thread.
#pragma once

#include "control_plane/replica_node.hpp"
#include "leases/leases.hpp"

namespace lichenlanding::control_plane {

/// Names of the leases, in the register's value and in status.
inline const std::string kEndpointListLease = "list", kRolloutsLease = "rollouts";

/// A lease as `status` tells it.
struct LeaseStatus {
    std::string holder;
    std::uint64_t term = 0;
    bool heldHere = false;
};

class LeaseHolder {
  public:
    using Addresses = std::set<std::string>;

    /// `reachablePeers`: addresses of the control plane processes that have answered of late.
    /// `highestTermSeen`: of the endpoint list, as proxies have told. A register that was founded anew from
    /// an old copy may be below it; then the holder raises its term. All outlive this object.
    LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self, std::function<Addresses()> reachablePeers,
                std::function<std::uint64_t()> highestTermSeen);

    /// Runs until the program ends.
    Task<> run();

    bool holdsLease(const std::string& lease) const;
    /// Of the present holder, whoever it is; 0: never held.
    std::uint64_t term(const std::string& lease) const;

    /// What another control plane process has reported.
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
    // Every key was read from a majority since contact was had again.
    bool confirmed_ = false;
    // The register's value, decoded once for each proposal number.
    mutable consensus::ProposalNumber decodedAt_;
    mutable leases::Leases decoded_;
};

}  // namespace lichenlanding::control_plane
