// Rollout verdicts: duplicated, late and restarted senders' totals; verdicts by outcomes; stage transitions.
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

Counts counts(int good, Nanos latency, int bad = 0) {
    Counts outcomes;
    for (int index = 0; index < good; ++index)
        outcomes.count(latency + (index % 7) * 10 * kMillisecond, kTarget, false);
    for (int index = 0; index < bad; ++index) outcomes.count(latency, kTarget, true);
    return outcomes;
}

}  // namespace

class RolloutVerdictTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RolloutVerdictTest);
    CPPUNIT_TEST(duplicateTotalsCountOnce);
    CPPUNIT_TEST(evaluatesOutcomes);
    CPPUNIT_TEST(stagesByVotesAndTime);
    CPPUNIT_TEST(versionInServiceIsCompletedNotRolledBack);
    CPPUNIT_TEST(lostVoterIsReplaced);
    CPPUNIT_TEST(outdatedListsRestoreNoEndpoints);
    CPPUNIT_TEST_SUITE_END();

  public:
    void duplicateTotalsCountOnce() {
        verdict::TotalsAggregator aggregator;
        const auto total = [&] { return aggregator.sum()["r"][0].total(); };
        aggregator.update("a", 1, 1, {{"r", {counts(5, 100 * kMillisecond), {}}}});
        aggregator.update("a", 1, 1, {{"r", {counts(5, 100 * kMillisecond), {}}}});  // duplicate
        CPPUNIT_ASSERT_EQUAL(5U, total());
        aggregator.update("a", 1, 3, {{"r", {counts(9, 100 * kMillisecond), {}}}});
        aggregator.update("a", 1, 2, {{"r", {counts(7, 100 * kMillisecond), {}}}});  // late
        CPPUNIT_ASSERT_EQUAL(9U, total());
        // The next incarnation of a sender is added to the first.
        aggregator.update("a", 2, 1, {{"r", {counts(2, 100 * kMillisecond), {}}}});
        aggregator.update("b", 1, 1, {{"r", {counts(4, 100 * kMillisecond), {}}}});
        CPPUNIT_ASSERT_EQUAL(15U, total());
        const auto decoded = messages::decodeTotals(messages::encode(aggregator.sum()));
        CPPUNIT_ASSERT_EQUAL(15U, decoded.at("r")[0].total());
    }

    void evaluatesOutcomes() {
        std::string output;
        std::mt19937 random(3);
        const auto evaluate = [&](const std::string& what, Counts canary, Counts stable, Totals totals = {}) {
            totals["r"] = {canary, stable};
            const auto evaluation = verdict::evaluateCanary(totals, random);
            const char* names[] = {"none", "advance", "hold", "roll back"};
            output += what + ": " + names[static_cast<int>(evaluation.verdict)] + ", " +
                      std::to_string(evaluation.canaryOutcomes) + " against " +
                      std::to_string(evaluation.stableOutcomes) + "\n";
        };
        evaluate("no outcomes", {}, {});
        evaluate("too few", counts(12, 150 * kMillisecond), counts(300, 150 * kMillisecond));
        evaluate("equal", counts(120, 150 * kMillisecond), counts(900, 150 * kMillisecond));
        evaluate("faster", counts(80, 90 * kMillisecond), counts(900, 150 * kMillisecond));
        evaluate("a little slower", counts(60, 175 * kMillisecond), counts(900, 150 * kMillisecond));
        evaluate("eight times slower", counts(30, 1200 * kMillisecond), counts(900, 150 * kMillisecond));
        evaluate("half of it fails", counts(10, 150 * kMillisecond, 10), counts(900, 150 * kMillisecond));
        evaluate("a few fail, as before", counts(196, 150 * kMillisecond, 4),
                 counts(980, 150 * kMillisecond, 20));
        evaluate("one route of three fails", counts(120, 150 * kMillisecond), counts(900, 150 * kMillisecond),
                 {{"q", {counts(5, 150 * kMillisecond, 6), counts(200, 150 * kMillisecond)}},
                  {"p", {counts(60, 150 * kMillisecond), counts(400, 150 * kMillisecond)}}});
        evaluate("two failures alone", counts(4, 150 * kMillisecond, 2), counts(900, 150 * kMillisecond));
        approve("verdict-judgements", output);
    }

    // Every stage with all relevant votes of three voters, just before and at each time limit.
    void stagesByVotesAndTime() {
        std::string output;
        for (int stage = 0; stage < 3; ++stage)
            for (const auto& [advance, rollBack] :
                 std::vector<std::pair<std::size_t, std::size_t>>{{0, 0}, {1, 1}, {2, 0}, {3, 0}, {1, 2}})
                for (const std::int64_t elapsed : {5000, 8800, 15299, 15300}) {
                    const auto transition = verdict::nextTransition(stage, {3, advance, rollBack}, elapsed,
                                                                    1400 + 1100 * (stage == 2), 16000);
                    if (!transition) continue;
                    output += "stage " + std::to_string(stage) + ", advance " + std::to_string(advance) +
                              ", roll back " + std::to_string(rollBack) + ", after " +
                              std::to_string(elapsed) + " ms: " +
                              (transition->completed    ? "completed"
                               : transition->rolledBack ? "rolled back"
                                                        : "next stage") +
                              ", " + transition->reason + "\n";
                }
        CPPUNIT_ASSERT(
            !verdict::nextTransition(0, {0, 0, 0}, 9000, 0, 16000));  // no voters, so no majority to advance
        CPPUNIT_ASSERT(!verdict::nextTransition(1, {3, 3, 0}, 9000, 1399,
                                                16000));  // the trial with all traffic is not evaluated yet
        CPPUNIT_ASSERT(!verdict::nextTransition(2, {3, 0, 0}, 9000, 2499, 16000));
        approve("verdict-stages", output);
    }

    // Guards against RECOVER, review/1: an order for the version in service was rolled back at its term.
    void versionInServiceIsCompletedNotRolledBack() {
        for (int stage = 0; stage < 3; ++stage) {
            verdict::VoteCounts votes{3, 0, 2};
            votes.stable = 2;  // goes before the votes on its outcomes, which are compared with its own
            const auto transition = verdict::nextTransition(stage, votes, 300, 300, 16'000);
            CPPUNIT_ASSERT(transition && transition->completed && !transition->rolledBack);
            votes = {3, 0, 0};
            votes.stable = 1;
            CPPUNIT_ASSERT(!verdict::nextTransition(stage, votes, 300, 300, 16'000));
        }
        // While no proxy can be asked, the term does not decide.
        verdict::VoteCounts unheard{0, 0, 0};
        unheard.mostUnheard = true;
        CPPUNIT_ASSERT(!verdict::nextTransition(0, unheard, 60'000, 60'000, 16'000));
        CPPUNIT_ASSERT(verdict::nextTransition(0, {3, 0, 0}, 60'000, 60'000, 16'000)->rolledBack);
    }

    // If a voter is lost, the other voters stay the same and one more is chosen.
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

    // Outdated lists don't restore removed or draining endpoints; events are computed against the own view.
    void outdatedListsRestoreNoEndpoints() {
        discovery::EndpointSet current;
        discovery::EndpointSet late;
        const auto update = [](discovery::EndpointSet& view, const std::vector<discovery::Endpoint>& listed) {
            std::string output;
            for (const auto& event : view.eventsTowards(listed, 0)) {
                output += (event.removed ? "-" : event.endpoint.draining ? "~" : "+") + event.endpoint.id;
                view.apply(event);
            }
            return output;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("+a+b"), update(current, {pod("a"), pod("b")}));
        CPPUNIT_ASSERT_EQUAL(std::string("~a"), update(current, {pod("a", true), pod("b")}));
        CPPUNIT_ASSERT_EQUAL(std::string(), update(current, {pod("a"), pod("b")}));  // an outdated list
        CPPUNIT_ASSERT_EQUAL(std::string("-a+c"), [&] {
            auto output = update(current, {pod("b"), pod("c")});
            return output == "+c-a" ? std::string("-a+c") : output;
        }());
        CPPUNIT_ASSERT_EQUAL(std::string(), update(current, {pod("a"), pod("b"), pod("c")}));
        CPPUNIT_ASSERT_EQUAL(std::string("+b+c"), update(late, {pod("b"), pod("c")}));
        CPPUNIT_ASSERT_EQUAL(current.endpoints().size(), late.endpoints().size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutVerdictTest);
