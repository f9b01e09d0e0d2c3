// Routing without sockets: what is sent where, what is never sent again, how much of anything there may be.
// Times are made up; chance is seeded.
#include "routing/router.hpp"

#include <set>

#include "support/transcript.hpp"

using namespace lichenlanding;
using routing::Router, routing::AttemptEvent, routing::RoutedRequest;

namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;

std::shared_ptr<const config::Configuration> configurationOf(const std::string& version,
                                                             const std::string& service = "s") {
    std::string text = R"({"config_version":")" + version + R"(","resources":[)";
    for (const auto* kind : {"idempotent", "non_idempotent"})
        text += std::string(R"({"resource_type":"route_table","metadata":{"name":")") + kind +
                R"("},"spec":{"hostname":"h","path_prefix":"/)" + kind + R"(/","route_class":")" + kind +
                R"(","timeout":"2s","target_latency":"600ms","service_name":")" + service +
                R"(","max_attempts":3}},)";
    text += R"({"resource_type":"service_table","metadata":{"name":"s"},"spec":{"max_connections":100}},)"
            R"({"resource_type":"service_table","metadata":{"name":"t"},"spec":{}}]})";
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
    // Sends once; the pod's id, or "-".
    std::string send(RoutedRequest& request) {
        last = router->nextAttempt(request, now);
        return last ? last->host()->endpoint.id : "-";
    }
    void end(RoutedRequest& request, AttemptEvent end, int status = 200, Nanos took = 100 * kMillisecond) {
        endAttempt(request, *last, end, status, took);
    }
    // As a host tells it: all but what ends unreached was written first.
    void endAttempt(RoutedRequest& request, routing::Attempt& attempt, AttemptEvent end, int status = 200,
                    Nanos took = 100 * kMillisecond) {
        if (end != AttemptEvent::unreached) attempt.apply(AttemptEvent::written);
        router->onAttemptEnded(request, attempt, end, status, took, now);
    }
    void rollout(const std::string& state, int stage = 0, std::int64_t number = 1) {
        messages::Rollout order;
        order.service = "s", order.target = "v2", order.state = state, order.stage = stage,
        order.number = number;
        router->setRollouts({order}, now);
    }
    config::BootstrapSettings boot;
    std::unique_ptr<Router> router;
    std::shared_ptr<routing::Attempt> last;
    Nanos now = 100 * kSecond;
};

