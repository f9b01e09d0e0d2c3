// Explores the registers and their epochs: exhaustively, over every order of delivery and loss up to a fixed
// number of states, then with seeded random schedules beyond that. Each invariant is also shown to be able to
// fail, with a host or a disk that has a deliberate bug. A failure prints "scenario bug seed";
// REGISTER_REPLAY="scenario bug seed" replays that schedule.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <random>
#include <sstream>
#include <stdexcept>
#include <unordered_set>

#include "consensus/explored_world.hpp"

using namespace consensus_explorer;

namespace {

// A deliberate bug and the scenario in which it shows.
struct SeededBug {
    Bug bug;
    std::string name, scenario;
};
const std::vector<SeededBug> kSeededBugs{
    {Bug::lostDiskKeepsIdentity, "lostDiskKeepsIdentity", "three"},
    {Bug::restoresOldImage, "restoresOldImage", "three-rolled-back"},
    {Bug::repliesBeforeSync, "repliesBeforeSync", "three"},
    {Bug::forgetsPromise, "forgetsPromise", "three"},
    {Bug::spareReplies, "spareReplies", "three-replaced"},
    {Bug::ignoresSeal, "ignoresSeal", "three-replaced"},
    {Bug::opensAfterOneSeal, "opensAfterOneSeal", "three-replaced"},
    {Bug::opensWithoutTransfer, "opensWithoutTransfer", "three-replaced"},
    {Bug::foundsAgainAfterDiskLoss, "foundsAgainAfterDiskLoss", "founding"},
    {Bug::countsRepliesOfAnyEpoch, "countsRepliesOfAnyEpoch", "three-replaced"},
    {Bug::newDiskConfirmsSeal, "newDiskConfirmsSeal", "three-replaced"}};

// Breadth-first search over distinct states, up to `maxStates` of them. Returns their number and the
// violation found, if any.
std::pair<std::size_t, std::string> explore(const World& initial, std::size_t maxStates) {
    std::deque<World> frontier{initial};
    std::unordered_set<std::string> seen{initial.stateKey()};  // only for lookup, never iterated
    while (!frontier.empty() && seen.size() < maxStates) {
        const auto world = std::move(frontier.front());
        frontier.pop_front();
        for (std::size_t choice = 0; choice < world.choices().all(); ++choice) {
            auto next = world;
            next.applyChoice(choice);
            if (!next.violation.empty()) return {seen.size(), next.violation};
            if (seen.insert(next.stateKey()).second) frontier.push_back(std::move(next));
        }
    }
    return {seen.size(), ""};
}

struct Outcome {
    std::string violation;
    int completed = 0, opened = 0;  // tasks with a value, epochs
};

Outcome runSchedule(const Scenario& scenario, Bug bug, std::uint32_t seed) {
    std::mt19937 random(seed);
    World world(scenario, bug);
    for (int step = 0; step < 900; ++step) {
        const auto all = world.choices();
        if (all.all() == 0) break;
        // Mostly deliveries, with occasional losses of disks and messages at any point.
        std::size_t choice = random() % all.all();
        if (all.messages > 0 && random() % 16 != 0) {
            choice = random() % all.messages;
            if (random() % 12 != 0) choice -= choice % all.outcomesPerMessage;
        }
        world.applyChoice(choice);
        if (!world.violation.empty()) return {"step " + std::to_string(step) + ": " + world.violation, 0, 0};
    }
    return {"", static_cast<int>(world.completedValues.size()), static_cast<int>(world.opened.size())};
}

// Runs the schedules of a range of seeds. Returns the first seed that violates an invariant, with the
// violation, or "".
std::string findViolation(const Scenario& scenario, Bug bug, std::uint32_t from, std::uint32_t to,
                          long* completed = nullptr, long* opened = nullptr) {
    for (auto seed = from; seed < to; ++seed) {
        const auto outcome = runSchedule(scenario, bug, seed);
        if (!outcome.violation.empty())
            return scenario.name + " " + std::to_string(static_cast<int>(bug)) + " " + std::to_string(seed) +
                   ", " + outcome.violation;
        if (completed) *completed += outcome.completed;
        if (opened) *opened += outcome.opened;
    }
    return "";
}

// name, members, spares, diskLosses, imageRestores, duplicates, membershipChanges, founding
const std::vector<Scenario> kScenarios{
    {"three", 3, 0, 1, 0, 1, 0, false},          {"five", 5, 0, 2, 0, 1, 0, false},
    {"three-replaced", 3, 1, 1, 0, 1, 1, false}, {"three-rolled-back", 3, 1, 0, 1, 0, 1, false},
    {"three-twice", 3, 2, 1, 0, 1, 2, false},    {"five-twice", 5, 2, 2, 0, 0, 2, false},
    {"founding", 3, 1, 1, 0, 1, 0, true}};
const Scenario& findScenario(const std::string& name) {
    for (const auto& one : kScenarios)
        if (one.name == name) return one;
    throw std::invalid_argument("unknown scenario " + name);
}

}  // namespace

class RegisterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegisterTest);
    CPPUNIT_TEST(replaysASchedule);
    CPPUNIT_TEST(holdsInEveryOrder);
    CPPUNIT_TEST(holdsInSeededSchedules);
    CPPUNIT_TEST(findsEverySeededBug);
    CPPUNIT_TEST_SUITE_END();

  public:
    void replaysASchedule() {
        const char* replay = std::getenv("REGISTER_REPLAY");
        if (!replay) return;
        std::istringstream words(replay);
        std::string name;
        int bug = 0;
        std::uint32_t seed = 0;
        words >> name >> bug >> seed;
        std::printf(" (%s: %s)", replay,
                    runSchedule(findScenario(name), static_cast<Bug>(bug), seed).violation.c_str());
    }

    void holdsInEveryOrder() {
        for (const auto& one : kScenarios) {
            const auto [states, violation] = explore(World(one), 40'000);
            std::printf(" (%s: %zu states)", one.name.c_str(), states);
            CPPUNIT_ASSERT_EQUAL(std::string(), violation);
        }
    }

    void holdsInSeededSchedules() {
        for (const auto& one : kScenarios) {
            long completed = 0;
            long opened = 0;
            const auto* limit = std::getenv("REGISTER_SEEDS");
            const std::uint32_t last = limit ? static_cast<std::uint32_t>(std::stoul(limit)) : 20'000;
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 findViolation(one, Bug::none, 1, last + 1, &completed, &opened));
            std::printf(" (%s: %u seeds, %ld completed, %ld epochs)", one.name.c_str(), last, completed,
                        opened);
            // The schedules make progress: values are read back and new epochs open.
            CPPUNIT_ASSERT(completed >= 2 * last);
            CPPUNIT_ASSERT(opened >= (one.membershipChanges > 0 || one.founding ? last * 3 / 2 : last));
        }
    }

    void findsEverySeededBug() {
        for (const auto& [bug, name, scenarioName] : kSeededBugs) {
            const auto found = findViolation(findScenario(scenarioName), bug, 1, 100'000);
            CPPUNIT_ASSERT_MESSAGE("bug " + name + " was not found", !found.empty());
            std::printf(" (%s: %s)", name.c_str(), found.c_str());
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RegisterTest);
