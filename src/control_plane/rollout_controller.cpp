#include "control_plane/rollout_controller.hpp"

#include "hashing/rendezvous.hpp"
#include "transport/log.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kRunInterval = 200 * kMillisecond;
constexpr Nanos kUpdateTimeout = 900 * kMillisecond;
constexpr Nanos kWriteAgesInterval =
    kSecond;  // a restart of all control nodes loses no more of an order's age

// An order of one service and version may come again, with another term, once the first has ended.
std::string requestKey(const messages::Rollout& rollout) {
    return rollout.service + "\n" + rollout.target + "\n" + std::to_string(rollout.term);
}

}  // namespace

void RolloutController::onValueLearned() {
    running_.clear();
    for (const auto& rollout : messages::decodeRollouts(replica_.known(kRolloutsKey).value)) {
        if (!rollout.running()) continue;
        running_.insert(requestKey(rollout));
        ages_.learn(requestKey(rollout), {rollout.age, rollout.stage, rollout.inStage}, now());
    }
    ages_.keep(running_);
}

void RolloutController::onPeerAges(const Json& ages) {
    for (const auto& one : ages)
        if (const auto name = one.at(0).get<std::string>(); running_.contains(name))
            ages_.learn(name,
                        {one.at(1).get<std::int64_t>(), one.at(2).get<int>(), one.at(3).get<std::int64_t>()},
                        now());
}

Json RolloutController::ages() const {
    Json told = Json::array();
    for (const auto& name : running_) {
        const auto age = ages_.at(name, now());
        told.push_back({name, age.order, age.stage, age.inStage});
    }
    return told;
}

Task<> RolloutController::writeAges() {
    const consensus::Change older = [this](const std::string& value) {
        auto all = messages::decodeRollouts(value);
        for (auto& one : all) {
            if (!one.running()) continue;
            const auto age = ages_.at(requestKey(one), now());
            one.age = std::max(one.age, age.order);
            if (age.stage == one.stage) one.inStage = std::max(one.inStage, age.inStage);
        }
        return messages::encode(all);
    };
    co_await replica_.change(kRolloutsKey, older, kUpdateTimeout);
}

void RolloutController::onVote(const Json& vote) {
    const auto key = vote.at("service").get<std::string>() + "\n" + vote.at("target").get<std::string>();
    votes_[key][vote.at("from").get<std::string>()] = {static_cast<Verdict>(vote.at("verdict").get<int>()),
                                                       vote.at("stage").get<int>(), now(), vote};
}

Json RolloutController::votes() const {
    Json told = Json::array();
    for (const auto& [_, byVoter] : votes_)
        for (const auto& [voter, vote] : byVoter)
            if (now() - vote.at < verdict::kVoteLife) told.push_back(vote.about);
    return told;
}

Task<> RolloutController::run() {
    for (;;) {
        co_await sleep(kRunInterval);
        if (!holdsLease_()) continue;
        for (const auto& rollout : messages::decodeRollouts(replica_.known(kRolloutsKey).value))
            if (rollout.running()) co_await advance(rollout);
        if (running_.empty() || now() - agesWrittenAt_ < kWriteAgesInterval) continue;
        agesWrittenAt_ = now();
        co_await writeAges();
    }
}

Task<> RolloutController::advance(messages::Rollout rollout) {
    const auto key = rollout.service + "\n" + rollout.target;
    const auto chosen = hashing::rendezvousSelect(proxyNames_(), key, verdict::kVoterCount);
    verdict::VoteCounts votes;
    votes.voters = chosen.size();
    Json said = Json::array();
    for (const auto& voter : chosen) {
        const auto at = votes_[key].find(voter);
        if (at == votes_[key].end() || now() - at->second.at > verdict::kVoteLife) continue;
        votes.on += at->second.verdict == Verdict::on && at->second.stage == rollout.stage;
        votes.back += at->second.verdict == Verdict::back;
        said.push_back(at->second.about);
    }
    const auto age = ages_.at(requestKey(rollout), now());
    const auto inStage = age.stage == rollout.stage ? age.inStage : 0;
    const auto move = verdict::nextMove(rollout.stage, votes, age.order, inStage, rollout.term);
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
    const consensus::Change decide = [rollout, to](const std::string& value) {
        auto all = messages::decodeRollouts(value);
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
        return changed ? messages::encode(all) : value;
    };
    co_await replica_.change(kRolloutsKey, decide, kUpdateTimeout);
}

}  // namespace lichenlanding::control_plane
