#include "helper.hpp"

TEST_CASE("further forwards keep away from the build on trial") {
    Scene scene;
    scene.news(6, 1, Standing::trial, 1);
    scene.pod(1, 5), scene.pod(2, 6), scene.pod(3, 6), scene.pod(4, 6);
    for (int turn = 0; turn < 12; ++turn) {
        auto& hit = scene.hit("h" + std::to_string(turn), 0);
        scene.end(hit, Outcome::saturated);
        if (hit.forwards.size() > 1) CHECK(hit.forwards[1].build->number == 5);
        if (!hit.ended) scene.end(hit, Outcome::delivered);
    }
}

TEST_CASE("a pod that owes answers and is silent is left out until it speaks") {
    Scene scene;
    scene.pod(1, 5), scene.pod(2, 5);
    auto& stuck = scene.hit("stuck", 0);
    auto* silent = stuck.forwards[0].pod;
    scene.go(400 * ms);
    for (int turn = 0; turn < 8; ++turn) {
        auto& hit = scene.hit("h" + std::to_string(turn), 0);
        CHECK(hit.forwards[0].pod != silent);
        scene.end(hit, Outcome::delivered);
    }
    scene.end(stuck, Outcome::delivered, 400 * ms);
    int back = 0;
    for (int turn = 0; turn < 20; ++turn) {
        auto& hit = scene.hit("b" + std::to_string(turn), 0);
        back += hit.forwards[0].pod == silent;
        scene.end(hit, Outcome::delivered);
    }
    CHECK(back > 2);
}

TEST_CASE("a pod that fails is benched, then tried with one repeatable hit") {
    Scene scene;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.pod(id, 5);
    int failed = 0;
    for (int turn = 0; turn < 60; ++turn) {
        scene.go(turn * 5 * ms);
        auto& hit = scene.hit("h" + std::to_string(turn), 0);
        const bool bad = hit.forwards.back().pod->id == 2;
        failed += bad;
        scene.end(hit, bad ? Outcome::unreached : Outcome::delivered);
        if (!hit.ended) scene.end(hit, Outcome::delivered);
    }
    CHECK(failed == 3);
    scene.note("after the bench, one repeatable hit at a time");
    scene.go(1500 * ms);
    int trying = 0;
    for (int turn = 0; turn < 9; ++turn)
        trying += scene.hit("o" + std::to_string(turn), 0).forwards[0].pod->id == 2;
    CHECK(trying == 1);
}

TEST_CASE("a jam does not feed itself: open hits stay within the pace of answers in time") {
    Scene scene;
    for (std::uint32_t id = 1; id <= 8; ++id) scene.pod(id, 5);
    for (int turn = 0; turn < 300; ++turn) {
        scene.go(turn * 10 * ms);
        scene.end(scene.hit("calm" + std::to_string(turn), 0), Outcome::delivered, 100 * ms);
    }
    int kept = 0;
    for (int turn = 0; turn < 300; ++turn) kept += !scene.hit("burst" + std::to_string(turn), 0).ended;
    scene.note("100 answers a second, target 1000 ms, so about 50 hits may be open");
    CHECK(kept > 35);
    CHECK(kept < 70);
}

TEST_CASE("a full pod answers at once and looks idle, so it rests for a moment") {
    Scene scene;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.pod(id, 5);
    int full = 0, turn = 0;
    for (; turn < 9; ++turn) {  // open hits fill the other pods, and pod 2 turns away all it gets
        auto& hit = scene.hit("h" + std::to_string(turn), 0);
        if (hit.forwards.back().pod->id != 2) continue;
        ++full;
        scene.end(hit, Outcome::saturated);
        CHECK(hit.forwards.back().pod->id != 2);
    }
    CHECK(full == 1);
}

TEST_CASE("before any pace is known, two open hits for each pod and two more are taken") {
    Scene scene;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.pod(id, 5);
    for (int turn = 0; turn < 11; ++turn) scene.hit("first" + std::to_string(turn), 0);
    scene.matches("start");
}
