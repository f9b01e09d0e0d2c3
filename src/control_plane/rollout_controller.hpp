// Advances rollouts while this process holds their lease: counts the proxies' votes and moves each rollout
// from stage to stage in the register.
//
// Runs on the event loop's thread.
#pragma once

#include "admin/rollout_requests.hpp"
#include "control_plane/link_messages.hpp"
#include "control_plane/replica_node.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::control_plane {

class RolloutController {
  public:
    /// `repeatWindowMs`: how long after an order its content identifies a repeat of it, in milliseconds.
    /// `holdsLease` returns whether this process may advance rollouts now. `proxyNames` returns the names of
    /// the proxies that may vote. All must outlive this object.
    RolloutController(ReplicaNode& replica, std::int64_t repeatWindowMs, std::function<bool()> holdsLease,
                      std::function<std::vector<std::string>()> proxyNames)
        : replica_(replica),
          repeatWindowMs_(repeatWindowMs),
          holdsLease_(std::move(holdsLease)),
          proxyNames_(std::move(proxyNames)) {}

    /// Never returns. Idle while this process does not hold the lease.
    Task<> run();

    void onVote(RolloutVote vote);
    /// Messages of the votes that have not expired, for the admin call `status`.
    std::vector<Json> votes() const;

    // The ages of rollouts advance by steady clocks, while a rollout is running and until its order can't be
    // repeated any more. Every process tracks them, with or without the lease, from the ages in the register
    // and in peers' reports, so that they are known when it acquires the lease or an order arrives.

    /// The register's value of the rollouts has changed.
    void onValueLearned();
    void onPeerAges(const std::vector<RolloutAge>& ages);
    std::vector<RolloutAge> ages() const;
    /// By the ages known here. Refers to this object.
    admin::RepeatWindow repeatWindow() const;

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

    bool isTracked(const messages::Rollout& rollout) const;
    std::int64_t ageMs(const messages::Rollout& rollout) const;
    std::string raiseAges(const std::string& value) const;

    ReplicaNode& replica_;
    const std::int64_t repeatWindowMs_;
    std::function<bool()> holdsLease_;
    std::function<std::vector<std::string>()> proxyNames_;
    std::map<std::string, std::map<std::string, ReceivedVote>> votes_;  // by version and voter
    verdict::OrderAges ages_;
    std::set<std::string> tracked_;  // the keys in `ages_`
    Nanos agesWrittenAt_ = 0;
};

}  // namespace lichenlanding::control_plane
