#include "limits/fleet.hpp"

#include <random>
#include <set>

#include "../helper.hpp"

using namespace lichenlanding::limits;

TEST_CASE("a bucket: full at first, one token a take, refilled at its rate, never above its burst") {
    Bucket bucket(2.0, 3);
    int taken = 0;
    while (bucket.take(0)) ++taken;
    CHECK(taken == 3);
    CHECK(!bucket.take(400 * ms));  // 0.8 of a token
    CHECK(bucket.take(500 * ms));
    CHECK(!bucket.take(100 * ms));  // a time gone by adds nothing
    taken = 0;
    while (bucket.take(60000 * ms)) ++taken;
    CHECK(taken == 3);
    bucket.rate(0);
    CHECK(!bucket.take(120000 * ms));
    CHECK_THROWS_AS(Bucket(-1, 2), std::invalid_argument);
    CHECK_THROWS_AS(Bucket(1, 0.5), std::invalid_argument);
}

TEST_CASE("the fleet's share: probes and subsets scale with pods over sidecars") {
    CHECK(probeRate(150, 300) == doctest::Approx(0.5));
    CHECK(probeRate(0, 3) == 0);
    CHECK(subsetSize(150, 300) == 12);
    CHECK(subsetSize(20, 3) == 20);     // a small tier meets all its pods
    CHECK(subsetSize(150, 3000) == 6);  // never fewer than a few
    CHECK(subsetSize(4, 3000) == 4);
    CHECK_THROWS_AS(probeRate(10, 0), std::invalid_argument);
}

TEST_CASE("subsets: as large as asked, in no order but the ids', stable, and even over the fleet") {
    std::mt19937 chance(11);
    for (int round = 0; round < 40; ++round) {
        const auto count = 1 + chance() % 200;
        std::vector<Pod> owned(count);
        std::set<std::uint32_t> ids;
        while (ids.size() < count) ids.insert(static_cast<std::uint32_t>(chance()));
        auto id = ids.begin();
        for (auto& pod : owned) pod.id = *id++;
        std::vector<Pod*> pods;
        for (auto& pod : owned) pods.push_back(&pod);
        const auto sidecar = static_cast<std::uint32_t>(chance() % 300);
        const auto size = 1 + chance() % 20;
        const auto chosen = subset(pods, sidecar, size);
        REQUIRE(chosen.size() == std::min<std::size_t>(size, count));
        std::shuffle(pods.begin(), pods.end(), chance);
        auto again = subset(pods, sidecar, size);
        const auto byId = [](auto* one, auto* other) { return one->id < other->id; };
        auto sorted = chosen;
        std::sort(sorted.begin(), sorted.end(), byId), std::sort(again.begin(), again.end(), byId);
        CHECK(again == sorted);
        // A pod outside the subset that leaves moves nothing; one inside is replaced by one other.
        for (std::size_t at = 0; at < pods.size(); ++at) {
            auto fewer = pods;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at));
            auto after = subset(fewer, sidecar, size);
            std::sort(after.begin(), after.end(), byId);
            std::vector<Pod*> kept;
            std::set_intersection(after.begin(), after.end(), sorted.begin(), sorted.end(),
                                  std::back_inserter(kept), byId);
            const bool inside = std::find(sorted.begin(), sorted.end(), pods[at]) != sorted.end();
            CHECK(kept.size() + (inside ? 1 : 0) == sorted.size());
        }
    }
    // 300 sidecars of 12 pods each over 150 pods: each pod in about 24 subsets, none far off.
    std::vector<Pod> owned(150);
    std::vector<Pod*> pods;
    for (std::uint32_t at = 0; at < owned.size(); ++at)
        owned[at].id = 0x5be2a07c + 977 * at, pods.push_back(&owned[at]);
    std::map<std::uint32_t, int> held;
    for (std::uint32_t sidecar = 0; sidecar < 300; ++sidecar)
        for (auto* pod : subset(pods, sidecar, subsetSize(150, 300))) ++held[pod->id];
    int fewest = 1000, most = 0;
    for (auto* pod : pods) fewest = std::min(fewest, held[pod->id]), most = std::max(most, held[pod->id]);
    CHECK(fewest >= 10);
    CHECK(most <= 42);
}

// Seen on the fleet's days: each of 300 sidecars sent two probes for every hit, 9 to 11 a second, to pods
// drawn from all 150; the fleet's price took back most of what was served.
TEST_CASE("a sidecar of a large fleet probes within its share, and only the pods it prefers") {
    auto told = settings();
    told.balancers = 300, told.index = 17;
    told.mayProbe = told.probesTell = true;
    Scene scene(told);
    scene.quiet = true;
    for (std::uint32_t id = 1; id <= 150; ++id) scene.pod(id, 5);
    int probes = 0;
    std::set<std::string> probed;
    scene.quiet = false;
    for (int at = 0; at < 200; ++at) {  // 20 hits a second for 10 s
        scene.go(at * 50 * ms);
        scene.pass("h" + std::to_string(at), 0);
    }
    std::istringstream lines(scene.tape.str());
    for (std::string line; std::getline(lines, line);)
        if (const auto at = line.find(" probe "); at != std::string::npos)
            ++probes, probed.insert(line.substr(at + 7));
    CHECK(probes >= 4);
    CHECK(probes <= static_cast<int>(probeRate(150, 300) * 10) + 2);
    CHECK(probed.size() <= subsetSize(150, 300));
}

// Seen on the fleet's days: a sidecar met 27 to 36 pods in 10 s and held about 30 connections, each paid for
// by pods that hold few; hits drawn from all pods make every sidecar a caller of every pod.
TEST_CASE("a sidecar of a large fleet sends to the pods it prefers, and to others when those are gone") {
    auto told = settings();
    told.balancers = 300, told.index = 17;
    Scene scene(told);
    scene.quiet = true;
    for (std::uint32_t id = 1; id <= 150; ++id) scene.pod(id, 5);
    std::vector<Pod*> all;
    for (auto& [id, pod] : scene.pods) all.push_back(&pod);
    const auto near = subset(all, 17, subsetSize(150, 300));
    std::set<std::uint32_t> met;
    for (int at = 0; at < 200; ++at) {
        scene.go(at * 50 * ms);
        auto& hit = scene.hit("h" + std::to_string(at), 0);
        REQUIRE(hit.forwards.size() == 1);
        met.insert(hit.forwards[0].pod->id);
        scene.end(hit, Outcome::delivered);
    }
    CHECK(met.size() <= near.size());
    CHECK(met.size() >= near.size() / 2);
    for (auto* pod : near) scene.pod(pod->id, 5, 0, Availability::draining);
    met.clear();
    for (int at = 200; at < 240; ++at) {
        scene.go(at * 50 * ms);
        auto& hit = scene.hit("h" + std::to_string(at), 0);
        REQUIRE(hit.forwards.size() == 1);
        met.insert(hit.forwards[0].pod->id);
        scene.end(hit, Outcome::delivered);
    }
    for (auto* pod : near) CHECK(met.count(pod->id) == 0);
    CHECK(met.size() > 10);
}
