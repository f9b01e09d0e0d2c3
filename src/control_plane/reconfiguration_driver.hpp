/// Drives changes of the members: proposes the next epoch when a change is due, completes unfinished
/// proposals, and executes decided changes (seal, transfer, open).
///
/// Runs on the event loop's thread; the object outlives its coroutines. At most one change runs here at a
/// time; other replicas may run the same one concurrently.
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

    /// Starts step(), at most once per interval while no change is pending.
    void check();
    /// Called on SIGTERM: replaces this replica by a spare, if there is one, before the process exits.
    Task<> stepDown();
    /// Logs the required losses that the members do not survive, whenever these change.
    void reportUnmetTolerance();

  private:
    class ReconfigurationExchange;
    /// Completes an unfinished change, or else proposes one that is due.
    Task<> step();
    Task<> resumeDecided(Nanos jitter);
    Task<> resumeAccepted(Nanos jitter);
    Task<> proposeIfDue();
    Task<bool> proposeEpoch(std::vector<consensus::Member> members);
    Task<bool> execute(consensus::Epoch from, consensus::Epoch to);
    bool containsSelf(const std::vector<consensus::Member>& members) const;
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
    bool running_ = false;  // a change is being proposed or executed here
    Nanos checkedAt_ = 0;
    Nanos acceptedSince_ = 0;     // since when this disk has an accepted but uncompleted next epoch; 0: none
    Nanos dueSince_ = 0;          // since when a change of the members is due; 0: none is
    std::string unmetTolerance_;  // as last logged
};

}  // namespace lichenlanding::control_plane
