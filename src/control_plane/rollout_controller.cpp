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

// The key of its age, on the wire too. Includes the deadline, because earlier versions tell rollouts of one
// version by it.
std::string ageKey(const messages::Rollout& rollout) {
    const auto key = rollout.versionKey() + "\n" + std::to_string(rollout.timeLimitMs);
    return rollout.generation == 0 ? key : key + "\n" + std::to_string(rollout.generation);
}

messages::Rollout afterTransition(messages::Rollout rollout, const verdict::StageTransition& transition,
                                  std::int64_t age) {
    if (transition.completed) rollout.state = messages::kRolloutCompleted;
    else if (transition.rolledBack) rollout.state = messages::kRolloutRolledBack;
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
        if (rollout.key() != before.key() || !rollout.hasSameOrder(before)) continue;
        if (!rollout.running() || rollout.stage != before.stage) continue;
        rollout = after;
        rollout.number = highest + 1;
        changed = true;
    }
    return changed ? messages::encode(rollouts) : value;
}

}  // namespace

// An ended rollout is tracked until the register says that its order can't be repeated any more.
bool RolloutController::isTracked(const messages::Rollout& rollout) const {
    return rollout.running() || rollout.ageMs <= repeatWindowMs_;
}

std::int64_t RolloutController::ageMs(const messages::Rollout& rollout) const {
    return std::max(rollout.ageMs, ages_.ageOf(ageKey(rollout), now()).order);
}

admin::RepeatWindow RolloutController::repeatWindow() const {
    return {repeatWindowMs_, [this](const messages::Rollout& rollout) { return ageMs(rollout); }};
}

void RolloutController::onValueLearned() {
    tracked_.clear();
    std::set<std::string> running;
    for (const auto& rollout : messages::decodeRollouts(replica_.known(kRolloutsKey).value)) {
        if (rollout.running()) running.insert(rollout.versionKey());
        if (!isTracked(rollout)) continue;
        tracked_.insert(ageKey(rollout));
        ages_.merge(ageKey(rollout), {rollout.ageMs, rollout.stage, rollout.stageAgeMs}, now());
    }
    ages_.retainOnly(tracked_);
    std::erase_if(votes_, [&](const auto& votes) { return !running.contains(votes.first); });
}

void RolloutController::onPeerAges(const std::vector<RolloutAge>& ages) {
    for (const auto& [rollout, age] : ages)
        if (tracked_.contains(rollout)) ages_.merge(rollout, age, now());
}

std::vector<RolloutAge> RolloutController::ages() const {
    std::vector<RolloutAge> ages;
    for (const auto& rollout : tracked_) ages.push_back({rollout, ages_.ageOf(rollout, now())});
    return ages;
}

void RolloutController::onVote(RolloutVote vote) {
    auto& received = votes_[messages::versionKey(vote.service, vote.target)][vote.voter];
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
        if (tracked_.empty() || now() - agesWrittenAt_ < kWriteAgesInterval) continue;
        agesWrittenAt_ = now();
        co_await writeAges();
    }
}

RolloutController::VoteTally RolloutController::countVotes(const messages::Rollout& rollout) const {
    const auto voters = hashing::rendezvousSelect(proxyNames_(), rollout.versionKey(), verdict::kVoterCount);
    VoteTally tally;
    tally.counts.voters = voters.size();
    const auto votes = votes_.find(rollout.versionKey());
    std::size_t heard = 0;
    for (const auto& voter : voters) {
        if (votes == votes_.end() || !votes->second.contains(voter)) continue;
        const auto& [vote, receivedAt] = votes->second.at(voter);
        if (vote.generation.value_or(rollout.generation) != rollout.generation) continue;
        ++heard;
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
    const auto age = ages_.ageOf(ageKey(rollout), now());
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

/// Raises the ages in the register's value to those known here.
std::string RolloutController::raiseAges(const std::string& value) const {
    auto rollouts = messages::decodeRollouts(value);
    for (auto& rollout : rollouts) {
        if (!isTracked(rollout)) continue;
        const auto age = ages_.ageOf(ageKey(rollout), now());
        rollout.ageMs = ageMs(rollout);
        if (age.stage == rollout.stage) rollout.stageAgeMs = std::max(rollout.stageAgeMs, age.inStage);
    }
    return messages::encode(rollouts);
}

Task<> RolloutController::writeAges() {
    const consensus::Change change = [this](const std::string& value) { return raiseAges(value); };
    co_await replica_.update(kRolloutsKey, change, kUpdateTimeout);
}

}  // namespace lichenlanding::control_plane
