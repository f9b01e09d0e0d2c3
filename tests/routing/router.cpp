// Routing without sockets, in virtual time and with a seeded random generator: host selection, retries and
// the retry budget, canary shares, local replies.
#include "routing/router.hpp"

#include <set>

#include "support/transcript.hpp"

using namespace lichenlanding;
using routing::Router, routing::AttemptEvent, routing::RoutedRequest;

namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;

std::shared_ptr<const config::Configuration> configurationOf(const std::string& version,
                                                             const std::string& service = "s",
                                                             const std::string& maxConnections = "100") {
    std::string text = R"({"config_version":")" + version + R"(","resources":[)";
    for (const auto* kind : {"idempotent", "non_idempotent"})
        text += std::string(R"({"resource_type":"route_table","metadata":{"name":")") + kind +
                R"("},"spec":{"hostname":"h","path_prefix":"/)" + kind + R"(/","route_class":")" + kind +
                R"(","timeout":"2s","target_latency":"600ms","service_name":")" + service +
                R"(","max_attempts":3}},)";
    text += R"({"resource_type":"service_table","metadata":{"name":"s"},"spec":{"max_connections":)" +
            maxConnections + R"(}},{"resource_type":"service_table","metadata":{"name":"t"},"spec":{}}]})";
    return std::make_shared<config::Configuration>(config::Configuration::parse(text));
}

struct RouterFixture {
    explicit RouterFixture(std::size_t pods = 4, double slack = 20) {
        boot.zone = "z", boot.retrySlack = slack, boot.retryBudgetRatio = 0.2, boot.exposureShare = 0.1;
        router = std::make_unique<Router>(boot, 7);
        router->setConfiguration(configurationOf("00000001"));
        router->setProxyCount(1, now - 10 * kSecond);
        for (std::size_t at = 0; at < pods; ++at) list("p" + std::to_string(at));
    }
    void list(const std::string& id, const std::string& version = "v1", bool draining = false,
              const std::string& zone = "z") {
        router->applyEndpointEvent({0, {id, "s", "a", zone, version, 3, draining, 0}, false}, now);
    }
    RoutedRequest begin(const char* kind) {
        RoutedRequest request;
        CPPUNIT_ASSERT(router->startRequest(request, "h", std::string("/") + kind + "/1", now, 2 * kSecond));
        return request;
    }
    // Starts the next attempt; returns the pod's id, or "-" without an attempt.
    std::string send(RoutedRequest& request) {
        last = router->nextAttempt(request, now);
        return last ? last->host()->endpoint.id : "-";
    }
    void end(RoutedRequest& request, AttemptEvent end, int status = 200, Nanos took = 100 * kMillisecond) {
        endAttempt(request, *last, end, status, took);
    }
    // Ends an attempt, which was written first unless it ends as unreached.
    void endAttempt(RoutedRequest& request, routing::Attempt& attempt, AttemptEvent end, int status = 200,
                    Nanos took = 100 * kMillisecond) {
        if (end != AttemptEvent::unreached) attempt.apply(AttemptEvent::written);
        router->onAttemptEnded(request, attempt, end, status, took, now);
    }
    void rollout(const std::string& state, int stage = 0, std::int64_t number = 1,
                 const std::string& target = "v2") {
        messages::Rollout newRollout;
        newRollout.service = "s", newRollout.target = target, newRollout.state = state,
        newRollout.stage = stage, newRollout.number = number;
        router->setRollouts({newRollout}, now);
    }
    // Sends requests that are answered at once. Returns the attempts of each version; "-": none was made.
    std::string attemptsByVersion(int requests) {
        std::map<std::string, int> counts;
        for (int sent = 0; sent < requests; ++sent) {
            auto request = begin("idempotent");
            const auto pod = send(request);
            ++counts[pod == "-" ? pod : last->host()->endpoint.version];
            if (pod != "-") end(request, AttemptEvent::answered);
        }
        std::string text;
        for (const auto& [version, count] : counts)
            text += (text.empty() ? "" : " ") + version + " " + std::to_string(count);
        return text;
    }
    config::BootstrapSettings boot;
    std::unique_ptr<Router> router;
    std::shared_ptr<routing::Attempt> last;
    Nanos now = 100 * kSecond;
};

