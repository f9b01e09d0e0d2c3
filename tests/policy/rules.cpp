#include "support/sidecar_fixture.hpp"

TEST_CASE("a mutating hit goes again only if it never ran") {
    Scene scene;
    scene.pod(1, 5), scene.pod(2, 5);
    scene.end(scene.hit("turned-away", 2), Outcome::unreached);
    scene.note("an error page promises nothing, so it is no bounce");
    scene.end(scene.hit("may-have-run", 2), Outcome::errored);
    scene.matches("mutating");
}

TEST_CASE("a tagged hit goes again only in its zone and window") {
    Scene scene;
    scene.pod(1, 5, 0), scene.pod(2, 5, 0), scene.pod(3, 5, 1);
    for (int turn = 0; turn < 4; ++turn) {
        auto& hit = scene.hit("in-zone-" + std::to_string(turn), 1);
        scene.end(hit, Outcome::errored);
        if (hit.forwards.size() > 1) CHECK(hit.forwards[0].pod->zone == hit.forwards[1].pod->zone);
        if (!hit.ended) scene.end(hit, Outcome::delivered);
    }
    scene.note("past the window neither a forward nor a bounce");
    auto& late = scene.hit("late", 1);
    scene.go(1200 * ms);
    scene.end(late, Outcome::overdue, 1200 * ms);
    scene.matches("tagged");
}

TEST_CASE("nothing goes to a pod that drains or is gone") {
    Scene scene;
    scene.pod(1, 5), scene.pod(2, 5);
    scene.pod(1, 5, 0, Availability::draining);
    for (int turn = 0; turn < 4; ++turn)
        scene.end(scene.hit("h" + std::to_string(turn), 0), Outcome::delivered);
    scene.pod(2, 5, 0, Availability::gone);
    scene.hit("nowhere", 0);
    scene.matches("drains");
}

TEST_CASE("exposure stays within the cap, and a lower cap starts anew") {
    Scene scene;
    scene.pod(1, 6);
    scene.note("build 6 is not announced: cap of the first stage, one half; free 1");
    for (int turn = 0; turn < 6; ++turn) scene.pass("a" + std::to_string(turn), 0);
    scene.news(6, 1, Standing::trial, 1);
    scene.note("cap 1");
    for (int turn = 0; turn < 3; ++turn) scene.pass("b" + std::to_string(turn), 0);
    scene.news(6, 1, Standing::goingBack, 0);
    scene.note("cap 0");
    scene.hit("c", 0);
    scene.matches("exposure");
}

TEST_CASE("exposure counts by path group where it is set so, and closed stages take repeatable hits alone") {
    auto told = settings();
    told.perGroup = true;
    told.closedStages = 1;
    Scene scene(told);
    scene.news(6, 0, Standing::trial, 0.5);
    scene.pod(1, 6);
    scene.note("orders earn nothing for reads, and stage 0 is closed to them");
    for (int turn = 0; turn < 4; ++turn) scene.pass("order" + std::to_string(turn), 1);
    for (int turn = 0; turn < 4; ++turn) scene.pass("read" + std::to_string(turn), 0);
    scene.news(6, 1, Standing::trial, 0.5);
    scene.note("stage 1 is open; what the orders earned in stage 0 is theirs, one at most");
    for (int turn = 0; turn < 2; ++turn) scene.pass("later" + std::to_string(turn), 1);
    scene.matches("exposure-by-group");
}

TEST_CASE("what quiet and busy sidecars send a cold pod adds up to a part of a warm one's") {
    Scene kept;
    for (const int sidecars : {1, 40, 120}) {  // 120 hits a second between them, four pods, one of them cold
        int cold = 0, all = 0, most = 0;
        for (int index = 0; index < sidecars; ++index) {
            Scene scene(settings(), static_cast<std::uint64_t>(index) + 1);
            for (std::uint32_t id = 1; id <= 3; ++id) scene.pod(id, 5);
            int mine = 0;
            for (int turn = 0; turn < 8 * 120 / sidecars; ++turn) {
                const auto at = turn * 1000 * ms * sidecars / 120;
                if (at >= 4000 * ms && scene.pods.size() == 3)
                    scene.pod(4, 5, 0, Availability::up, 4000 * ms);
                scene.go(at);
                scene.hit("h" + std::to_string(turn), 0);
                if (scene.hits["h" + std::to_string(turn)].forwards[0].pod->id == 4) ++mine;
                if (at >= 4000 * ms) ++all;
                scene.end(scene.hits["h" + std::to_string(turn)], Outcome::delivered, 60 * ms);
            }
            cold += mine, most = std::max(most, mine);
        }
        kept.tape << sidecars << " sidecars sent the cold pod " << cold << " of " << all
                  << " hits while it was cold, one sidecar at most " << most << '\n';
    }
    kept.matches("cold");
}

TEST_CASE("a quiet sidecar may use the free forwards at a new build at once, unless it has just started") {
    for (const bool justStarted : {false, true}) {
        Scene scene;
        scene.pod(1, 5);
        scene.go(justStarted ? 100 * ms : 6000 * ms);
        scene.pod(2, 6);
        scene.news(6, 1, Standing::trial, 0.05);
        int sent = 0;
        for (int turn = 0; turn < 12; ++turn) {
            auto& hit = scene.hit("h" + std::to_string(turn), 0);
            sent += hit.forwards[0].build->number == 6;
            scene.end(hit, Outcome::delivered);
        }
        CHECK(sent == (justStarted ? 0 : 1));  // the free number is 1 here
    }
}

TEST_CASE("each hit gets one answer, at once when it is given up, and none after the client has left") {
    Scene scene;
    scene.pod(1, 5);
    auto& late = scene.hit("late", 0, 100 * ms);
    scene.go(100 * ms);
    scene.end(late, Outcome::overdue, 100 * ms);
    auto& left = scene.hit("left", 0);
    scene.balance->hangup(left);
    scene.end(left, Outcome::errored);
    auto& again = scene.hit("again", 0);
    scene.end(again, Outcome::saturated);
    scene.end(again, Outcome::saturated);
    scene.end(again, Outcome::saturated);
    CHECK(again.ended);
    scene.matches("answers");
}
