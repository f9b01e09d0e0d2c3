#include "support/policy_fixture.hpp"

TEST_CASE("a non-idempotent request is retried only if it was never executed") {
    PolicyFixture scene;
    scene.listPod(1, 5);
    scene.listPod(2, 5);
    scene.finish(scene.request("turned-away", 2), Outcome::unreachable);
    scene.note("an error page promises nothing, so it is no bounce");
    scene.finish(scene.request("may-have-run", 2), Outcome::failed);
    scene.matches("non-idempotent");
}

TEST_CASE("a deduplicated request is retried only within its zone and window") {
    PolicyFixture scene;
    scene.listPod(1, 5, 0);
    scene.listPod(2, 5, 0);
    scene.listPod(3, 5, 1);
    for (int turn = 0; turn < 4; ++turn) {
        auto& request = scene.request("in-zone-" + std::to_string(turn), 1);
        scene.finish(request, Outcome::failed);
        if (request.attempts.size() > 1)
            CHECK(request.attempts[0].pod->zone == request.attempts[1].pod->zone);
        if (!request.ended) scene.finish(request, Outcome::succeeded);
    }
    scene.note("past the window neither a forward nor a bounce");
    auto& late = scene.request("late", 1);
    scene.advanceTo(1200 * kMs);
    scene.finish(late, Outcome::timedOut, 1200 * kMs);
    scene.matches("deduplicated");
}

TEST_CASE("nothing is sent to a pod that drains or was removed") {
    PolicyFixture scene;
    scene.listPod(1, 5);
    scene.listPod(2, 5);
    scene.listPod(1, 5, 0, Availability::draining);
    for (int turn = 0; turn < 4; ++turn)
        scene.finish(scene.request("h" + std::to_string(turn), 0), Outcome::succeeded);
    scene.listPod(2, 5, 0, Availability::removed);
    scene.request("nowhere", 0);
    scene.matches("draining");
}

TEST_CASE("exposure stays within the cap, and a lower cap starts anew") {
    PolicyFixture scene;
    scene.listPod(1, 6);
    scene.note("build 6 is not announced: cap of the first stage, one half; free 1");
    for (int turn = 0; turn < 6; ++turn) scene.serve("a" + std::to_string(turn), 0);
    scene.updateRollout(6, 1, RolloutState::testing, 1);
    scene.note("cap 1");
    for (int turn = 0; turn < 3; ++turn) scene.serve("b" + std::to_string(turn), 0);
    scene.updateRollout(6, 1, RolloutState::rollingBack, 0);
    scene.note("cap 0");
    scene.request("c", 0);
    scene.matches("exposure");
}

TEST_CASE("exposure counts by path group where set so, and restricted stages take idempotent requests only") {
    auto custom = testSettings();
    custom.perGroup = true;
    custom.restrictedStages = 1;
    PolicyFixture scene(custom);
    scene.updateRollout(6, 0, RolloutState::testing, 0.5);
    scene.listPod(1, 6);
    scene.note("orders earn nothing for reads, and stage 0 is closed to them");
    for (int turn = 0; turn < 4; ++turn) scene.serve("order" + std::to_string(turn), 1);
    for (int turn = 0; turn < 4; ++turn) scene.serve("read" + std::to_string(turn), 0);
    scene.updateRollout(6, 1, RolloutState::testing, 0.5);
    scene.note("stage 1 is open; what the orders earned in stage 0 is theirs, one at most");
    for (int turn = 0; turn < 2; ++turn) scene.serve("later" + std::to_string(turn), 1);
    scene.matches("exposure-by-group");
}

TEST_CASE("slow start: what idle and busy sidecars send a warming pod adds up to a share of a warm one's") {
    PolicyFixture kept;
    for (const int sidecars :
         {1, 40, 120}) {  // 120 requests a second between them, four pods, one of them warming up
        int cold = 0;
        int all = 0;
        int most = 0;
        for (int index = 0; index < sidecars; ++index) {
            PolicyFixture scene(testSettings(), static_cast<std::uint64_t>(index) + 1);
            for (std::uint32_t id = 1; id <= 3; ++id) scene.listPod(id, 5);
            int mine = 0;
            for (int turn = 0; turn < 8 * 120 / sidecars; ++turn) {
                const auto at = turn * 1000 * kMs * sidecars / 120;
                if (at >= 4000 * kMs && scene.pods.size() == 3)
                    scene.listPod(4, 5, 0, Availability::up, 4000 * kMs);
                scene.advanceTo(at);
                scene.request("h" + std::to_string(turn), 0);
                if (scene.requests["h" + std::to_string(turn)].attempts[0].pod->id == 4) ++mine;
                if (at >= 4000 * kMs) ++all;
                scene.finish(scene.requests["h" + std::to_string(turn)], Outcome::succeeded, 60 * kMs);
            }
            cold += mine;
            most = std::max(most, mine);
        }
        kept.trace << sidecars << " sidecars sent the cold pod " << cold << " of " << all
                   << " hits while it was cold, one sidecar at most " << most << '\n';
    }
    kept.matches("slow-start");
}

TEST_CASE("an idle sidecar may use the free attempts at a new build at once, unless it has just started") {
    for (const bool justStarted : {false, true}) {
        PolicyFixture scene;
        scene.listPod(1, 5);
        scene.advanceTo(justStarted ? 100 * kMs : 6000 * kMs);
        scene.listPod(2, 6);
        scene.updateRollout(6, 1, RolloutState::testing, 0.05);
        int sent = 0;
        for (int turn = 0; turn < 12; ++turn) {
            auto& request = scene.request("h" + std::to_string(turn), 0);
            sent += request.attempts[0].build->number == 6;
            scene.finish(request, Outcome::succeeded);
        }
        CHECK(sent == (justStarted ? 0 : 1));  // the free number is 1 here
    }
}

TEST_CASE("each request gets one answer, at once when no attempt is left, and none after a disconnect") {
    PolicyFixture scene;
    scene.listPod(1, 5);
    auto& late = scene.request("late", 0, 100 * kMs);
    scene.advanceTo(100 * kMs);
    scene.finish(late, Outcome::timedOut, 100 * kMs);
    auto& left = scene.request("left", 0);
    scene.policy->onClientDisconnect(left);
    scene.finish(left, Outcome::failed);
    auto& again = scene.request("again", 0);
    scene.finish(again, Outcome::rejected);
    scene.finish(again, Outcome::rejected);
    scene.finish(again, Outcome::rejected);
    CHECK(again.ended);
    scene.matches("answers");
}
