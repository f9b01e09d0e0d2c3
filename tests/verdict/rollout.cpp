// Rollouts judged: totals that come twice, late or from another life; on, back and hold.
#include "verdict/rollout.hpp"

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"
#include "support/subscription_fixture.hpp"
#include "support/transcript.hpp"
#include "verdict/stages.hpp"

using namespace lichenlanding;
using subscription_fixture::pod;
using verdict::Counts, verdict::Totals;

namespace {

constexpr Nanos kMillisecond = 1'000'000, kTarget = 600 * kMillisecond;

Counts counts(int good, Nanos took, int bad = 0) {
    Counts made;
    for (int at = 0; at < good; ++at) made.count(took + (at % 7) * 10 * kMillisecond, kTarget, false);
    for (int at = 0; at < bad; ++at) made.count(took, kTarget, true);
    return made;
}

}  // namespace

class RolloutVerdictTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RolloutVerdictTest);
    CPPUNIT_TEST(totalsCountOnce);
    CPPUNIT_TEST(judgesByOutcomes);
    CPPUNIT_TEST(stagesByVotesAndTime);
    CPPUNIT_TEST(lostVoterIsReplaced);
    CPPUNIT_TEST(endpointsNeverComeBack);
    CPPUNIT_TEST_SUITE_END();

  public:
    void totalsCountOnce() {
        verdict::TotalsAggregator pool;
        const auto all = [&] { return pool.sum()["r"][0].total(); };
        pool.update("a", 1, 1, {{"r", {counts(5, 100 * kMillisecond), {}}}});
        pool.update("a", 1, 1, {{"r", {counts(5, 100 * kMillisecond), {}}}});  // twice
        CPPUNIT_ASSERT_EQUAL(5U, all());
        pool.update("a", 1, 3, {{"r", {counts(9, 100 * kMillisecond), {}}}});
        pool.update("a", 1, 2, {{"r", {counts(7, 100 * kMillisecond), {}}}});  // late
        CPPUNIT_ASSERT_EQUAL(9U, all());
        pool.update("a", 2, 1,
                    {{"r", {counts(2, 100 * kMillisecond), {}}}});  // its next life counts beside the first
        pool.update("b", 1, 1, {{"r", {counts(4, 100 * kMillisecond), {}}}});
        CPPUNIT_ASSERT_EQUAL(15U, all());
        const auto back = messages::decodeTotals(messages::encode(pool.sum()));
        CPPUNIT_ASSERT_EQUAL(15U, back.at("r")[0].total());
    }

    void judgesByOutcomes() {
        std::string seen;
        std::mt19937 chance(3);
        const auto judge = [&](const std::string& what, Counts fresh, Counts earlier, Totals more = {}) {
            more["r"] = {fresh, earlier};
            const auto judged = verdict::evaluateCanary(more, chance);
            const char* names[] = {"none", "on", "hold", "back"};
            seen += what + ": " + names[static_cast<int>(judged.verdict)] + ", " +
                    std::to_string(judged.canaryOutcomes) + " against " +
                    std::to_string(judged.stableOutcomes) + "\n";
        };
        judge("nothing yet", {}, {});
        judge("too few", counts(12, 150 * kMillisecond), counts(300, 150 * kMillisecond));
        judge("alike", counts(120, 150 * kMillisecond), counts(900, 150 * kMillisecond));
        judge("quicker", counts(80, 90 * kMillisecond), counts(900, 150 * kMillisecond));
        judge("a little slower", counts(60, 175 * kMillisecond), counts(900, 150 * kMillisecond));
        judge("eight times slower", counts(30, 1200 * kMillisecond), counts(900, 150 * kMillisecond));
        judge("half of it fails", counts(10, 150 * kMillisecond, 10), counts(900, 150 * kMillisecond));
        judge("a few fail, as before", counts(196, 150 * kMillisecond, 4),
              counts(980, 150 * kMillisecond, 20));
        judge("one route of three fails", counts(120, 150 * kMillisecond), counts(900, 150 * kMillisecond),
              {{"q", {counts(5, 150 * kMillisecond, 6), counts(200, 150 * kMillisecond)}},
               {"p", {counts(60, 150 * kMillisecond), counts(400, 150 * kMillisecond)}}});
        judge("two failures alone", counts(4, 150 * kMillisecond, 2), counts(900, 150 * kMillisecond));
        approve("verdict-judgements", seen);
    }

    // Every stage by every word of three voters, at the times that matter.
    void stagesByVotesAndTime() {
        std::string seen;
        for (int stage = 0; stage < 3; ++stage)
            for (const auto& [on, back] :
                 std::vector<std::pair<std::size_t, std::size_t>>{{0, 0}, {1, 1}, {2, 0}, {3, 0}, {1, 2}})
                for (const std::int64_t elapsed : {5000, 8800, 15299, 15300}) {
                    const auto move = verdict::nextTransition(stage, {3, on, back}, elapsed,
                                                              1400 + 1100 * (stage == 2), 16000);
                    if (!move) continue;
                    seen += "stage " + std::to_string(stage) + ", on " + std::to_string(on) + ", back " +
                            std::to_string(back) + ", after " + std::to_string(elapsed) + " ms: " +
                            (move->completed    ? "completed"
                             : move->rolledBack ? "rolled back"
                                                : "next stage") +
                            ", " + move->reason + "\n";
                }
        CPPUNIT_ASSERT(
            !verdict::nextTransition(0, {0, 0, 0}, 9000, 0, 16000));  // no voters: nobody said 'on'
        CPPUNIT_ASSERT(!verdict::nextTransition(1, {3, 3, 0}, 9000, 1399,
                                                16000));  // the trial of all traffic is not judged yet
        CPPUNIT_ASSERT(!verdict::nextTransition(2, {3, 0, 0}, 9000, 2499, 16000));
        approve("verdict-stages", seen);
    }

    // A voter that is killed between a stage's counts and its vote: the others stay, one takes its place.
    void lostVoterIsReplaced() {
        std::vector<std::string> names;
        for (int at = 0; at < 12; ++at) names.push_back("edge-" + std::to_string(at));
        const auto before = hashing::rendezvousSelect(names, "s\nv2", 3);
        std::erase(names, before[1]);
        const auto after = hashing::rendezvousSelect(names, "s\nv2", 3);
        CPPUNIT_ASSERT_EQUAL(before[0], after[0]);
        CPPUNIT_ASSERT_EQUAL(before[2], after[1]);
        CPPUNIT_ASSERT(std::find(before.begin(), before.end(), after[2]) == before.end());
        std::map<std::string, int> load;
        for (int at = 0; at < 3000; ++at)
            for (const auto& name : hashing::rendezvousSelect(names, "s\nv" + std::to_string(at), 3))
                ++load[name];
        for (const auto& [name, count] : load) CPPUNIT_ASSERT(count > 700 && count < 950);  // 818 each
    }

    // Lists that come late or by another way bring nobody back; the differences mend any view.
    void endpointsNeverComeBack() {
        discovery::EndpointSet ahead;
        discovery::EndpointSet behind;
        const auto follow = [](discovery::EndpointSet& view, const std::vector<discovery::Endpoint>& listed) {
            std::string seen;
            for (const auto& event : view.eventsTowards(listed, 0)) {
                seen += (event.removed ? "-" : event.endpoint.draining ? "~" : "+") + event.endpoint.id;
                view.apply(event);
            }
            return seen;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("+a+b"), follow(ahead, {pod("a"), pod("b")}));
        CPPUNIT_ASSERT_EQUAL(std::string("~a"), follow(ahead, {pod("a", true), pod("b")}));
        CPPUNIT_ASSERT_EQUAL(std::string(), follow(ahead, {pod("a"), pod("b")}));  // an older list
        CPPUNIT_ASSERT_EQUAL(std::string("-a+c"), [&] {
            auto seen = follow(ahead, {pod("b"), pod("c")});
            return seen == "+c-a" ? std::string("-a+c") : seen;
        }());
        CPPUNIT_ASSERT_EQUAL(std::string(), follow(ahead, {pod("a"), pod("b"), pod("c")}));
        CPPUNIT_ASSERT_EQUAL(std::string("+b+c"), follow(behind, {pod("b"), pod("c")}));
        CPPUNIT_ASSERT_EQUAL(ahead.endpoints().size(), behind.endpoints().size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutVerdictTest);
