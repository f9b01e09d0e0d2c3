#include "limits/fleet.hpp"

#include <random>
#include <set>

#include "support/policy_fixture.hpp"

using namespace lichenlanding::limits;

TEST_CASE("token bucket: full at first, refilled at its rate up to its burst; probe rates and subset sizes") {
    TokenBucket bucket(2.0, 3);
    for (int token = 0; token < 3; ++token) CHECK(bucket.take(0));
    CHECK(!bucket.take(400 * kMs));  // 0.8 of a token
    CHECK(bucket.take(500 * kMs));
    CHECK(!bucket.take(100 * kMs));  // an earlier time adds nothing
    bucket.setRate(0);
    CHECK(!bucket.take(60000 * kMs));
    CHECK_THROWS_AS(TokenBucket(1, 0.5), std::invalid_argument);
    CHECK(probeRate(150, 300) == doctest::Approx(0.5));
    CHECK(subsetSize(150, 300) == 12);
    CHECK(subsetSize(20, 3) == 20);     // a small fleet uses all pods
    CHECK(subsetSize(150, 3000) == 6);  // the minimum
}

TEST_CASE(
    "subsets don't depend on the order of pods, change only for a pod that leaves, and spread over the "
    "pods") {
    std::mt19937 random(11);
    std::vector<Pod> owned(150);
    std::vector<Pod*> pods;
    for (auto& pod : owned) pod.id = static_cast<std::uint32_t>(random()), pods.push_back(&pod);
    const auto sorted = [](std::vector<Pod*> some) { return std::set<Pod*>(some.begin(), some.end()); };
    std::map<Pod*, int> subsetCounts;
    for (std::uint32_t sidecar = 0; sidecar < 300; ++sidecar) {
        const auto chosen = sorted(subset(pods, sidecar, 12));
        for (auto* pod : chosen) ++subsetCounts[pod];
        auto shuffled = pods;
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        CHECK(sorted(subset(shuffled, sidecar, 12)) == chosen);
        auto after =
            sorted(subset({shuffled.begin(), shuffled.end() - 1}, sidecar, 12));  // the last pod leaves
        for (auto* pod : chosen) after.erase(pod);
        CHECK(after.size() == chosen.count(shuffled.back()));  // replaced by one pod if it was chosen
    }
    const auto [fewest, most] =
        std::minmax_element(subsetCounts.begin(), subsetCounts.end(),
                            [](auto& one, auto& other) { return one.second < other.second; });
    CHECK(fewest->second >= 10);  // about 24 each
    CHECK(most->second <= 42);
}

// Guards against unlimited probes and connections. In simulations each of 300 sidecars sent two probes for
// every request to random ones of all 150 pods, and sent requests to 27 to 36 pods in 10 s; if requests go to
// random pods, every sidecar gets to connect to every pod.
TEST_CASE(
    "a sidecar of a large fleet probes within its share and sends to its subset, or to others if none is "
    "left") {
    auto custom = testSettings();
    custom.sidecarCount = 300;
    custom.index = 17;
    custom.probesAllowed = custom.reportsOnProbes = true;
    PolicyFixture fixture(custom);
    for (std::uint32_t id = 1; id <= 150; ++id) fixture.listPod(id, 5);
    std::vector<Pod*> all;
    for (auto& [id, pod] : fixture.pods) all.push_back(&pod);
    std::set<std::uint32_t> subsetIds;
    std::set<std::uint32_t> used;
    std::set<std::uint32_t> elsewhere;
    for (auto* pod : subset(all, 17, subsetSize(150, 300))) subsetIds.insert(pod->id);
    const auto send = [&](int from, int to, std::set<std::uint32_t>& pods) {  // 20 requests a second
        for (int at = from; at < to; ++at) {
            fixture.advanceTo(at * 50 * kMs);
            auto& request = fixture.request("h" + std::to_string(at), 0);
            pods.insert(request.attempts.at(0).pod->id);
            fixture.finish(request, Outcome::succeeded);
        }
    };
    send(0, 200, used);
    CHECK(std::includes(subsetIds.begin(), subsetIds.end(), used.begin(), used.end()));
    CHECK(used.size() >= subsetIds.size() / 2);
    std::istringstream lines(fixture.trace.str());
    int probes = 0;
    for (std::string line; std::getline(lines, line);)
        if (const auto at = line.find(" probe "); at != std::string::npos)
            probes +=
                subsetIds.count(static_cast<std::uint32_t>(std::stoul(line.substr(at + 7)))) == 1 ? 1 : 1000;
    CHECK(probes >= 4);  // a probe outside the subset counts as a thousand
    CHECK(probes <= static_cast<int>(probeRate(150, 300) * 10) + 2);  // without the limit 400, to 142 pods
    for (auto id : subsetIds) fixture.listPod(id, 5, 0, Availability::draining);
    send(200, 240, elsewhere);
    for (auto id : subsetIds) CHECK(elsewhere.count(id) == 0);
    CHECK(elsewhere.size() > 10);
}

// Guards against synchronized reconnects: 60 sidecars that were disconnected at once retried so often that
// none was connected for 17 s (simulation herd+vast, seed 513562230982). Guards against a long first delay
// too: a sidecar that waited a whole round before its first request for the list sent requests to a draining
// pod (zone+vast, seed 5).
TEST_CASE("reconnects: soon after a start or a loss, within the rate once they are rejected") {
    for (int sidecars : {3, 100, 300}) {
        auto custom = testSettings();
        custom.sidecarCount = sidecars;
        custom.votesPerSecond = 16;
        lichenlanding::Nanos latest = 0;
        int atOnce = 0;
        for (int sidecar = 0; sidecar < sidecars; ++sidecar) {
            ReconnectBackoff backoff(6000 * kMs, static_cast<std::uint32_t>(sidecar), custom);
            latest = std::max({latest, backoff.initialDelay(), backoff.nextDelay()});
            atOnce += backoff.nextDelay() < 1000 * kMs;
        }
        CHECK(latest <= (sidecars < 16 ? 75 * kMs : 1075 * kMs));
        CHECK(atOnce <= 2 * 16);  // random; a small fleet is not spread
    }
}
