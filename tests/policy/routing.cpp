#include "support/sidecar_fixture.hpp"

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

TEST_CASE("a pod that fails is left out until that is forgotten, and then gets little") {
    Scene scene;
    scene.quiet = true;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.pod(id, 5);
    std::array<int, 6> failed{};
    for (int turn = 0; turn < 1200; ++turn) {
        scene.go(turn * 5 * ms);
        auto& hit = scene.hit("h" + std::to_string(turn), 0);
        const bool bad = !hit.ended && hit.forwards.back().pod->id == 2;
        if (bad) ++failed[static_cast<std::size_t>(turn / 200)];
        if (!hit.ended) scene.end(hit, bad ? Outcome::unreached : Outcome::delivered);
        if (!hit.ended) scene.end(hit, Outcome::delivered);
    }
    for (auto some : failed) scene.tape << some << " of 200 hits in a second met the failing pod\n";
    scene.matches("failing");
}

TEST_CASE("the voters' word on a pod keeps a quiet sidecar's hits away, until it is old") {
    Scene scene;
    scene.quiet = true;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.pod(id, 5);
    const auto met = [&](const std::string& run) {
        int with = 0;
        for (int turn = 0; turn < 100; ++turn) {
            auto& hit = scene.hit(run + std::to_string(turn), 0);
            with += hit.forwards[0].pod->id == 2;
            scene.end(hit, Outcome::delivered, 100 * ms);
        }
        scene.tape << with << " of 100 hits " << run << '\n';
    };
    Message view{Message::Kind::view, 9, 1, 4, 0, 0, {}, {{2, 1, 6 * 64}, {77, 1, 640}}};
    scene.balance->heard(1, encodePods(view, view.pods, view.seq)[0]);
    met("after a word on another build's day, which changes nothing");
    scene.go(20000 * ms);
    view.build = 5;
    scene.balance->heard(1, encodePods(view, view.pods, view.seq)[0]);
    met("after a voter called the pod six times slower than the rest");
    scene.go(40000 * ms);
    met("once the word is old");
    scene.matches("pooled-pods");
}

TEST_CASE("voters tell all which pods are slower than the rest, from what sidecars saw of them") {
    auto told = settings();
    told.balancers = 3;  // all of them voters
    Scene scene(told);
    for (std::uint32_t id = 1; id <= 4; ++id) scene.pod(id, 5);
    Message seen{
        Message::Kind::pods, 9, 1, 5, 0, 0, {}, {{1, 20, 200}, {2, 20, 2000}, {3, 20, 220}, {4, 2, 90}}};
    const auto bytes = encodePods(seen, seen.pods, seen.seq)[0];
    for (int times = 0; times < 3; ++times) scene.balance->heard(1, bytes);  // twice in vain
    scene.balance->heard(1, bytes.substr(0, bytes.size() - 1));
    scene.go(2500 * ms);
    for (const auto& text : scene.sent) {
        const auto message = decode(text);
        if (!message || message->kind != Message::Kind::view) continue;
        for (const auto& pod : message->pods)
            scene.tape << "pod " << pod.id << " at " << pod.slowness << "/64 of the mean\n";
    }
    scene.matches("view");
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
        if (hit.ended || hit.forwards.back().pod->id != 2) continue;
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

// Ids come back with other builds.
TEST_CASE("nothing is known of a pod that comes back with another build") {
    Scene scene;
    scene.pod(1, 5);
    for (int turn = 0; turn < 5; ++turn) scene.pass("h" + std::to_string(turn), 0);
    scene.pod(1, 5);
    CHECK(scene.pods[1].lately.tries == 5);
    scene.pod(1, 4);
    CHECK(scene.pods[1].lately.tries == 0);
}
