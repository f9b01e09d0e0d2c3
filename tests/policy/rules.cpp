#include "support/policy_fixture.hpp"

TEST_CASE("a non-idempotent request is retried only if it was never executed") {
    PolicyFixture fixture;
    fixture.listPod(1, 5);
    fixture.listPod(2, 5);
    fixture.finish(fixture.request("never-executed", 2), Outcome::unreachable);
    fixture.note("an error response does not guarantee a safe retry, so the final answer is no rejection");
    fixture.finish(fixture.request("may-have-run", 2), Outcome::failed);
    fixture.matches("non-idempotent");
}

TEST_CASE("a deduplicated request is retried only within its zone and window") {
    PolicyFixture fixture;
    fixture.listPod(1, 5, 0);
    fixture.listPod(2, 5, 0);
    fixture.listPod(3, 5, 1);
    for (int turn = 0; turn < 4; ++turn) {
        auto& request = fixture.request("in-zone-" + std::to_string(turn), 1);
        fixture.finish(request, Outcome::failed);
        if (request.attempts.size() > 1)
            CHECK(request.attempts[0].pod->zone == request.attempts[1].pod->zone);
        if (!request.ended) fixture.finish(request, Outcome::succeeded);
    }
    fixture.note("after the window neither a retry nor a rejection");
    auto& late = fixture.request("late", 1);
    fixture.advanceTo(1200 * kMs);
    fixture.finish(late, Outcome::timedOut, 1200 * kMs);
    fixture.matches("deduplicated");
}

TEST_CASE("no request is sent to a draining or removed pod") {
    PolicyFixture fixture;
    fixture.listPod(1, 5);
    fixture.listPod(2, 5);
    fixture.listPod(1, 5, 0, Availability::draining);
    for (int turn = 0; turn < 4; ++turn)
        fixture.finish(fixture.request("h" + std::to_string(turn), 0), Outcome::succeeded);
    fixture.listPod(2, 5, 0, Availability::removed);
    fixture.request("nowhere", 0);
    fixture.matches("draining");
}

TEST_CASE("exposure stays within the cap, and a lower cap resets the allowance") {
    PolicyFixture fixture;
    fixture.listPod(1, 6);
    fixture.note("build 6 is not announced: cap of the first stage, 0.5; 1 free attempt");
    for (int turn = 0; turn < 6; ++turn) fixture.serve("a" + std::to_string(turn), 0);
    fixture.updateRollout(6, 1, RolloutState::testing, 1);
    fixture.note("cap 1");
    for (int turn = 0; turn < 3; ++turn) fixture.serve("b" + std::to_string(turn), 0);
    fixture.updateRollout(6, 1, RolloutState::rollingBack, 0);
    fixture.note("cap 0");
    fixture.request("c", 0);
    fixture.matches("exposure");
}

TEST_CASE(
    "exposure is counted by path group if so configured; restricted stages admit idempotent requests only") {
    auto custom = testSettings();
    custom.perGroup = true;
    custom.restrictedStages = 1;
    PolicyFixture fixture(custom);
    fixture.updateRollout(6, 0, RolloutState::testing, 0.5);
    fixture.listPod(1, 6);
    fixture.note("orders add no allowance for reads and are not admitted in stage 0");
    for (int turn = 0; turn < 4; ++turn) fixture.serve("order" + std::to_string(turn), 1);
    for (int turn = 0; turn < 4; ++turn) fixture.serve("read" + std::to_string(turn), 0);
    fixture.updateRollout(6, 1, RolloutState::testing, 0.5);
    fixture.note("stage 1 admits orders; their allowance from stage 0 is kept, one at most");
    for (int turn = 0; turn < 2; ++turn) fixture.serve("later" + std::to_string(turn), 1);
    fixture.matches("exposure-by-group");
}

TEST_CASE(
    "slow start: requests of idle and busy sidecars to a warming pod add up to a share of a warm pod's") {
    PolicyFixture output;
    for (const int sidecars :
         {1, 40, 120}) {  // 120 requests a second in total, four pods, one of them warming up
        int sentToWarming = 0;
        int all = 0;
        int most = 0;
        for (int index = 0; index < sidecars; ++index) {
            PolicyFixture fixture(testSettings(), static_cast<std::uint64_t>(index) + 1);
            for (std::uint32_t id = 1; id <= 3; ++id) fixture.listPod(id, 5);
            int sentHere = 0;
            for (int turn = 0; turn < 8 * 120 / sidecars; ++turn) {
                const auto at = turn * 1000 * kMs * sidecars / 120;
                if (at >= 4000 * kMs && fixture.pods.size() == 3)
                    fixture.listPod(4, 5, 0, Availability::up, 4000 * kMs);
                fixture.advanceTo(at);
                fixture.request("h" + std::to_string(turn), 0);
                if (fixture.requests["h" + std::to_string(turn)].attempts[0].pod->id == 4) ++sentHere;
                if (at >= 4000 * kMs) ++all;
                fixture.finish(fixture.requests["h" + std::to_string(turn)], Outcome::succeeded, 60 * kMs);
            }
            sentToWarming += sentHere;
            most = std::max(most, sentHere);
        }
        output.trace << sidecars << " sidecars sent the warming pod " << sentToWarming << " of " << all
                     << " requests while it was warming up, one sidecar at most " << most << '\n';
    }
    output.matches("slow-start");
}

TEST_CASE(
    "an idle sidecar may use the free attempts at a new build immediately, unless it has just started") {
    for (const bool justStarted : {false, true}) {
        PolicyFixture fixture;
        fixture.listPod(1, 5);
        fixture.advanceTo(justStarted ? 100 * kMs : 6000 * kMs);
        fixture.listPod(2, 6);
        fixture.updateRollout(6, 1, RolloutState::testing, 0.05);
        int sent = 0;
        for (int turn = 0; turn < 12; ++turn) {
            auto& request = fixture.request("h" + std::to_string(turn), 0);
            sent += request.attempts[0].build->number == 6;
            fixture.finish(request, Outcome::succeeded);
        }
        CHECK(sent == (justStarted ? 0 : 1));  // one free attempt is configured
    }
}

TEST_CASE("each request gets one answer, immediately when no attempt is left, and none after a disconnect") {
    PolicyFixture fixture;
    fixture.listPod(1, 5);
    auto& late = fixture.request("late", 0, 100 * kMs);
    fixture.advanceTo(100 * kMs);
    fixture.finish(late, Outcome::timedOut, 100 * kMs);
    auto& left = fixture.request("left", 0);
    fixture.policy->onClientDisconnect(left);
    fixture.finish(left, Outcome::failed);
    auto& again = fixture.request("again", 0);
    fixture.finish(again, Outcome::rejected);
    fixture.finish(again, Outcome::rejected);
    fixture.finish(again, Outcome::rejected);
    CHECK(again.ended);
    fixture.matches("answers");
}
