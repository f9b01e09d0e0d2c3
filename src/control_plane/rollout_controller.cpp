#include "control_plane/rollout_controller.hpp"

#include "hashing/rendezvous.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kRunInterval = 200 * kMillisecond;
constexpr Nanos kUpdateTimeout = 900 * kMillisecond;
// Upper bound of the age that a rollout loses when all control nodes restart.
constexpr Nanos kWriteAgesInterval = kSecond;

constexpr const char* kCompletedState = "completed";
constexpr const char* kRolledBackState = "rolled_back";

std::string voteKey(const std::string& service, const std::string& target) { return service + "\n" + target; }

// Includes the deadline, because a finished rollout of the same service and version may be requested again
// with another one.
std::string requestKey(const messages::Rollout& rollout) {
    return voteKey(rollout.service, rollout.target) + "\n" + std::to_string(rollout.timeLimitMs);
}

bool isSameRequest(const messages::Rollout& one, const messages::Rollout& other) {
    return one.service == other.service && one.target == other.target && one.timeLimitMs == other.timeLimitMs;
}

messages::Rollout afterTransition(messages::Rollout rollout, const verdict::StageTransition& transition,
                                  std::int64_t age) {
    if (transition.completed) rollout.state = kCompletedState;
    else if (transition.rolledBack) rollout.state = kRolledBackState;
    else ++rollout.stage;
    rollout.ageMs = age;
    rollout.stageAgeMs = 0;
    return rollout;
}

/// Replaces `before` by `after`, unless the rollout has left that stage. A decision is therefore final,
/// whichever process made it.
std::string applyTransition(const std::string& value, const messages::Rollout& before,
                            const messages::Rollout& after) {
    auto rollouts = messages::decodeRollouts(value);
    std::int64_t highest = 0;
    for (const auto& rollout : rollouts) highest = std::max(highest, rollout.number);
    bool changed = false;
    for (auto& rollout : rollouts) {
        if (!isSameRequest(rollout, after) || !rollout.running() || rollout.stage != before.stage) continue;
        rollout = after;
        rollout.number = highest + 1;
        changed = true;
    }
    return changed ? messages::encode(rollouts) : value;
}

/// Raises the ages in the register's value to those known here.
std::string applyAges(const std::string& value, const verdict::OrderAges& ages, Nanos now) {
    auto rollouts = messages::decodeRollouts(value);
    for (auto& rollout : rollouts) {
        if (!rollout.running()) continue;
        const auto age = ages.ageOf(requestKey(rollout), now);
        rollout.ageMs = std::max(rollout.ageMs, age.order);
        if (age.stage == rollout.stage) rollout.stageAgeMs = std::max(rollout.stageAgeMs, age.inStage);
    }
    return messages::encode(rollouts);
}

}  // namespace

void RolloutController::onValueLearned() {
    running_.clear();
    for (const auto& rollout : messages::decodeRollouts(replica_.known(kRolloutsKey).value)) {
        if (!rollout.running()) continue;
        running_.insert(requestKey(rollout));
        ages_.merge(requestKey(rollout), {rollout.ageMs, rollout.stage, rollout.stageAgeMs}, now());
    }
    ages_.retainOnly(running_);
}

void RolloutController::onPeerAges(const std::vector<RolloutAge>& ages) {
    for (const auto& [rollout, age] : ages)
        if (running_.contains(rollout)) ages_.merge(rollout, age, now());
}

std::vector<RolloutAge> RolloutController::ages() const {
    std::vector<RolloutAge> ages;
    for (const auto& rollout : running_) ages.push_back({rollout, ages_.ageOf(rollout, now())});
    return ages;
}

void RolloutController::onVote(RolloutVote vote) {
    auto& received = votes_[voteKey(vote.service, vote.target)][vote.voter];
    received = {std::move(vote), now()};
}

std::vector<Json> RolloutController::votes() const {
    std::vector<Json> messages;
    for (const auto& [_, byVoter] : votes_)
        for (const auto& [voter, received] : byVoter)
            if (now() - received.receivedAt < verdict::kVoteTtl) messages.push_back(received.vote.message);
    return messages;
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

RolloutController::VoteTally RolloutController::countVotes(const messages::Rollout& rollout) const {
    const auto key = voteKey(rollout.service, rollout.target);
    const auto voters = hashing::rendezvousSelect(proxyNames_(), key, verdict::kVoterCount);
    VoteTally tally;
    tally.counts.voters = voters.size();
    const auto votes = votes_.find(key);
    std::size_t heard = 0;
    for (const auto& voter : voters) {
        if (votes == votes_.end() || !votes->second.contains(voter)) continue;
        ++heard;
        const auto& [vote, receivedAt] = votes->second.at(voter);
        if (now() - receivedAt > verdict::kVoteTtl) continue;
        tally.counts.advance += vote.verdict == Verdict::advance && vote.stage == rollout.stage;
        tally.counts.rollBack += vote.verdict == Verdict::rollBack;
        tally.counts.stable += vote.stable;
        tally.messages.push_back(vote.message);
    }
    tally.counts.mostUnheard = heard <= voters.size() / 2;
    return tally;
}

Task<> RolloutController::advance(messages::Rollout rollout) {
    const auto votes = countVotes(rollout);
    const auto age = ages_.ageOf(requestKey(rollout), now());
    const auto inStage = age.stage == rollout.stage ? age.inStage : 0;
    const auto transition =
        verdict::nextTransition(rollout.stage, votes.counts, age.order, inStage, rollout.timeLimitMs);
    if (!transition) co_return;
    const auto after = afterTransition(rollout, *transition, age.order);
    const char* why = transition->reason;
    log("rollout_advanced", {{"service", after.service},
                             {"target", after.target},
                             {"state", after.state},
                             {"stage", after.stage},
                             {"why", why},
                             {"elapsed_ms", age.order},
                             {"votes", votes.messages}});
    co_await writeTransition(rollout, after);
}

// In both functions `change` is a local variable, because GCC 12 destroys temporaries of an awaited call
// twice.
Task<> RolloutController::writeTransition(messages::Rollout before, messages::Rollout after) {
    const consensus::Change change = [before, after](const std::string& value) {
        return applyTransition(value, before, after);
    };
    co_await replica_.update(kRolloutsKey, change, kUpdateTimeout);
}

Task<> RolloutController::writeAges() {
    const consensus::Change change = [this](const std::string& value) {
        return applyAges(value, ages_, now());
    };
    co_await replica_.update(kRolloutsKey, change, kUpdateTimeout);
}

}  // namespace lichenlanding::control_plane
