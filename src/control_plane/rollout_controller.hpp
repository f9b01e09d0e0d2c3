// Advances rollouts while this process holds their lease: counts the proxies' votes and moves each rollout
// from stage to stage in the register.
//
// All of it runs on the event loop's thread.
#pragma once

#include "control_plane/link_messages.hpp"
#include "control_plane/replica_node.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::control_plane {

class RolloutController {
  public:
    /// `holdsLease`: whether this process may advance rollouts now. `proxyNames`: of those that may vote. All
    /// outlive this object.
    RolloutController(ReplicaNode& replica, std::function<bool()> holdsLease,
                      std::function<std::vector<std::string>()> proxyNames)
        : replica_(replica), holdsLease_(std::move(holdsLease)), proxyNames_(std::move(proxyNames)) {}

    /// Runs until the program ends; without the lease it only waits.
    Task<> run();

    void onVote(RolloutVote vote);
    /// Messages of the votes that count now, for `status`.
    std::vector<Json> votes() const;

    // Ages of running rollouts are counted on by steady clocks: with the lease or without, each process
    // counts on from what the register and the others say, so that it knows them when it acquires the lease.

    /// The register has another value.
    void onValueLearned();
    void onPeerAges(const std::vector<RolloutAge>& ages);
    std::vector<RolloutAge> ages() const;

  private:
    struct ReceivedVote {
        RolloutVote vote;
        Nanos receivedAt = 0;
    };
    struct Tally {
        verdict::VoteCounts counts;
        Json messages = Json::array();
    };

    Task<> advance(messages::Rollout rollout);
    Tally tally(const messages::Rollout& rollout) const;
    Task<> writeMove(messages::Rollout before, messages::Rollout after);
    Task<> writeAges();

    ReplicaNode& replica_;
    std::function<bool()> holdsLease_;
    std::function<std::vector<std::string>()> proxyNames_;
    std::map<std::string, std::map<std::string, ReceivedVote>> votes_;  // by voteKey() and voter
    verdict::OrderAges ages_;
    std::set<std::string> running_;  // rollouts, as `ages_` names them
    Nanos agesWrittenAt_ = 0;
};

}  // namespace lichenlanding::control_plane
