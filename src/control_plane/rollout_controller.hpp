// The duty for rollouts: foyers' votes are counted, and orders moved from stage to stage in the register.
#pragma once

#include "control_plane/replica_node.hpp"
#include "messages/codec.hpp"
#include "verdict/rollout.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::prompter {

class RolloutsDuty {
  public:
    // `held`: whether the duty is this prompter's now; `foyers`: names of those that may vote. All outlive
    // this.
    RolloutsDuty(Keeper& keeper, std::function<bool()> held, std::function<std::vector<std::string>()> foyers)
        : keeper_(keeper), held_(std::move(held)), foyers_(std::move(foyers)) {}

    void heard(const Json& vote);  // a foyer's
    Task<> steer();                // for good; off duty it only waits
    Json votes() const;            // those that count now, for `status`

    // Ages of the running orders go by steady clocks: on duty or not, each prompter counts on from what the
    // register and the others say, so that it knows them when the duty comes to it.
    void learnt();                 // the register has another value
    void learn(const Json& ages);  // another prompter's ages()
    Json ages() const;

  private:
    struct Vote {
        Verdict verdict = Verdict::none;
        int stage = 0;
        Nanos at = 0;
        Json about;
    };

    Task<> steer(cues::Rollout rollout);
    Task<> writeAges();

    Keeper& keeper_;
    std::function<bool()> held_;
    std::function<std::vector<std::string>()> foyers_;
    std::map<std::string, std::map<std::string, Vote>> votes_;  // by rollout and voter
    verdict::Ages ages_;
    std::set<std::string> running_;  // orders, as `ages_` names them
    Nanos written_ = 0;
};

}  // namespace lichenlanding::prompter
