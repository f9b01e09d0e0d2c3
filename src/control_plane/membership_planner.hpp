/// Which members there should be, by what this replica knows of the others.
///
/// Decides only; runs on the event loop's thread. The rules are membership::planMembers's.
#pragma once

#include <string>
#include <vector>

#include "control_plane/quorum_contact_monitor.hpp"
#include "membership/membership.hpp"

namespace lichenlanding::control_plane {

class MembershipPlanner {
  public:
    MembershipPlanner(const config::BootstrapSettings& boot, PeerDirectory& peers, ReplicaStorage& storage,
                      EpochTracker& epochs, QuorumContactMonitor& contact, Learner& learner);

    std::vector<membership::Candidate> candidates() const;
    /// Those of candidates() that are present and no members of the open epoch.
    std::vector<membership::Candidate> spares() const;
    /// The members that there should be; `withoutSelf`: this replica is about to end.
    std::vector<consensus::Member> planned(bool withoutSelf) const;
    /// The address of the present member whose turn it is to propose a reconfiguration; "": none.
    std::string proposerInTurn() const;
    /// The losses that the settings allow and these members don't survive, such as "1 zone".
    std::vector<std::string> unmetTolerance(const std::vector<consensus::Member>& members) const;

  private:
    membership::FaultTolerance tolerance() const;
    Nanos absentAfter() const;
    bool isAnyEligible() const;
    membership::Candidate self() const;
    membership::Candidate candidate(const Peer& peer) const;
    template <typename Accepted>
    bool isComplete(Accepted accepted) const;

    const config::BootstrapSettings& boot_;
    const std::string address_;
    PeerDirectory& peers_;
    ReplicaStorage& storage_;
    EpochTracker& epochs_;
    QuorumContactMonitor& contact_;
    Learner& learner_;
};

}  // namespace lichenlanding::control_plane
