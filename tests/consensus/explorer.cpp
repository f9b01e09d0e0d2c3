// The register and its epochs, explored: every order of delivery and loss up to a stated size, then seeded
// schedules beyond it. Each invariant is also shown to be able to fail, by a host or a disk that breaks it on
// purpose. A line of the output replays what it names: REGISTER_REPLAY="shape bug seed".
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

// With the shape of the world in which it shows.
struct Seeded {
    Bug bug;
    std::string name, shape;
};
const std::vector<Seeded> kSeededBugs{{Bug::lostDiskKeepsName, "lostDiskKeepsName", "three"},
                                      {Bug::rollsBack, "rollsBack", "three-rolled-back"},
                                      {Bug::tellsBeforeDisk, "tellsBeforeDisk", "three"},
                                      {Bug::forgetsPromise, "forgetsPromise", "three"},
                                      {Bug::spareCounts, "spareCounts", "three-replaced"},
                                      {Bug::sealForgets, "sealForgets", "three-replaced"},
                                      {Bug::opensUnsealed, "opensUnsealed", "three-replaced"},
                                      {Bug::opensEmpty, "opensEmpty", "three-replaced"},
                                      {Bug::foundsAgain, "foundsAgain", "founding"},
                                      {Bug::countsBothEpochs, "countsBothEpochs", "three-replaced"},
                                      {Bug::newDiskSeals, "newDiskSeals", "three-replaced"}};

// Breadth first over distinct states, up to `most` of them.
std::pair<std::size_t, std::string> explore(const World& first, std::size_t most) {
    std::deque<World> open{first};
    std::unordered_set<std::string> seen{first.key()};  // asked, never walked through
    while (!open.empty() && seen.size() < most) {
        const auto world = std::move(open.front());
        open.pop_front();
        for (std::size_t choice = 0; choice < world.choices().all(); ++choice) {
            auto next = world;
            next.choose(choice);
            if (!next.broken.empty()) return {seen.size(), next.broken};
            if (seen.insert(next.key()).second) open.push_back(std::move(next));
        }
    }
    return {seen.size(), ""};
}

struct Outcome {
    std::string broken;
    int ended = 0, opened = 0;  // of all that were begun
};

Outcome play(const Shape& shape, Bug bug, std::uint32_t seed) {
    std::mt19937 draw(seed);
    World world(shape, bug);
    for (int step = 0; step < 900; ++step) {
        const auto all = world.choices();
        if (all.all() == 0) break;
        // Mostly deliveries; losses of disks and messages now and then, at any moment.
        std::size_t choice = draw() % all.all();
        if (all.messages > 0 && draw() % 16 != 0) {
            choice = draw() % all.messages;
            if (draw() % 12 != 0) choice -= choice % all.ways;
        }
        world.choose(choice);
        if (!world.broken.empty()) return {"step " + std::to_string(step) + ": " + world.broken, 0, 0};
    }
    return {"", static_cast<int>(world.ended.size()), static_cast<int>(world.opened.size())};
}

// Seeded schedules. Returns the first seed that breaks one, and how.
std::string chance(const Shape& shape, Bug bug, std::uint32_t from, std::uint32_t to, long* ended = nullptr,
                   long* opened = nullptr) {
    for (auto seed = from; seed < to; ++seed) {
        const auto outcome = play(shape, bug, seed);
        if (!outcome.broken.empty())
            return shape.name + " " + std::to_string(static_cast<int>(bug)) + " " + std::to_string(seed) +
                   ", " + outcome.broken;
        if (ended) *ended += outcome.ended;
        if (opened) *opened += outcome.opened;
    }
    return "";
}

// name, members, spares, losses, images, doubles, changes, founding
const std::vector<Shape> kShapes{
    {"three", 3, 0, 1, 0, 1, 0, false},          {"five", 5, 0, 2, 0, 1, 0, false},
    {"three-replaced", 3, 1, 1, 0, 1, 1, false}, {"three-rolled-back", 3, 1, 0, 1, 0, 1, false},
    {"three-twice", 3, 2, 1, 0, 1, 2, false},    {"five-twice", 5, 2, 2, 0, 0, 2, false},
    {"founding", 3, 1, 1, 0, 1, 0, true}};
const Shape& shape(const std::string& name) {
    for (const auto& one : kShapes)
        if (one.name == name) return one;
    throw std::invalid_argument("no shape " + name);
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
        const char* asked = std::getenv("REGISTER_REPLAY");
        if (!asked) return;
        std::istringstream words(asked);
        std::string name;
        int bug = 0;
        std::uint32_t seed = 0;
        words >> name >> bug >> seed;
        std::printf(" (%s: %s)", asked, play(shape(name), static_cast<Bug>(bug), seed).broken.c_str());
    }

    void holdsInEveryOrder() {
        for (const auto& one : kShapes) {
            const auto [states, broken] = explore(World(one), 40'000);
            std::printf(" (%s: %zu states)", one.name.c_str(), states);
            CPPUNIT_ASSERT_EQUAL(std::string(), broken);
        }
    }

    void holdsInSeededSchedules() {
        for (const auto& one : kShapes) {
            long ended = 0;
            long opened = 0;
            const auto* more = std::getenv("REGISTER_SEEDS");
            const std::uint32_t last = more ? static_cast<std::uint32_t>(std::stoul(more)) : 20'000;
            CPPUNIT_ASSERT_EQUAL(std::string(), chance(one, Bug::none, 1, last + 1, &ended, &opened));
            std::printf(" (%s: %u seeds, %ld ended, %ld epochs)", one.name.c_str(), last, ended, opened);
            // The schedules do get somewhere: values are read back, changes of the members open.
            CPPUNIT_ASSERT(ended >= 2 * last);
            CPPUNIT_ASSERT(opened >= (one.changes > 0 || one.founding ? last * 3 / 2 : last));
        }
    }

    void findsEverySeededBug() {
        for (const auto& [bug, name, where] : kSeededBugs) {
            const auto found = chance(shape(where), bug, 1, 100'000);
            CPPUNIT_ASSERT_MESSAGE("bug " + name + " was not found", !found.empty());
            std::printf(" (%s: %s)", name.c_str(), found.c_str());
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RegisterTest);