const char* const kIdempotent = "idempotent";
const char* const kNonIdempotent = "non_idempotent";

}  // namespace

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(retriesByEndOfTheFirstAttempt);
    CPPUNIT_TEST(unreachedHostsDoNotCountAsAttempts);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(canaryGetsItsShare);
    CPPUNIT_TEST(grantStartsTheCanaryWithLittleTraffic);
    CPPUNIT_TEST(rolloutsOfOneServiceHaveSeparateShares);
    CPPUNIT_TEST(repeatedRolloutStartsAfresh);
    CPPUNIT_TEST(nextGenerationStartsAfresh);
    CPPUNIT_TEST(versionsByRolloutState);
    CPPUNIT_TEST(versionInServiceServesUnderItsOwnRollout);
    CPPUNIT_TEST(onlyListedVersionServesUnderItsOwnRollout);
    CPPUNIT_TEST(drainingHostsGetNothing);
    CPPUNIT_TEST(olderConfigurationIsIgnored);
    CPPUNIT_TEST(unresponsiveHostsGetNothing);
    CPPUNIT_TEST(hostWithNothingInFlightIsNotUnresponsive);
    CPPUNIT_TEST(hedgesNotSentDoNotCountAsTraffic);
    CPPUNIT_TEST(largeFleetStaysWithinItsSubset);
    CPPUNIT_TEST(cancelledAttemptsBackOffFromNoHost);
    CPPUNIT_TEST(cancelledAttemptsCountWithTheirTime);
    CPPUNIT_TEST(overloadedZoneSendsTrafficElsewhere);
    CPPUNIT_TEST(hugeConnectionLimitIsNoSmallOne);
    CPPUNIT_TEST_SUITE_END();

  public:
    // For every end of a first attempt, idempotent or not: whether it is hedged or retried, and the local
    // reply.
    void retriesByEndOfTheFirstAttempt() {
        std::string transcript;
        for (const auto* kind : {kIdempotent, kNonIdempotent})
            for (const auto& [name, end] : std::vector<std::pair<const char*, AttemptEvent>>{
                     {"rejected by host", AttemptEvent::rejectedByHost},
                     {"misdirected", AttemptEvent::misdirected},
                     {"unreached", AttemptEvent::unreached},
                     {"connection lost", AttemptEvent::connectionLost},
                     {"malformed", AttemptEvent::malformed},
                     {"timed out", AttemptEvent::timedOut}}) {
                RouterFixture fixture;
                auto request = fixture.begin(kind);
                const auto first = fixture.send(request);
                const auto hedged =
                    fixture.router->nextAttempt(request, fixture.now) != nullptr;  // while it is in flight
                if (hedged) request.attempts.pop_back();
                fixture.end(request, end);
                const auto second = fixture.send(request);
                CPPUNIT_ASSERT(second != first);
                if (second != "-") fixture.end(request, end);
                const auto reply = fixture.router->localReply(request);
                transcript += std::string(kind) + " " + name + ": hedged " + (hedged ? "yes" : "no") +
                              ", retried " + (second == "-" ? "no" : "yes") + ", reply " +
                              std::to_string(reply.status()) +
                              (reply.retryAfter > 0 ? " with Retry-After" : "") + "\n";
            }
        approve("router-retries", transcript);
    }

    // max_attempts counts the pods that the request was sent to; up to two unreachable ones are tried beyond
    // it.
    void unreachedHostsDoNotCountAsAttempts() {
        for (const auto* kind : {kIdempotent, kNonIdempotent}) {
            RouterFixture fixture(8);
            auto request = fixture.begin(kind);  // to at most three pods
            std::string ends;
            for (const auto end :
                 {AttemptEvent::rejectedByHost, AttemptEvent::unreached, AttemptEvent::unreached,
                  AttemptEvent::rejectedByHost, AttemptEvent::rejectedByHost, AttemptEvent::rejectedByHost}) {
                if (fixture.send(request) == "-") break;
                fixture.end(request, end);
                ends += routing::name(end) + std::string(", ");
            }
            CPPUNIT_ASSERT_EQUAL(
                std::string("rejected by host, unreached, unreached, rejected by host, rejected by host, "),
                ends);
            auto unreachable = fixture.begin(kind);
            int attempts = 0;
            for (; fixture.send(unreachable) != "-"; ++attempts)
                fixture.end(unreachable, AttemptEvent::unreached);
            CPPUNIT_ASSERT_EQUAL(5, attempts);
            CPPUNIT_ASSERT_EQUAL(503, fixture.router->localReply(unreachable).status());
        }
    }

    // Guarantee BUDGET: retries that may have arrived stay within this proxy's share of the fleet's budget in
    // each window.
    void retriesStayWithinTheBudget() {
        RouterFixture fixture(8, 24);
        fixture.router->setProxyCount(4, fixture.now);
        int retries = 0;
        for (int second = 0; second < 30; ++second) {
            const bool rejecting = second >= 10 && second < 20;
            const int before = retries;
            for (int at = 0; at < 20; ++at) {
                fixture.now += kSecond / 20;
                auto request = fixture.begin(kIdempotent);
                for (auto sent = fixture.send(request); sent != "-"; sent = fixture.send(request)) {
                    if (routing::possibleArrivals(request.attempts) > 1) ++retries;
                    fixture.end(request, rejecting ? AttemptEvent::rejectedByHost : AttemptEvent::answered);
                    if (!rejecting) break;
                }
            }
            if (!rejecting) CPPUNIT_ASSERT_EQUAL(before, retries);
        }
        // This proxy's share in ten seconds: 0.2 of 200 requests and a quarter of the slack of 24, thus 46.
        CPPUNIT_ASSERT(retries > 20);
        CPPUNIT_ASSERT(retries <= 46);
    }

    // Guarantee EXPOSURE: a canary receives at most its share of all requests, and none after too many
    // failures at this proxy.
    void canaryGetsItsShare() {
        RouterFixture fixture;
        for (int at = 0; at < 4; ++at) fixture.list("n" + std::to_string(at), "v2");
        fixture.rollout("in_progress");
        fixture.now += 3 * kSecond;
        int canaryRequests = 0;
        for (int at = 0; at < 1000; ++at) {
            fixture.now += 10 * kMillisecond;
            auto request = fixture.begin(kIdempotent);
            canaryRequests += fixture.send(request)[0] == 'n';
            fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(canaryRequests >= 40);
        CPPUNIT_ASSERT(canaryRequests <= 50);
        const auto counted = fixture.router->totals("s", "v2").at(kIdempotent);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(canaryRequests), counted[0].total());
        CPPUNIT_ASSERT_EQUAL(1000U, counted[0].total() + counted[1].total());
        canaryRequests = 0;
        for (int at = 0; at < 2000; ++at) {
            fixture.now += 10 * kMillisecond;
            auto request = fixture.begin(kNonIdempotent);
            const bool toCanary = fixture.send(request)[0] == 'n';
            canaryRequests += toCanary;
            fixture.end(request, toCanary ? AttemptEvent::connectionLost : AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(canaryRequests >= 4);
        CPPUNIT_ASSERT(canaryRequests < 60);  // until 0.3 of its attempts at this proxy have failed
    }

    // Guarantee EXPOSURE: with little traffic a canary starts with a part of the slack beyond its share, at
    // most at the rate of a stable pod. A proxy that starts during the rollout is granted none.
    void grantStartsTheCanaryWithLittleTraffic() {
        std::string transcript;
        for (const bool runningBefore : {true, false}) {
            RouterFixture fixture(6);
            for (int at = 0; at < 6; ++at) fixture.list("n" + std::to_string(at), "v2");
            if (runningBefore) fixture.router->setRollouts({}, fixture.now);
            fixture.router->setProxyCount(12, fixture.now);
            fixture.rollout("in_progress");
            fixture.now += 3 * kSecond;
            transcript += runningBefore ? "running before the rollout:" : "started during the rollout:";
            for (int part = 0; part < 4; ++part) {
                int canaryRequests = 0;
                for (int at = 0; at < 12; ++at) {
                    fixture.now += 270 * kMillisecond;
                    auto request = fixture.begin(kNonIdempotent);
                    canaryRequests += fixture.send(request)[0] == 'n';
                    fixture.end(request, AttemptEvent::answered);
                }
                transcript += " " + std::to_string(canaryRequests);
            }
            transcript += " of 12 each\n";
        }
        approve("router-few-requests", transcript);
    }

    // Two rollouts of one service at once: while one receives all traffic, the other keeps to its own share.
    void rolloutsOfOneServiceHaveSeparateShares() {
        RouterFixture fixture;
        fixture.list("n", "v2"), fixture.list("m", "v2"), fixture.list("x", "v3"), fixture.list("y", "v3");
        messages::Rollout good;
        messages::Rollout bad;
        good.service = bad.service = "s", good.target = "v2", bad.target = "v3", good.stage = 2,
        good.number = 2, bad.number = 1;
        fixture.router->setRollouts({bad, good}, fixture.now);
        fixture.now += 3 * kSecond;
        std::map<std::string, int> attemptsByVersion;
        for (int at = 0; at < 1000; ++at) {
            fixture.now += 10 * kMillisecond;
            auto request = fixture.begin(kIdempotent);
            CPPUNIT_ASSERT(fixture.send(request) != "-");
            ++attemptsByVersion[fixture.last->host()->endpoint.version];
            fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT_EQUAL(0, attemptsByVersion["v1"]);
        CPPUNIT_ASSERT(attemptsByVersion["v3"] >= 40);
        CPPUNIT_ASSERT(attemptsByVersion["v3"] <= 50);
    }

    // A version is rolled back and rolled out again with another deadline: its pods receive their share
    // again, and the counts of the first rollout are discarded. Setting the same list again changes nothing.
    void repeatedRolloutStartsAfresh() {
        RouterFixture fixture;
        fixture.list("n", "v2"), fixture.list("m", "v2");
        messages::Rollout first;
        messages::Rollout repeated;
        first.service = repeated.service = "s", first.target = repeated.target = "v2";
        first.timeLimitMs = 12'000, repeated.timeLimitMs = 15'000, first.number = 1, repeated.number = 3;
        const auto serve = [&] {
            int canaryRequests = 0;
            for (int at = 0; at < 600; ++at) {
                fixture.now += 10 * kMillisecond;
                auto request = fixture.begin(kIdempotent);
                CPPUNIT_ASSERT(fixture.send(request) != "-");
                const bool toCanary = fixture.last->host()->endpoint.version == "v2";
                canaryRequests += toCanary;
                fixture.end(request, AttemptEvent::answered, toCanary ? 500 : 200);
            }
            return canaryRequests;
        };
        fixture.router->setRollouts({first}, fixture.now);
        fixture.now += 3 * kSecond;
        CPPUNIT_ASSERT(serve() > 0);
        CPPUNIT_ASSERT(!fixture.router->totals("s", "v2").empty());
        first.state = "rolled_back", first.number = 2;
        fixture.router->setRollouts({first}, fixture.now);
        CPPUNIT_ASSERT_EQUAL(0, serve());
        fixture.router->setRollouts({first, repeated}, fixture.now);
        CPPUNIT_ASSERT(fixture.router->totals("s", "v2").empty());
        CPPUNIT_ASSERT(serve() > 0);
        CPPUNIT_ASSERT(!fixture.router->totals("s", "v2").empty());
        fixture.router->setRollouts({first, repeated}, fixture.now);
        CPPUNIT_ASSERT(!fixture.router->totals("s", "v2").empty());
    }

    // Guards against LOST, review/3: at a proxy that has missed the end of a rollout and the next one's
    // start, the next one had the stage and the counts of the first.
    void nextGenerationStartsAfresh() {
        RouterFixture fixture;
        fixture.list("n", "v2");
        fixture.rollout("in_progress", 2);
        fixture.now += 3 * kSecond;
        CPPUNIT_ASSERT_EQUAL(std::string("v2 200"), fixture.attemptsByVersion(200));
        auto next = fixture.router->rollouts();
        next.front().stage = 0, next.front().generation = 1, next.front().number = 9;
        fixture.router->setRollouts(next, fixture.now);
        CPPUNIT_ASSERT(fixture.router->totals("s", "v2").empty());
        // Its share and its part of the slack.
        CPPUNIT_ASSERT_EQUAL(std::string("v1 187 v2 13"), fixture.attemptsByVersion(200));
    }

    // Guarantee ROUTE: which versions receive requests, by the state of the rollout.
    void versionsByRolloutState() {
        std::string transcript;
        const auto recordVersions = [&](const std::string& what, RouterFixture& fixture) {
            transcript += what + ": " + fixture.attemptsByVersion(200) + "\n";
        };
        RouterFixture fixture;
        fixture.list("n", "v2"), fixture.list("m", "v2");
        recordVersions("v2 without a rollout", fixture);
        fixture.rollout("in_progress");
        recordVersions("in progress, v2's pods not warm yet", fixture);
        fixture.now += 3 * kSecond;
        recordVersions("in progress", fixture);
        fixture.rollout("in_progress", 1, 2);
        recordVersions("full-traffic trial, within the unused share", fixture);
        fixture.now += kSecond;
        recordVersions("after the full-traffic trial", fixture);
        fixture.rollout("in_progress", 2, 2);
        recordVersions("all traffic", fixture);
        fixture.rollout("completed", 2, 3);
        recordVersions("completed", fixture);
        fixture.rollout("rolled_back", 0, 4);
        recordVersions("rolled back", fixture);
        RouterFixture late(0);  // a proxy that starts while both versions run
        late.rollout("in_progress");
        late.list("n", "v2"), late.list("p", "v1"), late.now += 3 * kSecond;
        recordVersions("proxy started during the rollout", late);
        RouterFixture known(0);  // receives the endpoints before the rollout
        known.list("n", "v2"), known.list("p", "v1");
        known.rollout("in_progress"), known.now += 3 * kSecond;
        recordVersions("endpoints received before the rollout", known);
        approve("router-versions", transcript);
    }

    // Guards against RECOVER, review/1: an order for the version in service took its traffic away for good.
    void versionInServiceServesUnderItsOwnRollout() {
        RouterFixture fixture;
        fixture.router->setEndpointsKnown();
        fixture.router->setRollouts({}, fixture.now);
        fixture.list("n", "v2");  // without a rollout: gets nothing, whatever happens to v1's
        for (const auto* state : {"in_progress", "rolled_back"}) {
            fixture.rollout(state, 0, 1, "v1");
            fixture.now += 3 * kSecond;
            CPPUNIT_ASSERT_EQUAL(std::string("v1 200"), fixture.attemptsByVersion(200));
        }
    }

    // The same at a proxy that starts after the order, whose service has no other version; it stops when the
    // version that served before is listed.
    void onlyListedVersionServesUnderItsOwnRollout() {
        enum class Event { rollout, pods, listComplete };
        using Events = std::vector<Event>;
        for (const auto& events : {Events{Event::rollout, Event::pods, Event::listComplete},
                                   Events{Event::pods, Event::rollout, Event::listComplete},
                                   Events{Event::listComplete, Event::rollout, Event::pods}}) {
            RouterFixture fixture(0);
            for (const auto event : events) {
                if (event == Event::rollout) fixture.rollout("in_progress");
                if (event == Event::pods) fixture.list("n", "v2"), fixture.list("m", "v2");
                if (event == Event::listComplete) fixture.router->setEndpointsKnown();
            }
            fixture.now += 3 * kSecond;
            CPPUNIT_ASSERT_EQUAL(std::string("v2 200"), fixture.attemptsByVersion(200));
            fixture.list("p", "v1");
            fixture.now += 3 * kSecond;
            CPPUNIT_ASSERT_EQUAL(std::string("v1 191 v2 9"), fixture.attemptsByVersion(200));
            fixture.rollout("rolled_back", 0, 2);
            CPPUNIT_ASSERT_EQUAL(std::string("v1 200"), fixture.attemptsByVersion(200));
        }
    }

    // Guarantee DRAIN: no attempts at a pod that is draining, is removed, or whose address another pod has.
    void drainingHostsGetNothing() {
        RouterFixture fixture(1);
        auto request = fixture.begin(kIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("p0"), fixture.send(request));
        fixture.list("p0", "v1", true);
        auto other = fixture.begin(kIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), fixture.send(other));
        fixture.list("p1");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), fixture.send(other));
        fixture.end(other, AttemptEvent::misdirected);
        auto third = fixture.begin(kIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), fixture.send(third));
    }

    // Guarantee CONFIG: an older configuration, for example from a control node that is behind, is ignored.
    void olderConfigurationIsIgnored() {
        RouterFixture fixture;
        fixture.router->setConfiguration(configurationOf("00000009", "t"));
        fixture.router->setConfiguration(configurationOf("00000008"));
        auto request = fixture.begin(kIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), request.service);
        CPPUNIT_ASSERT_EQUAL(9U, fixture.router->configuration()->version);
    }

    // Many pods with infrequent load reports: if requests wait in this proxy's zone but not elsewhere,
    // traffic moves to the other zone; if they wait equally, hardly any does.
    void overloadedZoneSendsTrafficElsewhere() {
        std::string transcript;
        for (const auto& [near, far] : std::vector<std::pair<int, int>>{{0, 0}, {3, 0}, {3, 3}, {0, 3}}) {
            RouterFixture fixture(0);
            for (int at = 0; at < 40; ++at) fixture.list("n" + std::to_string(at));
            for (int at = 0; at < 40; ++at) fixture.list("f" + std::to_string(at), "v1", false, "y");
            int others = 0;
            for (int at = 0; at < 2000; ++at) {
                fixture.now += 60 * kMillisecond;
                auto request = fixture.begin(kNonIdempotent);
                const bool other = fixture.send(request)[0] == 'f';
                others += at >= 1000 && other;
                fixture.router->onLoadReport(*fixture.last->host(), 3, other ? far : near, fixture.now);
                fixture.end(request, AttemptEvent::answered);
            }
            transcript += "waiting in this zone " + std::to_string(near) + ", elsewhere " +
                          std::to_string(far) + ": " + std::to_string((others + 5) / 10) +
                          " of 100 go elsewhere\n";
        }
        approve("router-full-zone", transcript);
    }

    // A pod without responses for long gets no attempts while others can; after a response it does again.
    void unresponsiveHostsGetNothing() {
        RouterFixture fixture(2);
        auto unanswered = fixture.begin(kNonIdempotent);
        const auto unresponsivePod = fixture.send(unanswered);
        const auto unansweredAttempt = fixture.last;
        fixture.now += kSecond;
        for (int at = 0; at < 50; ++at) {
            auto request = fixture.begin(kIdempotent);
            CPPUNIT_ASSERT(fixture.send(request) != unresponsivePod);
            fixture.end(request, AttemptEvent::answered);
        }
        fixture.endAttempt(unanswered, *unansweredAttempt, AttemptEvent::answered, 200, kSecond);
        bool selectedAgain = false;
        for (int at = 0; at < 50; ++at) {
            auto request = fixture.begin(kIdempotent);
            selectedAgain = fixture.send(request) == unresponsivePod || selectedAgain;
            fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(selectedAgain);
    }

    // A pod with nothing in flight is not unresponsive, however its last attempt ended: after its backoff it
    // is selected like any other.
    void hostWithNothingInFlightIsNotUnresponsive() {
        for (const auto end : {AttemptEvent::unreached, AttemptEvent::connectionLost, AttemptEvent::malformed,
                               AttemptEvent::timedOut}) {
            RouterFixture fixture;
            auto failed = fixture.begin(kNonIdempotent);
            const auto pod = fixture.send(failed);
            fixture.end(failed, end);
            fixture.now += 2 * kSecond;
            int selectedAgain = 0;
            for (int at = 0; at < 50; ++at) {
                auto request = fixture.begin(kIdempotent);
                selectedAgain += fixture.send(request) == pod;
                fixture.end(request, AttemptEvent::answered);
            }
            CPPUNIT_ASSERT_MESSAGE(routing::name(end), selectedAgain > 0);
        }
    }

    // In a large fleet a proxy uses only its subset of the hosts, and others once most of the subset is gone.
    void largeFleetStaysWithinItsSubset() {
        RouterFixture fixture(200);
        fixture.router->setProxyCount(100, fixture.now);
        const auto usedHosts = [&] {
            std::set<std::string> used;
            for (int at = 0; at < 500; ++at) {
                auto request = fixture.begin(kIdempotent);
                used.insert(fixture.send(request));
                fixture.end(request, AttemptEvent::answered);
            }
            return used;
        };
        const auto used = usedHosts();
        constexpr std::size_t kPreferred = 200 * 8 / 100;  // 200 hosts, eight proxies per host, 100 proxies
        CPPUNIT_ASSERT(used.size() <= kPreferred && used.size() > kPreferred / 2);
        for (const auto& host : used) fixture.list(host, "v1", true);
        const auto others = usedHosts();
        CPPUNIT_ASSERT(others.size() > kPreferred);
        for (const auto& host : others) CPPUNIT_ASSERT_MESSAGE(host, !used.contains(host));
    }

    // A cancelled attempt is no failure of the host; it shows only that the response would have taken longer.
    void cancelledAttemptsBackOffFromNoHost() {
        RouterFixture fixture;
        for (int at = 0; at < 20; ++at) {
            auto request = fixture.begin(kIdempotent);
            fixture.send(request);
            fixture.end(request, AttemptEvent::cancelled);
        }
        for (const auto& [name, host] : fixture.router->hosts()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, host->consecutiveFailures);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, host->inFlight);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1.0, host->relativeLatency);
            CPPUNIT_ASSERT_MESSAGE(name, routing::isAvailable(*host, fixture.now));
        }
        auto slow = fixture.begin(kIdempotent);
        const auto chosen = fixture.send(slow);
        fixture.endAttempt(slow, *slow.attempts.back(), AttemptEvent::cancelled, 0, 100 * kSecond);
        CPPUNIT_ASSERT(fixture.router->hosts().at(chosen)->relativeLatency > 1);
    }

    // In the outcomes that voters compare, cancelled attempts count with their time, but not as failures:
    // left out, they would hide a slow version; as failures, they would condemn a good one.
    void cancelledAttemptsCountWithTheirTime() {
        RouterFixture fixture(1);
        fixture.list("n", "v2");
        fixture.rollout("in_progress");
        fixture.now += 3 * kSecond;
        std::map<std::string, int> sent;
        for (int at = 0; at < 400; ++at) {
            auto request = fixture.begin(kIdempotent);
            ++sent[fixture.send(request)];
            fixture.end(request, AttemptEvent::cancelled);
        }
        CPPUNIT_ASSERT(sent["n"] > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.router->canaryFailures());
        const auto& totals = fixture.router->totals("s", "v2");
        const auto& counts = totals.at(kIdempotent)[0];
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(sent["n"]), counts.total());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, counts.failures);
    }

    // Guarantee EXPOSURE: calls of nextAttempt() that return nothing don't count as traffic, of which a
    // canary would get its share.
    void hedgesNotSentDoNotCountAsTraffic() {
        RouterFixture fixture(1);
        fixture.list("n", "v2"), fixture.list("m", "v2");
        fixture.rollout("in_progress");
        fixture.now += 3 * kSecond;
        auto waiting = fixture.begin(kIdempotent);
        fixture.send(waiting);
        for (int at = 0; at < 500; ++at) CPPUNIT_ASSERT(!fixture.router->nextAttempt(waiting, fixture.now));
        fixture.rollout("in_progress", 1, 2);  // the full-traffic trial, within the unused share
        int canaryRequests = 0;
        for (int at = 0; at < 20; ++at) {
            auto request = fixture.begin(kNonIdempotent);
            const auto sent = fixture.send(request);
            canaryRequests += sent != "-" && sent != "p0";
            if (sent != "-") fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(canaryRequests <= 2);
    }

    // A share above the range of int was undefined: the greatest one on arm64, the smallest on x86-64.
    void hugeConnectionLimitIsNoSmallOne() {
        RouterFixture fixture;
        fixture.router->setConfiguration(configurationOf("00000002", "s", "1000000000000000"));
        CPPUNIT_ASSERT_EQUAL(1 << 20, fixture.router->maxConnections(*fixture.router->hosts().at("p0")));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);