const char* const kRepeatable = "idempotent";
const char* const kNotRepeatable = "non_idempotent";

}  // namespace

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(retriesByEndOfTheFirstAttempt);
    CPPUNIT_TEST(unreachedHostsDoNotCountAsAttempts);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(canaryGetsItsShare);
    CPPUNIT_TEST(grantBeginsTheWatchWhereFewRequestsCome);
    CPPUNIT_TEST(rolloutsOfOneServiceAreToldApart);
    CPPUNIT_TEST(rolloutOrderedAnewStartsAfresh);
    CPPUNIT_TEST(versionsByStateOfTheRollout);
    CPPUNIT_TEST(drainingHostsGetNothing);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(silentHostsGetNothing);
    CPPUNIT_TEST(hostWithNothingInFlightIsNotSilent);
    CPPUNIT_TEST(hedgesNotSentAreNoTraffic);
    CPPUNIT_TEST(largeFleetStaysWithinItsSubset);
    CPPUNIT_TEST(cancelledAttemptsBackOffFromNoHost);
    CPPUNIT_TEST(cancelledAttemptsCountWithTheTimeTheyHad);
    CPPUNIT_TEST(fullZoneSendsAPartElsewhere);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Every end of a first send, for both kinds: does it go again, and what is said if not.
    void retriesByEndOfTheFirstAttempt() {
        std::string seen;
        for (const auto* kind : {kRepeatable, kNotRepeatable})
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
                const auto beside =
                    fixture.router->nextAttempt(request, fixture.now) != nullptr;  // while it is in flight
                if (beside) request.attempts.pop_back();
                fixture.end(request, end);
                const auto second = fixture.send(request);
                CPPUNIT_ASSERT(second != first);
                if (second != "-") fixture.end(request, end);
                const auto refusal = fixture.router->localReply(request);
                seen += std::string(kind) + " " + name + ": beside " + (beside ? "yes" : "no") + ", again " +
                        (second == "-" ? "no" : "yes") + ", then " + std::to_string(refusal.status()) +
                        (refusal.retryAfter > 0 ? " come back" : "") + "\n";
            }
        approve("router-retries", seen);
    }

    // max_attempts counts the pods that it was sent to: those not reached were not, up to two more.
    void unreachedHostsDoNotCountAsAttempts() {
        for (const auto* kind : {kRepeatable, kNotRepeatable}) {
            RouterFixture fixture(8);
            auto request = fixture.begin(kind);  // to three pods at most
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
            auto nobody = fixture.begin(kind);
            int attempts = 0;
            for (; fixture.send(nobody) != "-"; ++attempts) fixture.end(nobody, AttemptEvent::unreached);
            CPPUNIT_ASSERT_EQUAL(5, attempts);
            CPPUNIT_ASSERT_EQUAL(503, fixture.router->localReply(nobody).status());
        }
    }

    // BUDGET: arrivals past the first of a request stay within the share of the fleet's, window by window.
    void retriesStayWithinTheBudget() {
        RouterFixture fixture(8, 24);
        fixture.router->setProxyCount(4, fixture.now);
        int further = 0;
        for (int second = 0; second < 30; ++second) {
            const bool storm = second >= 10 && second < 20;
            const int before = further;
            for (int at = 0; at < 20; ++at) {
                fixture.now += kSecond / 20;
                auto request = fixture.begin(kRepeatable);
                for (auto sent = fixture.send(request); sent != "-"; sent = fixture.send(request)) {
                    if (routing::possibleArrivals(request.attempts) > 1) ++further;
                    fixture.end(request, storm ? AttemptEvent::rejectedByHost : AttemptEvent::answered);
                    if (!storm) break;
                }
            }
            if (!storm) CPPUNIT_ASSERT_EQUAL(before, further);
        }
        // 0.2 of 200 requests and a quarter of 24: 46 in ten seconds are this proxy's part.
        CPPUNIT_ASSERT(further > 20);
        CPPUNIT_ASSERT(further <= 46);
    }

    // EXPOSURE: of all requests no more than the share reaches a version on trial, and none once it fails
    // here.
    void canaryGetsItsShare() {
        RouterFixture fixture;
        for (int at = 0; at < 4; ++at) fixture.list("n" + std::to_string(at), "v2");
        fixture.rollout("in_progress");
        fixture.now += 3 * kSecond;
        int fresh = 0;
        for (int at = 0; at < 1000; ++at) {
            fixture.now += 10 * kMillisecond;
            auto request = fixture.begin(kRepeatable);
            fresh += fixture.send(request)[0] == 'n';
            fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(fresh >= 40);
        CPPUNIT_ASSERT(fresh <= 50);
        const auto counted = fixture.router->totals("s", "v2").at(kRepeatable);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(fresh), counted[0].total());
        CPPUNIT_ASSERT_EQUAL(1000U, counted[0].total() + counted[1].total());
        fresh = 0;
        for (int at = 0; at < 2000; ++at) {
            fixture.now += 10 * kMillisecond;
            auto request = fixture.begin(kNotRepeatable);
            const bool its = fixture.send(request)[0] == 'n';
            fresh += its;
            fixture.end(request, its ? AttemptEvent::connectionLost : AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(fresh >= 4);
        CPPUNIT_ASSERT(fresh < 60);  // until 0.3 of those it has seen are bad
    }

    // EXPOSURE: where few requests come, a part of what the rule lets go beyond the share begins the watch,
    // no quicker than an earlier pod is sent requests; a proxy that starts in the middle is granted none.
    void grantBeginsTheWatchWhereFewRequestsCome() {
        std::string seen;
        for (const bool there : {true, false}) {
            RouterFixture fixture(6);
            for (int at = 0; at < 6; ++at) fixture.list("n" + std::to_string(at), "v2");
            if (there) fixture.router->setRollouts({}, fixture.now);
            fixture.router->setProxyCount(12, fixture.now);
            fixture.rollout("in_progress");
            fixture.now += 3 * kSecond;
            seen += there ? "there at the order:" : "started since:";
            for (int part = 0; part < 4; ++part) {
                int fresh = 0;
                for (int at = 0; at < 12; ++at) {
                    fixture.now += 270 * kMillisecond;
                    auto request = fixture.begin(kNotRepeatable);
                    fresh += fixture.send(request)[0] == 'n';
                    fixture.end(request, AttemptEvent::answered);
                }
                seen += " " + std::to_string(fresh);
            }
            seen += " of 12 each\n";
        }
        approve("router-few-requests", seen);
    }

    // Two orders of one service at once: while one has all traffic, the other keeps to its own share.
    void rolloutsOfOneServiceAreToldApart() {
        RouterFixture fixture;
        fixture.list("n", "v2"), fixture.list("m", "v2"), fixture.list("x", "v3"), fixture.list("y", "v3");
        messages::Rollout good;
        messages::Rollout bad;
        good.service = bad.service = "s", good.target = "v2", bad.target = "v3", good.stage = 2,
        good.number = 2, bad.number = 1;
        fixture.router->setRollouts({bad, good}, fixture.now);
        fixture.now += 3 * kSecond;
        std::map<std::string, int> where;
        for (int at = 0; at < 1000; ++at) {
            fixture.now += 10 * kMillisecond;
            auto request = fixture.begin(kRepeatable);
            CPPUNIT_ASSERT(fixture.send(request) != "-");
            ++where[fixture.last->host()->endpoint.version];
            fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT_EQUAL(0, where["v1"]);
        CPPUNIT_ASSERT(where["v3"] >= 40);
        CPPUNIT_ASSERT(where["v3"] <= 50);
    }

    // Turned back, and ordered again with another term: its pods take their share again, and what was counted
    // in the first trial is no word on the second. Said again, the list changes nothing.
    void rolloutOrderedAnewStartsAfresh() {
        RouterFixture fixture;
        fixture.list("n", "v2"), fixture.list("m", "v2");
        messages::Rollout first;
        messages::Rollout anew;
        first.service = anew.service = "s", first.target = anew.target = "v2";
        first.timeLimitMs = 12'000, anew.timeLimitMs = 15'000, first.number = 1, anew.number = 3;
        const auto serve = [&] {
            int fresh = 0;
            for (int at = 0; at < 600; ++at) {
                fixture.now += 10 * kMillisecond;
                auto request = fixture.begin(kRepeatable);
                CPPUNIT_ASSERT(fixture.send(request) != "-");
                const bool its = fixture.last->host()->endpoint.version == "v2";
                fresh += its;
                fixture.end(request, AttemptEvent::answered, its ? 500 : 200);
            }
            return fresh;
        };
        fixture.router->setRollouts({first}, fixture.now);
        fixture.now += 3 * kSecond;
        CPPUNIT_ASSERT(serve() > 0);
        CPPUNIT_ASSERT(!fixture.router->totals("s", "v2").empty());
        first.state = "rolled_back", first.number = 2;
        fixture.router->setRollouts({first}, fixture.now);
        CPPUNIT_ASSERT_EQUAL(0, serve());
        fixture.router->setRollouts({first, anew}, fixture.now);
        CPPUNIT_ASSERT(fixture.router->totals("s", "v2").empty());
        CPPUNIT_ASSERT(serve() > 0);
        CPPUNIT_ASSERT(!fixture.router->totals("s", "v2").empty());
        fixture.router->setRollouts({first, anew}, fixture.now);
        CPPUNIT_ASSERT(!fixture.router->totals("s", "v2").empty());
    }

    // ROUTE: which versions take requests, by the state of the order.
    void versionsByStateOfTheRollout() {
        std::string seen;
        const auto see = [&](const std::string& what, RouterFixture& fixture) {
            std::map<std::string, int> where;
            for (int at = 0; at < 200; ++at) {
                auto request = fixture.begin(kRepeatable);
                const auto sent = fixture.send(request);
                ++where[sent == "-" ? sent : fixture.last->host()->endpoint.version];
                if (sent != "-") fixture.end(request, AttemptEvent::answered);
            }
            seen += what + ":";
            for (const auto& [version, count] : where) seen += " " + version + " " + std::to_string(count);
            seen += "\n";
        };
        RouterFixture fixture;
        fixture.list("n", "v2"), fixture.list("m", "v2");
        see("nobody ordered v2", fixture);
        fixture.rollout("in_progress");
        see("in progress, its pods not warm yet", fixture);
        fixture.now += 3 * kSecond;
        see("in progress", fixture);
        fixture.rollout("in_progress", 1, 2);
        see("trial of all traffic, within the share so far", fixture);
        fixture.now += kSecond;
        see("after the trial of all traffic", fixture);
        fixture.rollout("in_progress", 2, 2);
        see("all traffic", fixture);
        fixture.rollout("completed", 2, 3);
        see("completed", fixture);
        fixture.rollout("rolled_back", 0, 4);
        see("rolled back", fixture);
        RouterFixture late(0);  // a proxy that starts while both are there
        late.rollout("in_progress");
        late.list("n", "v2"), late.list("p", "v1"), late.now += 3 * kSecond;
        see("started in the middle", late);
        RouterFixture known(0);  // the list came before the order was known
        known.list("n", "v2"), known.list("p", "v1");
        known.rollout("in_progress"), known.now += 3 * kSecond;
        see("order known late", known);
        approve("router-versions", seen);
    }

    // DRAIN and lives: no send to a pod that leaves, that is gone, or that is not who it was.
    void drainingHostsGetNothing() {
        RouterFixture fixture(1);
        auto request = fixture.begin(kRepeatable);
        CPPUNIT_ASSERT_EQUAL(std::string("p0"), fixture.send(request));
        fixture.list("p0", "v1", true);
        auto other = fixture.begin(kRepeatable);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), fixture.send(other));
        fixture.list("p1");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), fixture.send(other));
        fixture.end(other, AttemptEvent::misdirected);
        auto third = fixture.begin(kRepeatable);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), fixture.send(third));
    }

    // CONFIG: a proxy that wakes up, or hears an older control node, never goes back.
    void configurationNeverGoesBack() {
        RouterFixture fixture;
        fixture.router->setConfiguration(configurationOf("00000009", "t"));
        fixture.router->setConfiguration(configurationOf("00000008"));
        auto request = fixture.begin(kRepeatable);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), request.service);
        CPPUNIT_ASSERT_EQUAL(9U, fixture.router->configuration()->version);
    }

    // Many pods, each heard of now and then: where those of the own zone make requests wait and others do
    // not, a part goes there; where all wait alike, hardly any.
    void fullZoneSendsAPartElsewhere() {
        std::string seen;
        for (const auto& [near, far] : std::vector<std::pair<int, int>>{{0, 0}, {3, 0}, {3, 3}, {0, 3}}) {
            RouterFixture fixture(0);
            for (int at = 0; at < 40; ++at) fixture.list("n" + std::to_string(at));
            for (int at = 0; at < 40; ++at) fixture.list("f" + std::to_string(at), "v1", false, "y");
            int others = 0;
            for (int at = 0; at < 2000; ++at) {
                fixture.now += 60 * kMillisecond;
                auto request = fixture.begin(kNotRepeatable);
                const bool other = fixture.send(request)[0] == 'f';
                others += at >= 1000 && other;
                fixture.router->onLoadReport(*fixture.last->host(), 3, other ? far : near, fixture.now);
                fixture.end(request, AttemptEvent::answered);
            }
            seen += "waiting in the own zone " + std::to_string(near) + ", elsewhere " + std::to_string(far) +
                    ": " + std::to_string((others + 5) / 10) + " of 100 go elsewhere\n";
        }
        approve("router-full-zone", seen);
    }

    // A pod that owes answers for long gets no more while others can; when it answers, it does again.
    void silentHostsGetNothing() {
        RouterFixture fixture(2);
        auto stuck = fixture.begin(kNotRepeatable);
        const auto mute = fixture.send(stuck);
        const auto owing = fixture.last;
        fixture.now += kSecond;
        for (int at = 0; at < 50; ++at) {
            auto request = fixture.begin(kRepeatable);
            CPPUNIT_ASSERT(fixture.send(request) != mute);
            fixture.end(request, AttemptEvent::answered);
        }
        fixture.endAttempt(stuck, *owing, AttemptEvent::answered, 200, kSecond);
        bool again = false;
        for (int at = 0; at < 50; ++at) {
            auto request = fixture.begin(kRepeatable);
            again = fixture.send(request) == mute || again;
            fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(again);
    }

    // A pod at which nothing is out owes nothing, however its last send ended: after its rest it is drawn
    // again like any other.
    void hostWithNothingInFlightIsNotSilent() {
        for (const auto end : {AttemptEvent::unreached, AttemptEvent::connectionLost, AttemptEvent::malformed,
                               AttemptEvent::timedOut}) {
            RouterFixture fixture;
            auto failed = fixture.begin(kNotRepeatable);
            const auto pod = fixture.send(failed);
            fixture.end(failed, end);
            fixture.now += 2 * kSecond;
            int again = 0;
            for (int at = 0; at < 50; ++at) {
                auto request = fixture.begin(kRepeatable);
                again += fixture.send(request) == pod;
                fixture.end(request, AttemptEvent::answered);
            }
            CPPUNIT_ASSERT_MESSAGE(routing::name(end), again > 0);
        }
    }

    // With hundreds of proxies a few of the hosts are met; those beyond are when most of these are gone.
    void largeFleetStaysWithinItsSubset() {
        RouterFixture fixture(200);
        fixture.router->setProxyCount(100, fixture.now);
        const auto draw = [&] {
            std::set<std::string> met;
            for (int at = 0; at < 500; ++at) {
                auto request = fixture.begin(kRepeatable);
                met.insert(fixture.send(request));
                fixture.end(request, AttemptEvent::answered);
            }
            return met;
        };
        const auto met = draw();
        constexpr std::size_t kPreferred = 200 * 8 / 100;  // hosts, eight proxies for each, 100 proxies
        CPPUNIT_ASSERT(met.size() <= kPreferred && met.size() > kPreferred / 2);
        for (const auto& host : met) fixture.list(host, "v1", true);
        const auto others = draw();
        CPPUNIT_ASSERT(others.size() > kPreferred);
        for (const auto& host : others) CPPUNIT_ASSERT_MESSAGE(host, !met.contains(host));
    }

    // A client that leaves says nothing ill of the host: only that its answer would have taken longer.
    void cancelledAttemptsBackOffFromNoHost() {
        RouterFixture fixture;
        for (int at = 0; at < 20; ++at) {
            auto request = fixture.begin(kRepeatable);
            fixture.send(request);
            fixture.end(request, AttemptEvent::cancelled);
        }
        for (const auto& [name, host] : fixture.router->hosts()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, host->consecutiveFailures);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, host->inFlight);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1.0, host->relativeLatency);
            CPPUNIT_ASSERT_MESSAGE(name, routing::isAvailable(*host, fixture.now));
        }
        auto slow = fixture.begin(kRepeatable);
        const auto chosen = fixture.send(slow);
        fixture.endAttempt(slow, *slow.attempts.back(), AttemptEvent::cancelled, 0, 100 * kSecond);
        CPPUNIT_ASSERT(fixture.router->hosts().at(chosen)->relativeLatency > 1);
    }

    // The outcomes that voters compare: a slow version would hide behind clients that leave, were its
    // cancelled attempts not counted; as failures they would condemn a good one.
    void cancelledAttemptsCountWithTheTimeTheyHad() {
        RouterFixture fixture(1);
        fixture.list("n", "v2");
        fixture.rollout("in_progress");
        fixture.now += 3 * kSecond;
        std::map<std::string, int> sent;
        for (int at = 0; at < 400; ++at) {
            auto request = fixture.begin(kRepeatable);
            ++sent[fixture.send(request)];
            fixture.end(request, AttemptEvent::cancelled);
        }
        CPPUNIT_ASSERT(sent["n"] > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.router->canaryFailures());
        const auto& totals = fixture.router->totals("s", "v2");
        const auto& counts = totals.at(kRepeatable)[0];
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(sent["n"]), counts.total());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, counts.failures);
    }

    // EXPOSURE: asking for a second send that there is none to be had of does not count as traffic, of which
    // a version on trial would get its share.
    void hedgesNotSentAreNoTraffic() {
        RouterFixture fixture(1);
        fixture.list("n", "v2"), fixture.list("m", "v2");
        fixture.rollout("in_progress");
        fixture.now += 3 * kSecond;
        auto waits = fixture.begin(kRepeatable);
        fixture.send(waits);
        for (int at = 0; at < 500; ++at) CPPUNIT_ASSERT(!fixture.router->nextAttempt(waits, fixture.now));
        fixture.rollout("in_progress", 1, 2);  // the trial of all traffic: all, within the share so far
        int fresh = 0;
        for (int at = 0; at < 20; ++at) {
            auto request = fixture.begin(kNotRepeatable);
            const auto sent = fixture.send(request);
            fresh += sent != "-" && sent != "p0";
            if (sent != "-") fixture.end(request, AttemptEvent::answered);
        }
        CPPUNIT_ASSERT(fresh <= 2);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);
