// The duty for rollouts: proxies' votes are counted, and orders moved from stage to stage in the register.
#pragma once

#include "control_plane/replica_node.hpp"
#include "messages/codec.hpp"
#include "verdict/rollout.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::control_plane {

class RolloutController {
  public:
    // `holdsLease`: whether the duty is this control node's now; `proxyNames`: names of those that may vote.
    // All outlive this.
    RolloutController(ReplicaNode& replica, std::function<bool()> holdsLease,
                      std::function<std::vector<std::string>()> proxyNames)
        : replica_(replica), holdsLease_(std::move(holdsLease)), proxyNames_(std::move(proxyNames)) {}

    void onVote(const Json& vote);  // a proxy's
    Task<> run();                   // for good; off duty it only waits
    Json votes() const;             // those that count now, for `status`

    // Ages of the running orders go by steady clocks: on duty or not, each control node counts on from what
    // the register and the others say, so that it knows them when the duty comes to it.
    void onValueLearned();              // the register has another value
    void onPeerAges(const Json& ages);  // another control node's ages()
    Json ages() const;

  private:
    struct Vote {
        Verdict verdict = Verdict::none;
        int stage = 0;
        Nanos at = 0;
        Json about;
    };

    Task<> advance(messages::Rollout rollout);
    Task<> writeAges();

    ReplicaNode& replica_;
    std::function<bool()> holdsLease_;
    std::function<std::vector<std::string>()> proxyNames_;
    std::map<std::string, std::map<std::string, Vote>> votes_;  // by rollout and voter
    verdict::Ages ages_;
    std::set<std::string> running_;  // orders, as `ages_` names them
    Nanos agesWrittenAt_ = 0;
};

}  // namespace lichenlanding::control_plane
