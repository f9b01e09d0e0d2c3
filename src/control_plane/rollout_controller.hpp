// Advances rollouts while this process holds their lease: counts the proxies' votes and moves each rollout
// from stage to stage in the register.
//
// Runs on the event loop's thread.
#pragma once

#include "control_plane/link_messages.hpp"
#include "control_plane/replica_node.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::control_plane {

class RolloutController {
  public:
    /// `holdsLease` returns whether this process may advance rollouts now. `proxyNames` returns the names of
    /// the proxies that may vote. All must outlive this object.
    RolloutController(ReplicaNode& replica, std::function<bool()> holdsLease,
                      std::function<std::vector<std::string>()> proxyNames)
        : replica_(replica), holdsLease_(std::move(holdsLease)), proxyNames_(std::move(proxyNames)) {}

    /// Never returns. Idle while this process does not hold the lease.
    Task<> run();

    void onVote(RolloutVote vote);
    /// Messages of the votes that have not expired, for the admin call `status`.
    std::vector<Json> votes() const;

    // Ages of running rollouts advance by steady clocks. Every process tracks them, with or without the
    // lease, from the ages in the register and in peers' reports, so that they are known when it acquires the
    // lease.

    /// The register's value of the rollouts has changed.
    void onValueLearned();
    void onPeerAges(const std::vector<RolloutAge>& ages);
    std::vector<RolloutAge> ages() const;

  private:
    struct ReceivedVote {
        RolloutVote vote;
        Nanos receivedAt = 0;
    };
    struct VoteTally {
        verdict::VoteCounts counts;
        Json messages = Json::array();
    };

    Task<> advance(messages::Rollout rollout);
    VoteTally countVotes(const messages::Rollout& rollout) const;
    Task<> writeTransition(messages::Rollout before, messages::Rollout after);
    Task<> writeAges();

    ReplicaNode& replica_;
    std::function<bool()> holdsLease_;
    std::function<std::vector<std::string>()> proxyNames_;
    std::map<std::string, std::map<std::string, ReceivedVote>> votes_;  // by voteKey() and voter
    verdict::OrderAges ages_;
    std::set<std::string> running_;  // keys in `ages_` of the running rollouts
    Nanos agesWrittenAt_ = 0;
};

}  // namespace lichenlanding::control_plane
