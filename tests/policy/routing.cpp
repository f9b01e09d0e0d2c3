#include "support/policy_fixture.hpp"

TEST_CASE("retries keep away from the build on trial") {
    PolicyFixture scene;
    scene.updateRollout(6, 1, RolloutState::testing, 1);
    scene.listPod(1, 5);
    scene.listPod(2, 6);
    scene.listPod(3, 6);
    scene.listPod(4, 6);
    for (int turn = 0; turn < 12; ++turn) {
        auto& request = scene.request("h" + std::to_string(turn), 0);
        scene.finish(request, Outcome::rejected);
        if (request.attempts.size() > 1) CHECK(request.attempts[1].build->number == 5);
        if (!request.ended) scene.finish(request, Outcome::succeeded);
    }
}

TEST_CASE("a pod that is silent while attempts are in flight is ejected until it responds") {
    PolicyFixture scene;
    scene.listPod(1, 5);
    scene.listPod(2, 5);
    auto& stuck = scene.request("stuck", 0);
    auto* silent = stuck.attempts[0].pod;
    scene.advanceTo(400 * kMs);
    for (int turn = 0; turn < 8; ++turn) {
        auto& request = scene.request("h" + std::to_string(turn), 0);
        CHECK(request.attempts[0].pod != silent);
        scene.finish(request, Outcome::succeeded);
    }
    scene.finish(stuck, Outcome::succeeded, 400 * kMs);
    int back = 0;
    for (int turn = 0; turn < 20; ++turn) {
        auto& request = scene.request("b" + std::to_string(turn), 0);
        back += request.attempts[0].pod == silent;
        scene.finish(request, Outcome::succeeded);
    }
    CHECK(back > 2);
}

TEST_CASE("a failing pod is ejected until its failures decay, and then gets little") {
    PolicyFixture scene;
    scene.notesOnly = true;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.listPod(id, 5);
    std::array<int, 6> failed{};
    for (int turn = 0; turn < 1200; ++turn) {
        scene.advanceTo(turn * 5 * kMs);
        auto& request = scene.request("h" + std::to_string(turn), 0);
        const bool bad = !request.ended && request.attempts.back().pod->id == 2;
        if (bad) ++failed[static_cast<std::size_t>(turn / 200)];
        if (!request.ended) scene.finish(request, bad ? Outcome::unreachable : Outcome::succeeded);
        if (!request.ended) scene.finish(request, Outcome::succeeded);
    }
    for (auto some : failed) scene.trace << some << " of 200 hits in a second met the failing pod\n";
    scene.matches("failing");
}

TEST_CASE("the voters' view of a pod keeps requests away, until it is old") {
    PolicyFixture scene;
    scene.notesOnly = true;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.listPod(id, 5);
    const auto met = [&](const std::string& run) {
        int with = 0;
        for (int turn = 0; turn < 100; ++turn) {
            auto& request = scene.request(run + std::to_string(turn), 0);
            with += request.attempts[0].pod->id == 2;
            scene.finish(request, Outcome::succeeded, 100 * kMs);
        }
        scene.trace << with << " of 100 hits " << run << '\n';
    };
    Message view{Message::Kind::view, 9, 1, 4, 0, 0, {}, {{2, 1, 6 * 64}, {77, 1, 640}}};
    scene.policy->onPeerMessage(1, encodePods(view, view.pods, view.seq)[0]);
    met("after a word on another build's day, which changes nothing");
    scene.advanceTo(20000 * kMs);
    view.build = 5;
    scene.policy->onPeerMessage(1, encodePods(view, view.pods, view.seq)[0]);
    met("after a voter called the pod six times slower than the rest");
    scene.advanceTo(40000 * kMs);
    met("once the word is old");
    scene.matches("pooled-pod-slowness");
}

TEST_CASE("voters send all peers which pods are slower than the rest, from pooled outcomes") {
    auto custom = testSettings();
    custom.sidecarCount = 3;  // all of them voters
    PolicyFixture scene(custom);
    for (std::uint32_t id = 1; id <= 4; ++id) scene.listPod(id, 5);
    Message seen{
        Message::Kind::pods, 9, 1, 5, 0, 0, {}, {{1, 20, 200}, {2, 20, 2000}, {3, 20, 220}, {4, 2, 90}}};
    const auto bytes = encodePods(seen, seen.pods, seen.seq)[0];
    for (int times = 0; times < 3; ++times) scene.policy->onPeerMessage(1, bytes);  // twice in vain
    scene.policy->onPeerMessage(1, bytes.substr(0, bytes.size() - 1));
    scene.advanceTo(2500 * kMs);
    for (const auto& text : scene.sentToPeer1) {
        const auto message = decode(text);
        if (!message || message->kind != Message::Kind::view) continue;
        for (const auto& pod : message->pods)
            scene.trace << "pod " << pod.id << " at " << pod.slowness << "/64 of the mean\n";
    }
    scene.matches("pooled-pod-view");
}

TEST_CASE("a backlog does not feed itself: requests in flight stay within the pace of successes") {
    PolicyFixture scene;
    for (std::uint32_t id = 1; id <= 8; ++id) scene.listPod(id, 5);
    for (int turn = 0; turn < 300; ++turn) {
        scene.advanceTo(turn * 10 * kMs);
        scene.finish(scene.request("calm" + std::to_string(turn), 0), Outcome::succeeded, 100 * kMs);
    }
    int kept = 0;
    for (int turn = 0; turn < 300; ++turn) kept += !scene.request("burst" + std::to_string(turn), 0).ended;
    scene.note("100 answers a second, target 1000 ms, so about 50 hits may be open");
    CHECK(kept > 35);
    CHECK(kept < 70);
}

TEST_CASE("a pod that rejects looks idle, so it is left alone for a backoff") {
    PolicyFixture scene;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.listPod(id, 5);
    int full = 0;
    int turn = 0;
    for (; turn < 9; ++turn) {  // requests in flight fill the other pods, and pod 2 rejects all it gets
        auto& request = scene.request("h" + std::to_string(turn), 0);
        if (request.ended || request.attempts.back().pod->id != 2) continue;
        ++full;
        scene.finish(request, Outcome::rejected);
        CHECK(request.attempts.back().pod->id != 2);
    }
    CHECK(full == 1);
}

TEST_CASE("before any pace is known, two requests in flight for each pod and two more are admitted") {
    PolicyFixture scene;
    for (std::uint32_t id = 1; id <= 4; ++id) scene.listPod(id, 5);
    for (int turn = 0; turn < 11; ++turn) scene.request("first" + std::to_string(turn), 0);
    scene.matches("start");
}

// Ids come back with other builds.
TEST_CASE("statistics of a pod are reset when it comes back with another build") {
    PolicyFixture scene;
    scene.listPod(1, 5);
    for (int turn = 0; turn < 5; ++turn) scene.serve("h" + std::to_string(turn), 0);
    scene.listPod(1, 5);
    CHECK(scene.pods[1].recentStats.attempts == 5);
    scene.listPod(1, 4);
    CHECK(scene.pods[1].recentStats.attempts == 0);
}
