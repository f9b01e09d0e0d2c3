#include <deque>

#include "support/policy_fixture.hpp"

// A hundred sidecars and a platform that accepts at most 16 calls a second.
struct Fleet {
    Fleet() {
        auto custom = testSettings();
        custom.sidecarCount = 100;
        custom.votesPerSecond = 16;
        custom.advanceVotesNeeded = 50;
        for (custom.index = 0; custom.index < 100; ++custom.index)
            sidecars.emplace_back(custom).notesOnly = true;
    }
    // All sidecars receive a stage and three voters' verdicts to advance at once. Returns the time at which
    // half of the votes have been accepted.
    Nanos timeToMajority(int stage) {
        const Message verdict{Message::Kind::verdict, 3, 1, 6, 1, 0, {}, {}};
        for (auto& sidecar : sidecars) {
            sidecar.updateRollout(6, stage, RolloutState::testing, 1);
            for (int peer = 0; peer < 100; ++peer) sidecar.policy->onPeerMessage(peer, encode(verdict));
        }
        Nanos now = 0;
        for (double quota = 16; acceptedVotes < 50 && now < 20000 * kMs;
             now += 10 * kMs, quota = std::min(16.0, quota + 0.16))
            for (auto& sidecar : sidecars)
                for (sidecar.advanceTo(now); sidecar.votes > 0; --sidecar.votes) {
                    const bool accepted = quota >= 1;
                    quota -= accepted;
                    acceptedVotes += accepted;
                    castInFirstSecond += now < 1000 * kMs;
                    sidecar.policy->onRolloutUpdate(6, stage, RolloutState::testing, true,
                                                    accepted ? Outcome::succeeded : Outcome::rejected, 1, 0);
                }
        return now;
    }
    std::deque<PolicyFixture> sidecars;
    int acceptedVotes = 0, castInFirstSecond = 0;  // votes accepted; votes cast in the first second
};

// Guards against votes that exceed the platform's rate limit. Of 98 votes cast within 30 ms it counted
// 33; the rejected ones were retried together with the renewals of the others, and the stage advanced 5.6 s
// after the verdict (simulation join+vast, seed 1). In the last stage votes were queued only after the wait
// for warm pods, which delayed the release (join+vast, seed 2).
TEST_CASE(
    "votes of a fleet that follows one majority stay within the platform's rate limit; those on the last "
    "stage are queued early") {
    Fleet first;
    Fleet last;
    CHECK(first.timeToMajority(0) <= 3000 * kMs);
    CHECK(first.castInFirstSecond <= 2 * 16);  // the initial burst and one more second's quota
    const auto settled = testSettings().slowStartTime + 2000 * kMs;
    const auto decided = last.timeToMajority(1);
    CHECK(std::abs(decided - settled) <= 750 * kMs);
}
