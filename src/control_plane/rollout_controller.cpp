#include "control_plane/rollout_controller.hpp"

#include "hashing/rendezvous.hpp"
#include "transport/log.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::prompter {

using namespace wings;

namespace {

constexpr Nanos steerEvery = 200 * ms;
constexpr Nanos decideWithin = 900 * ms;
constexpr Nanos writeAgesEvery = second;  // a restart of all prompters loses no more of an order's age

// An order of one service and version may come again, with another term, once the first has ended.
std::string nameOf(const cues::Rollout& rollout) {
    return rollout.service + "\n" + rollout.target + "\n" + std::to_string(rollout.term);
}

}  // namespace

void RolloutsDuty::learnt() {
    running_.clear();
    for (const auto& rollout : cues::readRollouts(keeper_.known(rolloutsKey).value)) {
        if (!rollout.running()) continue;
        running_.insert(nameOf(rollout));
        ages_.learn(nameOf(rollout), {rollout.age, rollout.stage, rollout.inStage}, now());
    }
    ages_.keep(running_);
}

void RolloutsDuty::learn(const Json& ages) {
    for (const auto& one : ages)
        if (const auto name = one.at(0).get<std::string>(); running_.contains(name))
            ages_.learn(name,
                        {one.at(1).get<std::int64_t>(), one.at(2).get<int>(), one.at(3).get<std::int64_t>()},
                        now());
}

Json RolloutsDuty::ages() const {
    Json told = Json::array();
    for (const auto& name : running_) {
        const auto age = ages_.at(name, now());
        told.push_back({name, age.order, age.stage, age.inStage});
    }
    return told;
}

Task<> RolloutsDuty::writeAges() {
    const reg::Change older = [this](const std::string& value) {
        auto all = cues::readRollouts(value);
        for (auto& one : all) {
            if (!one.running()) continue;
            const auto age = ages_.at(nameOf(one), now());
            one.age = std::max(one.age, age.order);
            if (age.stage == one.stage) one.inStage = std::max(one.inStage, age.inStage);
        }
        return cues::write(all);
    };
    co_await keeper_.change(rolloutsKey, older, decideWithin);
}

void RolloutsDuty::heard(const Json& vote) {
    const auto key = vote.at("service").get<std::string>() + "\n" + vote.at("target").get<std::string>();
    votes_[key][vote.at("from").get<std::string>()] = {static_cast<Verdict>(vote.at("verdict").get<int>()),
                                                       vote.at("stage").get<int>(), now(), vote};
}

Json RolloutsDuty::votes() const {
    Json told = Json::array();
    for (const auto& [_, byVoter] : votes_)
        for (const auto& [voter, vote] : byVoter)
            if (now() - vote.at < verdict::voteLife) told.push_back(vote.about);
    return told;
}

Task<> RolloutsDuty::steer() {
    for (;;) {
        co_await sleep(steerEvery);
        if (!held_()) continue;
        for (const auto& rollout : cues::readRollouts(keeper_.known(rolloutsKey).value))
            if (rollout.running()) co_await steer(rollout);
        if (running_.empty() || now() - written_ < writeAgesEvery) continue;
        written_ = now();
        co_await writeAges();
    }
}

Task<> RolloutsDuty::steer(cues::Rollout rollout) {
    const auto key = rollout.service + "\n" + rollout.target;
    const auto chosen = company::chosen(foyers_(), key, verdict::voterCount);
    verdict::Ballots ballots;
    ballots.voters = chosen.size();
    Json said = Json::array();
    for (const auto& voter : chosen) {
        const auto at = votes_[key].find(voter);
        if (at == votes_[key].end() || now() - at->second.at > verdict::voteLife) continue;
        ballots.on += at->second.verdict == Verdict::on && at->second.stage == rollout.stage;
        ballots.back += at->second.verdict == Verdict::back;
        said.push_back(at->second.about);
    }
    const auto age = ages_.at(nameOf(rollout), now());
    const auto inStage = age.stage == rollout.stage ? age.inStage : 0;
    const auto move = verdict::nextMove(rollout.stage, ballots, age.order, inStage, rollout.term);
    if (!move) co_return;
    auto to = rollout;
    if (move->completed || move->rolledBack) to.state = move->completed ? "completed" : "rolled_back";
    else ++to.stage;
    to.age = age.order, to.inStage = 0;
    const char* why = move->why;
    log("rollout", {{"service", to.service},
                    {"target", to.target},
                    {"state", to.state},
                    {"stage", to.stage},
                    {"why", why},
                    {"elapsed_ms", age.order},
                    {"votes", said}});
    // A local, not a temporary of the awaited call: GCC 12 destroys such a one twice.
    const reg::Change decide = [rollout, to](const std::string& value) {
        auto all = cues::readRollouts(value);
        std::int64_t number = 0;
        for (const auto& one : all) number = std::max(number, one.number);
        bool changed = false;
        for (auto& one : all) {
            // What is decided stays decided, whoever else steers.
            if (one.service != to.service || one.target != to.target || one.term != to.term ||
                !one.running() || one.stage != rollout.stage)
                continue;
            one = to, one.number = number + 1, changed = true;
        }
        return changed ? cues::write(all) : value;
    };
    co_await keeper_.change(rolloutsKey, decide, decideWithin);
}

}  // namespace lichenlanding::prompter
