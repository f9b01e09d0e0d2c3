/// Changes of the members: proposes the next epoch when one is due, completes what was left halfway, and
/// carries out what has been decided (seal, transfer, open).
///
/// Runs on the event loop's thread; the object outlives its coroutines. At most one change runs here at a
/// time; other replicas may run the same one.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "control_plane/membership_planner.hpp"
#include "control_plane/proposer.hpp"

namespace lichenlanding::control_plane {

class ReconfigurationDriver {
  public:
    ReconfigurationDriver(transport::asio::io_context& io, RequestBroker& broker, Proposer& proposer,
                          PeerDirectory& peers, ReplicaStorage& storage, EpochTracker& epochs,
                          QuorumContactMonitor& contact, Learner& learner, MembershipPlanner& planner,
                          std::string address);

    /// Looks at the members, at most once in an interval while nothing is pending; see step().
    void check();
    /// Before an end by SIGTERM: hands this replica's place on where there is a spare.
    Task<> stepDown();
    /// Logs the losses that the members don't survive, when that has changed.
    void reportUnmetTolerance();

  private:
    class ReconfigurationExchange;
    /// One change that was left halfway is completed, one that is due is proposed.
    Task<> step();
    Task<> resumeDecided(Nanos jitter);
    Task<> resumeAccepted(Nanos jitter);
    Task<> proposeIfDue();
    Task<bool> proposeEpoch(std::vector<consensus::Member> members);
    Task<bool> carryOut(consensus::Epoch from, consensus::Epoch to);
    bool isOwnMember(const std::vector<consensus::Member>& members) const;
    Nanos drawJitter() const;

    transport::asio::io_context& io_;
    RequestBroker& broker_;
    Proposer& proposer_;
    PeerDirectory& peers_;
    ReplicaStorage& storage_;
    EpochTracker& epochs_;
    QuorumContactMonitor& contact_;
    Learner& learner_;
    MembershipPlanner& planner_;
    const std::string address_;
    const Nanos startedAt_;
    bool running_ = false;  // a change is proposed or carried out here
    Nanos checkedAt_ = 0;
    Nanos acceptedSince_ = 0;     // this disk has accepted a next epoch that nobody has completed; 0: none
    Nanos wantedSince_ = 0;       // other members should be there; 0: none
    std::string unmetTolerance_;  // as last logged
};

}  // namespace lichenlanding::control_plane
