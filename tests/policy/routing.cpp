#include "support/policy_fixture.hpp"

TEST_CASE("retries are not sent to the build on trial") {
    PolicyFixture fixture;
    fixture.updateRollout(6, 1, RolloutState::testing, 1);
    fixture.listPod(1, 5);
    fixture.listPod(2, 6);
    fixture.listPod(3, 6);
    fixture.listPod(4, 6);
    for (int turn = 0; turn < 12; ++turn) {
        auto& request = fixture.request("h" + std::to_string(turn), 0);
        fixture.finish(request, Outcome::rejected);
        if (request.attempts.size() > 1) CHECK(request.attempts[1].build->number == 5);
        if (!request.ended) fixture.finish(request, Outcome::succeeded);
    }
}

TEST_CASE("a pod that is silent while attempts are in flight is ejected until it responds") {
    PolicyFixture fixture;
    fixture.listPod(1, 5);
    fixture.listPod(2, 5);
    auto& stalled = fixture.request("stuck", 0);
    auto* silent = stalled.attempts[0].pod;
    fixture.advanceTo(400 * kMs);
    for (int turn = 0; turn < 8; ++turn) {
        auto& request = fixture.request("h" + std::to_string(turn), 0);
        CHECK(request.attempts[0].pod != silent);
        fixture.finish(request, Outcome::succeeded);
    }
    fixture.finish(stalled, Outcome::succeeded, 400 * kMs);
    int back = 0;
    for (int turn = 0; turn < 20; ++turn) {
        auto& request = fixture.request("b" + std::to_string(turn), 0);
        back += request.attempts[0].pod == silent;
        fixture.finish(request, Outcome::succeeded);
    }
    CHECK(back > 2);
}

TEST_CASE("a failing pod is ejected until its failures decay, and then gets few requests") {
    PolicyFixture fixture;
    fixture.notesOnly = true;
    for (std::uint32_t id = 1; id <= 4; ++id) fixture.listPod(id, 5);
    std::array<int, 6> failed{};
    for (int turn = 0; turn < 1200; ++turn) {
        fixture.advanceTo(turn * 5 * kMs);
        auto& request = fixture.request("h" + std::to_string(turn), 0);
        const bool bad = !request.ended && request.attempts.back().pod->id == 2;
        if (bad) ++failed[static_cast<std::size_t>(turn / 200)];
        if (!request.ended) fixture.finish(request, bad ? Outcome::unreachable : Outcome::succeeded);
        if (!request.ended) fixture.finish(request, Outcome::succeeded);
    }
    for (auto count : failed)
        fixture.trace << count << " of 200 requests in a second were sent to the failing pod\n";
    fixture.matches("failing");
}

TEST_CASE("the voters' view of a slow pod reduces its requests until the view is outdated") {
    PolicyFixture fixture;
    fixture.notesOnly = true;
    for (std::uint32_t id = 1; id <= 4; ++id) fixture.listPod(id, 5);
    const auto sendRequests = [&](const std::string& run) {
        int sentToPod2 = 0;
        for (int turn = 0; turn < 100; ++turn) {
            auto& request = fixture.request(run + std::to_string(turn), 0);
            sentToPod2 += request.attempts[0].pod->id == 2;
            fixture.finish(request, Outcome::succeeded, 100 * kMs);
        }
        fixture.trace << sentToPod2 << " of 100 requests " << run << '\n';
    };
    Message view{Message::Kind::view, 9, 1, 4, 0, 0, {}, {{2, 1, 6 * 64}, {77, 1, 640}}};
    fixture.policy->onPeerMessage(1, encodePods(view, view.pods, view.seq)[0]);
    sendRequests("after a view for another build, which has no effect");
    fixture.advanceTo(20000 * kMs);
    view.build = 5;
    fixture.policy->onPeerMessage(1, encodePods(view, view.pods, view.seq)[0]);
    sendRequests("after a voter reported the pod as six times slower than the mean");
    fixture.advanceTo(40000 * kMs);
    sendRequests("once the view is outdated");
    fixture.matches("pooled-pod-slowness");
}

TEST_CASE("voters send all peers which pods are slower than the rest, from pooled outcomes") {
    auto custom = testSettings();
    custom.sidecarCount = 3;  // all of them are voters
    PolicyFixture fixture(custom);
    for (std::uint32_t id = 1; id <= 4; ++id) fixture.listPod(id, 5);
    Message seen{
        Message::Kind::pods, 9, 1, 5, 0, 0, {}, {{1, 20, 200}, {2, 20, 2000}, {3, 20, 220}, {4, 2, 90}}};
    const auto bytes = encodePods(seen, seen.pods, seen.seq)[0];
    for (int times = 0; times < 3; ++times) fixture.policy->onPeerMessage(1, bytes);  // repeats are ignored
    fixture.policy->onPeerMessage(1, bytes.substr(0, bytes.size() - 1));
    fixture.advanceTo(2500 * kMs);
    for (const auto& text : fixture.sentToPeer1) {
        const auto message = decode(text);
        if (!message || message->kind != Message::Kind::view) continue;
        for (const auto& pod : message->pods)
            fixture.trace << "pod " << pod.id << " at " << pod.slowness << "/64 of the mean\n";
    }
    fixture.matches("pooled-pod-view");
}

TEST_CASE("requests in flight are limited by the goodput, so a backlog does not grow") {
    PolicyFixture fixture;
    for (std::uint32_t id = 1; id <= 8; ++id) fixture.listPod(id, 5);
    for (int turn = 0; turn < 300; ++turn) {
        fixture.advanceTo(turn * 10 * kMs);
        fixture.finish(fixture.request("calm" + std::to_string(turn), 0), Outcome::succeeded, 100 * kMs);
    }
    int admitted = 0;
    for (int turn = 0; turn < 300; ++turn)
        admitted += !fixture.request("burst" + std::to_string(turn), 0).ended;
    fixture.note("100 responses a second, target 1000 ms, so about 50 requests may be in flight");
    CHECK(admitted > 35);
    CHECK(admitted < 70);
}

TEST_CASE("a pod that rejects gets no requests during a backoff, though it looks idle") {
    PolicyFixture fixture;
    for (std::uint32_t id = 1; id <= 4; ++id) fixture.listPod(id, 5);
    int rejections = 0;
    int turn = 0;
    for (; turn < 9; ++turn) {  // requests in flight fill the other pods, and pod 2 rejects all it gets
        auto& request = fixture.request("h" + std::to_string(turn), 0);
        if (request.ended || request.attempts.back().pod->id != 2) continue;
        ++rejections;
        fixture.finish(request, Outcome::rejected);
        CHECK(request.attempts.back().pod->id != 2);
    }
    CHECK(rejections == 1);
}

TEST_CASE("before any goodput is measured, two requests in flight for each pod and two more are admitted") {
    PolicyFixture fixture;
    for (std::uint32_t id = 1; id <= 4; ++id) fixture.listPod(id, 5);
    for (int turn = 0; turn < 11; ++turn) fixture.request("first" + std::to_string(turn), 0);
    fixture.matches("start");
}

// Pod ids are reused by other builds.
TEST_CASE("statistics of a pod are reset when its id is reused by another build") {
    PolicyFixture fixture;
    fixture.listPod(1, 5);
    for (int turn = 0; turn < 5; ++turn) fixture.serve("h" + std::to_string(turn), 0);
    fixture.listPod(1, 5);
    CHECK(fixture.pods[1].recentStats.attempts == 5);
    fixture.listPod(1, 4);
    CHECK(fixture.pods[1].recentStats.attempts == 0);
}
