// Voting: the voters' verdicts, and when and for what this sidecar votes.
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/rules.hpp"

namespace lichenlanding::policy {

struct Voting : Rules {
    using Rules::Rules;

    bool isVoter() const {  // without peer messages each sidecar evaluates its own counts
        const auto& voters = trial.voters;
        return !settings.peerMessages || std::find(voters.begin(), voters.end(), self) != voters.end();
    }

    Message messageHeader(Message::Kind kind) {
        return {kind, epoch, ++seq, static_cast<std::uint32_t>(trial.build), 0, 0, {}, {}};
    }

    void sendToPeers(const std::vector<std::string>& messages, const std::vector<int>& peers) {
        for (int peer : peers)
            for (const auto& bytes : messages)
                if (settings.peerMessages && peer != self) host.sendToPeer(peer, bytes);
    }

    void sendVerdict() {
        auto message = messageHeader(Message::Kind::verdict);
        message.verdict = static_cast<std::uint32_t>(trial.verdict);
        sendToPeers({encode(message)}, allPeers);
    }

    // The verdict of a majority of the voters; none while there is no majority.
    Verdict voterMajority() const {
        std::array<int, 4> votes{};
        for (int voter : trial.voters) ++votes[static_cast<std::size_t>(trial.verdicts[voter].verdict)];
        const auto needed = static_cast<int>(trial.voters.size()) / 2 + 1;
        if (votes[3] >= needed) return Verdict::rollBack;
        if (!timed() && votes[1] >= needed) return Verdict::advance;
        if (timed() && votes[2] >= needed) return Verdict::hold;
        return Verdict::none;
    }

    // Returns false if the vote may not have counted. It is sent again, after a backoff if rate-limited.
    bool handleVoteAnswer(Outcome answer) {
        ownVote.notBefore = now;
        if (answer == Outcome::succeeded) {
            ownVote.rejections = 0;
            return true;
        }
        ownVote.cast.verdict = Verdict::none;
        ownVote.cast.build = -1;
        const bool limited = answer == Outcome::rejected;
        const auto delay = limited ? std::min(kSecond << ownVote.rejections, voteInterval) : kTickInterval;
        if (limited) ownVote.rejections = std::min(ownVote.rejections + 1, 8);
        ownVote.notBefore += delay / 2 + static_cast<Nanos>(random() % 1000) * delay / 1000;
        return false;
    }

    Verdict verdictToCast() {
        auto verdict = isVoter() ? trial.verdict : voterMajority();
        // Exception: without a required attestation a build keeps its stage. Harm: late metadata delays it.
        const auto* build = settings.attestationRequired ? buildFor(rollout.build) : nullptr;
        if (build && !attested(*build)) {
            if (build->attestation == Attestation::withdrawn) verdict = Verdict::rollBack;
            if (verdict != Verdict::rollBack) verdict = timed() ? Verdict::hold : Verdict::none;
        }
        const bool afterRelease = rollout.state == RolloutState::released && verdict == Verdict::rollBack;
        if (rollout.state != RolloutState::testing && !afterRelease) verdict = Verdict::none;
        // Exception: no vote to advance in the last stage before its pods are warm and counted, or faults
        // under full traffic would go unnoticed. Large fleets start earlier by the time votes are queued.
        const bool settled = rollout.stage < lastStage || now - rollout.since >= settleTime - queueTime;
        return verdict == Verdict::advance && !settled ? Verdict::none : verdict;
    }

    void castVote() {
        if (rollout.build != trial.build || rollout.build < 0) return;  // no stage to vote on yet
        const Ballot ballot{verdictToCast(), rollout.build, rollout.stage};
        const auto& last = ownVote.cast;
        const bool none = ballot.verdict == Verdict::none,
                   anyStage = none || ballot.verdict == Verdict::rollBack;
        const bool sameBuild = last.build == ballot.build, sameStage = last.stage == ballot.stage;
        const bool same = last.verdict == ballot.verdict && (none || sameBuild) && (anyStage || sameStage);
        if (same && (none || now < ownVote.castAt + renewAfter)) return;
        // A vote on a stage that is over does not have to be withdrawn.
        if (none && (rollout.state != RolloutState::testing || !sameBuild || !sameStage)) {
            ownVote.cast.verdict = ballot.verdict;
            return;
        }
        // All sidecars see a majority at once, and votes over the rate limit would delay the stage: so each
        // waits for its turn in a queue. Harm: if few vote alike, the last ones wait for unused turns.
        if (std::exchange(ownVote.queued, ballot) != ballot) {
            const auto stage = static_cast<unsigned>(ballot.stage);
            const auto topic = static_cast<std::uint64_t>(ballot.build) << 32 | stage;
            const auto index = static_cast<std::uint32_t>(self);
            ownVote.queuedUntil = now + limits::queueDelay(topic, index, sidecars, settings.votesPerSecond);
            ownVote.rejections = 0;
        }
        if (now < std::max(ownVote.notBefore, ownVote.queuedUntil)) return;
        ownVote.cast = ballot;
        ownVote.castAt = now;
        ownVote.notBefore = now + settings.voteTimeout;
        host.vote(ballot.verdict, ballot.build, ballot.stage);
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
