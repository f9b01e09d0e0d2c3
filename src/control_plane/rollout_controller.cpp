#include "control_plane/rollout_controller.hpp"

#include "hashing/rendezvous.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

constexpr Nanos kRunInterval = 200 * kMillisecond;
constexpr Nanos kUpdateTimeout = 900 * kMillisecond;
// A restart of all control plane processes loses no more of a rollout's age.
constexpr Nanos kWriteAgesInterval = kSecond;

constexpr const char* kCompletedState = "completed";
constexpr const char* kRolledBackState = "rolled_back";

std::string voteKey(const std::string& service, const std::string& target) { return service + "\n" + target; }

// A request for one service and version may come again, with another deadline, once the first has ended.
std::string requestKey(const messages::Rollout& rollout) {
    return voteKey(rollout.service, rollout.target) + "\n" + std::to_string(rollout.timeLimitMs);
}

bool isSameRequest(const messages::Rollout& one, const messages::Rollout& other) {
    return one.service == other.service && one.target == other.target && one.timeLimitMs == other.timeLimitMs;
}

messages::Rollout afterMove(messages::Rollout rollout, const verdict::StageTransition& move,
                            std::int64_t age) {
    if (move.completed) rollout.state = kCompletedState;
    else if (move.rolledBack) rollout.state = kRolledBackState;
    else ++rollout.stage;
    rollout.ageMs = age;
    rollout.stageAgeMs = 0;
    return rollout;
}

/// Replaces `before` by `after`, unless the rollout has left that stage: what is decided stays decided,
/// whichever process advances it.
std::string applyMove(const std::string& value, const messages::Rollout& before,
                      const messages::Rollout& after) {
    auto rollouts = messages::decodeRollouts(value);
    std::int64_t highest = 0;
    for (const auto& one : rollouts) highest = std::max(highest, one.number);
    bool changed = false;
    for (auto& one : rollouts) {
        if (!isSameRequest(one, after) || !one.running() || one.stage != before.stage) continue;
        one = after;
        one.number = highest + 1;
        changed = true;
    }
    return changed ? messages::encode(rollouts) : value;
}

/// The ages known here, where they are above those that the register has.
std::string applyAges(const std::string& value, const verdict::OrderAges& ages, Nanos now) {
    auto rollouts = messages::decodeRollouts(value);
    for (auto& one : rollouts) {
        if (!one.running()) continue;
        const auto age = ages.ageOf(requestKey(one), now);
        one.ageMs = std::max(one.ageMs, age.order);
        if (age.stage == one.stage) one.stageAgeMs = std::max(one.stageAgeMs, age.inStage);
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

RolloutController::Tally RolloutController::tally(const messages::Rollout& rollout) const {
    const auto key = voteKey(rollout.service, rollout.target);
    const auto voters = hashing::rendezvousSelect(proxyNames_(), key, verdict::kVoterCount);
    Tally tally;
    tally.counts.voters = voters.size();
    const auto votes = votes_.find(key);
    if (votes == votes_.end()) return tally;
    for (const auto& voter : voters) {
        const auto at = votes->second.find(voter);
        if (at == votes->second.end() || now() - at->second.receivedAt > verdict::kVoteTtl) continue;
        const auto& vote = at->second.vote;
        tally.counts.advance += vote.verdict == Verdict::advance && vote.stage == rollout.stage;
        tally.counts.rollBack += vote.verdict == Verdict::rollBack;
        tally.messages.push_back(vote.message);
    }
    return tally;
}

Task<> RolloutController::advance(messages::Rollout rollout) {
    const auto votes = tally(rollout);
    const auto age = ages_.ageOf(requestKey(rollout), now());
    const auto inStage = age.stage == rollout.stage ? age.inStage : 0;
    const auto move =
        verdict::nextTransition(rollout.stage, votes.counts, age.order, inStage, rollout.timeLimitMs);
    if (!move) co_return;
    const auto after = afterMove(rollout, *move, age.order);
    const char* why = move->reason;
    log("rollout_advanced", {{"service", after.service},
                             {"target", after.target},
                             {"state", after.state},
                             {"stage", after.stage},
                             {"why", why},
                             {"elapsed_ms", age.order},
                             {"votes", votes.messages}});
    co_await writeMove(rollout, after);
}

// In both, the change is a local, not a temporary of the awaited call: GCC 12 destroys such a one twice.
Task<> RolloutController::writeMove(messages::Rollout before, messages::Rollout after) {
    const consensus::Change change = [before, after](const std::string& value) {
        return applyMove(value, before, after);
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
