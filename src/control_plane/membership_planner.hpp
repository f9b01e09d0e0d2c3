/// Computes which replicas should be members, from what this replica knows of its peers.
///
/// Starts no change itself. Runs on the event loop's thread. membership::planMembers defines the rules.
#pragma once

#include <string>
#include <vector>

#include "control_plane/quorum_contact_monitor.hpp"
#include "membership/membership.hpp"

namespace lichenlanding::control_plane {

/// How long a member may be silent, or the copy of a spare may lack a value in force, before it counts as
/// absent or incomplete.
Nanos memberAbsenceTimeout(const config::BootstrapSettings& boot);

class MembershipPlanner {
  public:
    MembershipPlanner(const config::BootstrapSettings& boot, PeerDirectory& peers, ReplicaStorage& storage,
                      EpochTracker& epochs, QuorumContactMonitor& contact, Learner& learner);

    std::vector<membership::Candidate> candidates() const;
    /// The candidates that are present and not members of the open epoch.
    std::vector<membership::Candidate> spares() const;
    /// The members that there should be. `withoutSelf`: this replica is shutting down.
    std::vector<consensus::Member> planned(bool withoutSelf) const;
    /// The address of the present member that proposes reconfigurations first; "" if none is present.
    std::string preferredProposer() const;
    /// The losses that these members do not survive although the settings require it, such as "1 zone".
    std::vector<std::string> unmetTolerance(const std::vector<consensus::Member>& members) const;

  private:
    membership::FaultTolerance tolerance() const;
    bool isAnyEligible() const;
    membership::Candidate self() const;
    membership::Candidate candidate(const Peer& peer) const;
    template <typename Accepted>
    bool isComplete(Accepted accepted) const;

    const config::BootstrapSettings& boot_;
    const Nanos absenceTimeout_;
    const std::string address_;
    PeerDirectory& peers_;
    ReplicaStorage& storage_;
    EpochTracker& epochs_;
    QuorumContactMonitor& contact_;
    Learner& learner_;
};

}  // namespace lichenlanding::control_plane
