// Votes: what the voters say, and when and for what this sidecar votes.
#pragma once

#include "policy/rules.hpp"

namespace lichenlanding::policy {

struct Votes : Rules {
    using Rules::Rules;

    bool isVoter() const {  // where there are no messages, each judges what it counts itself
        return !mayTell || std::find(trial.voters.begin(), trial.voters.end(), me) != trial.voters.end();
    }

    Message head(Message::Kind kind) {
        return {kind, epoch, ++seq, static_cast<std::uint32_t>(trial.build), 0, 0, {}, {}};
    }

    void tell(const std::vector<std::string>& messages, const std::vector<int>& to) {
        for (int peer : to)
            for (const auto& bytes : messages)
                if (mayTell && peer != me) door.tell(peer, bytes);
    }

    void tellVerdict() {
        auto message = head(Message::Kind::verdict);
        message.verdict = static_cast<std::uint32_t>(trial.verdict);
        tell({encode(message)}, everyone);
    }

    // What most voters say; of a tie, the later one to be undecided.
    Verdict echo() const {
        std::array<int, 4> count{};
        for (int voter : trial.voters) ++count[static_cast<std::size_t>(trial.verdicts[voter].verdict)];
        const auto needed = static_cast<int>(trial.voters.size()) / 2 + 1;
        if (count[3] >= needed) return Verdict::back;
        if (!clocked && count[1] >= needed) return Verdict::on;
        if (clocked && count[2] >= needed) return Verdict::hold;
        return Verdict::none;
    }

    void castVote() {
        if (told.build != trial.build || told.build < 0) return;  // no stage to vote for yet
        auto verdict = isVoter() ? trial.verdict : echo();
        // Exception: signed metadata that are required and missing hold a build where it is, whatever its
        // outcomes; withdrawn ones send it back. Harm: metadata that cannot be had in time cost a stage's
        // wait.
        if (attestationNeeded && !vouchedFor(*buildOf(told.build))) {
            const bool withdrawn = buildOf(told.build)->attestation == Attestation::withdrawn;
            if (withdrawn) verdict = Verdict::back;
            if (verdict != Verdict::back) verdict = clocked ? Verdict::hold : Verdict::none;
        }
        const bool late = told.standing == Standing::released && verdict == Verdict::back;
        if (told.standing != Standing::trial && !late) verdict = Verdict::none;
        // Exception: no 'on' in the last stage before its own pods have had time to warm and be counted: what
        // shows only with all traffic would be released unseen. Each waits by itself: hundreds could not take
        // back a vote.
        // The vote that decides is the one that must not come before: in a large tier the queue to it is
        // begun so much earlier.
        if (verdict == Verdict::on && told.stage >= lastStage && now - told.since < settleFor - queueFor)
            verdict = Verdict::none;
        const bool anyStage = verdict == Verdict::back || verdict == Verdict::none;
        const bool same = cast.verdict == verdict && (verdict == Verdict::none || cast.build == told.build) &&
                          (anyStage || cast.stage == told.stage);
        if (same && (verdict == Verdict::none || now < cast.when + renewAfter)) return;
        // A vote for what is over needs no taking back.
        if (verdict == Verdict::none &&
            (told.standing != Standing::trial || cast.build != told.build || cast.stage != told.stage)) {
            cast.verdict = verdict;
            return;
        }
        // Each waits for its place in the fleet's queue: all echo in the same instant, and what the platform
        // turns away then comes back among the renewals of what it took. Guards against stages that wait for
        // votes long decided; it ought to spread any call that all make at one word. Harm: where few vote
        // alike, the last of them wait for places that nobody takes.
        if (const std::tuple wish(verdict, told.build, told.stage);
            std::exchange(cast.queued, wish) != wish) {
            const auto about =
                static_cast<std::uint64_t>(told.build) << 32 | static_cast<unsigned>(told.stage);
            cast.turn = now + limits::turn(about, static_cast<std::uint32_t>(me), balancers, votesPerSecond);
            cast.refused = 0;
        }
        if (now < std::max(cast.next, cast.turn)) return;
        cast.verdict = verdict, cast.build = told.build, cast.stage = told.stage;
        cast.when = now, cast.next = now + answerWait;
        door.vote(verdict, told.build, told.stage);
    }
};

}  // namespace lichenlanding::policy
