// The register, explored: the real copies and runs under every order of send, loss, doubling, lost disk and
// rejoin up to a stated size, then under seeded schedules beyond it. Each invariant is also shown to be able
// to fail, by a copy or a host that breaks it on purpose.
#include "register/register.hpp"

#include <deque>
#include <random>
#include <unordered_set>

#include "transcript.hpp"

using namespace lichenlanding::reg;

namespace {

enum class Bug { none, blankCounts, tellsBeforeDisk, forgetsPromise, rejoinsByCopy };

struct Message {
    int run = 0, copy = 0;
    Run::Step step = Run::Step::look;
    bool reply = false;
    Request request;
    Reply answer;
    std::string text() const {
        std::string all = std::to_string(run) + "/" + std::to_string(copy) + "/" +
                          std::to_string(static_cast<int>(step)) + (reply ? "r" : "q");
        const auto add = [&](const Ballot& ballot) {
            all += ":" + std::to_string(ballot.round) + "." + std::to_string(ballot.writer);
        };
        if (!reply) return add(request.ballot), all + request.value;
        all += answer.blank ? "b" : answer.taken ? "t" : "n";
        return add(answer.cell.promised), add(answer.cell.accepted), all + answer.cell.value;
    }
};

// Two writers with two bodies under one number, and a reader that begins after one of them has ended.
struct World {
    std::vector<Copy> copies;
    std::vector<Run> runs;
    std::vector<int> attempts;
    std::vector<bool> after;  // begun when something had already lasted
    std::vector<Message> messages;
    std::vector<std::string> heard;  // by run, in its step
    std::vector<std::string> ended;  // values that runs have ended with, in order
    int wipes = 0, doubles = 0;
    std::vector<int> lost;       // copies whose disk is lost and that have not rejoined, in order
    std::map<int, int> joining;  // run -> the copy it rejoins
    Bug bug = Bug::none;
    std::string broken;

    World(std::size_t disks, int wipes_, int doubles_, Bug bug_)
        : copies(disks, Copy(false)), wipes(wipes_), doubles(doubles_), bug(bug_) {
        add("7A", true), add("7B", true);
    }

    static Change put(const std::string& value) {
        return [value](const std::string& held) { return held.empty() || held[0] < value[0] ? value : held; };
    }
    void add(const std::string& value, bool look) {
        const auto number = static_cast<std::uint32_t>(runs.size() + 1);
        runs.emplace_back("k", copies.size(), number, 0,
                          value.empty() ? Change([](const std::string& held) { return held; }) : put(value),
                          look);
        attempts.push_back(0), heard.emplace_back(), after.push_back(!ended.empty());
        send(static_cast<int>(runs.size()) - 1);
    }
    void send(int run) {
        for (int copy = 0; copy < static_cast<int>(copies.size()); ++copy)
            messages.push_back({run, copy, runs[run].step(), false, runs[run].request(), {}});
    }
    void moved(int run) {
        heard[run].clear();
        auto& its = runs[run];
        if (its.step() == Run::Step::done) {
            // Lasting: bodies of one number are one body, whoever ended with it, and a later one builds on
            // it.
            if (!ended.empty() && !its.value().empty() && ended.back() != its.value())
                broken = "Lasting: " + ended.back() + " then " + its.value();
            if (its.value().empty() && after[run]) broken = "Lasting: nothing after " + ended.back();
            if (!its.value().empty()) ended.push_back(its.value());
            if (const auto at = joining.find(run); at != joining.end()) {
                copies[at->second].put("k", {its.ballot(), its.ballot(), its.value()});
                copies[at->second].filled();
                joining.erase(at);
            }
            if (ended.size() == 1 && runs.size() < 3) add("", true);  // the reader
        } else if (its.step() == Run::Step::lost) {
            if (++attempts[run] > 1) return;
            const auto above = its.above();
            its = Run("k", copies.size(), static_cast<std::uint32_t>(run + 1), above,
                      run == 0   ? put("7A")
                      : run == 1 ? put("7B")
                                 : Change([](const std::string& held) { return held; }),
                      false);
            send(run);
        } else {
            send(run);
        }
    }

    // Choices: each message delivered, lost or doubled; a disk lost; the lost one rejoining.
    std::size_t choices() const {
        return messages.size() * (doubles > 0 ? 3 : 2) + (wipes > 0 ? copies.size() : 0) + lost.size();
    }
    void choose(std::size_t choice) {
        const std::size_t ways = doubles > 0 ? 3 : 2;
        if (choice < messages.size() * ways) {
            const auto at = choice / ways, way = choice % ways;
            const auto message = messages[at];
            if (way != 2) messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(at));
            if (way == 2) --doubles;
            if (way != 1) deliver(message);
            return;
        }
        choice -= messages.size() * ways;
        if (wipes > 0 && choice < copies.size()) {
            --wipes;
            copies[choice] = Copy(bug != Bug::blankCounts);
            std::erase(lost, static_cast<int>(choice));
            std::erase_if(joining, [&](const auto& one) { return one.second == static_cast<int>(choice); });
            if (bug != Bug::blankCounts) lost.push_back(static_cast<int>(choice));
            return;
        }
        if (wipes > 0) choice -= copies.size();
        const int back = lost[choice];
        lost.erase(lost.begin() + static_cast<std::ptrdiff_t>(choice));
        if (bug == Bug::rejoinsByCopy) {  // a copy of what others hold, taken without asking them to promise
            std::map<std::string, Cell> best;
            std::size_t told = 0;
            for (const auto& copy : copies) {
                if (copy.blank()) continue;
                ++told;
                if (copy.cell("k").accepted > best["k"].accepted) best["k"] = copy.cell("k");
            }
            if (told >= copies.size() / 2 + 1) {
                copies[back].put("k", best["k"]);
                copies[back].filled();
            }
            return;
        }
        joining[static_cast<int>(runs.size())] = back;
        add("", false);
    }
    void deliver(const Message& message) {
        if (message.reply) {
            heard[message.run] += message.text() + ";";
            if (runs[message.run].on(static_cast<std::uint32_t>(message.copy), message.step, message.answer))
                moved(message.run);
            return;
        }
        auto& copy = copies[message.copy];
        std::optional<Cell> change;
        auto reply = copy.weigh(message.request, change);
        if (change && bug == Bug::forgetsPromise && message.request.kind == Request::Kind::prepare)
            change->promised = copy.cell("k").promised;
        if (change && !(bug == Bug::tellsBeforeDisk && message.copy == 0))
            copy.put(message.request.key, *change);
        messages.push_back({message.run, message.copy, message.step, true, {}, reply});
    }
    std::string key() const {
        std::vector<std::string> parts;
        for (const auto& message : messages) parts.push_back(message.text());
        std::sort(parts.begin(), parts.end());
        std::string all;
        for (const auto& part : parts) all += part + "|";
        for (const auto& copy : copies) {
            const auto& cell = copy.cell("k");
            all += copy.blank() ? "B" : "c";
            for (const auto& ballot : {cell.promised, cell.accepted})
                all += std::to_string(ballot.round) + "." + std::to_string(ballot.writer) + ",";
            all += cell.value;
        }
        for (std::size_t run = 0; run < runs.size(); ++run)
            all += "#" + std::to_string(static_cast<int>(runs[run].step())) + runs[run].value() +
                   std::to_string(runs[run].above()) + "." + std::to_string(runs[run].ballot().round) + "~" +
                   std::to_string(attempts[run]) + heard[run];
        return all + "w" + std::to_string(wipes) + std::to_string(doubles) + std::to_string(lost.size()) +
               "." + std::to_string(lost.empty() ? 9 : lost[0]) + std::to_string(joining.size()) +
               (ended.empty() ? "" : ended.back());
    }
};

// Breadth first over distinct states, up to `most` of them.
std::pair<std::size_t, std::string> explore(const World& first, std::size_t most) {
    std::deque<World> open{first};
    std::unordered_set<std::string> seen{first.key()};  // asked, never walked through
    while (!open.empty() && seen.size() < most) {
        const auto world = std::move(open.front());
        open.pop_front();
        for (std::size_t choice = 0; choice < world.choices(); ++choice) {
            auto next = world;
            next.choose(choice);
            if (!next.broken.empty()) return {seen.size(), next.broken};
            if (seen.insert(next.key()).second) open.push_back(std::move(next));
        }
    }
    return {seen.size(), ""};
}

// Seeded schedules, mostly delivering. Returns the first seed that breaks one, and how.
std::string chance(std::size_t disks, int wipes, Bug bug, std::uint32_t from, std::uint32_t to) {
    for (auto seed = from; seed < to; ++seed) {
        std::mt19937 draw(seed);
        World world(disks, wipes, 2, bug);
        for (int step = 0; step < 200 && world.choices() > 0; ++step) {
            const auto all = world.choices();
            const auto ways = world.doubles > 0 ? 3u : 2u;
            std::size_t choice = draw() % all;
            if (choice < world.messages.size() * ways && draw() % 4 != 0) choice -= choice % ways;
            world.choose(choice);
            if (!world.broken.empty())
                return "seed " + std::to_string(seed) + ", disks " + std::to_string(disks) + ", step " +
                       std::to_string(step) + ": " + world.broken;
        }
    }
    return "";
}

}  // namespace

class RegisterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegisterTest);
    CPPUNIT_TEST(everyOrder);
    CPPUNIT_TEST(seeded);
    CPPUNIT_TEST(bugsAreFound);
    CPPUNIT_TEST(threeCopies);
    CPPUNIT_TEST_SUITE_END();

  public:
    void everyOrder() {
        for (const auto& [disks, wipes, doubles] :
             std::vector<std::tuple<std::size_t, int, int>>{{3, 0, 0}, {3, 1, 0}, {3, 0, 1}}) {
            const auto [states, broken] = explore(World(disks, wipes, doubles, Bug::none), 40'000);
            std::printf(" (%zu disks, %d lost, %d doubled: %zu states)", disks, wipes, doubles, states);
            CPPUNIT_ASSERT_EQUAL(std::string(), broken);
        }
    }
    void seeded() {
        for (const std::size_t disks : {3u, 5u})
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 chance(disks, static_cast<int>(disks) / 2, Bug::none, 1, 20'000));
    }
    void bugsAreFound() {
        for (const auto bug :
             {Bug::blankCounts, Bug::tellsBeforeDisk, Bug::forgetsPromise, Bug::rejoinsByCopy}) {
            const auto found = chance(3, 1, bug, 1, 400'000);
            CPPUNIT_ASSERT_MESSAGE("bug " + std::to_string(static_cast<int>(bug)) + " was not found",
                                   !found.empty());
            std::printf(" (bug %d: %s)", static_cast<int>(bug), found.c_str());
        }
    }
    // A read that meets three different copies ends with one value, and every later read ends with the same.
    void threeCopies() {
        for (std::uint32_t first = 0; first < 3; ++first) {
            std::vector<Copy> copies(3, Copy(false));
            for (std::uint32_t at = 0; at < 3; ++at)
                copies[at].put("k", {{3, 9}, {at + 1, 9}, std::to_string(at + 1)});
            const auto read = [&](std::uint32_t from, std::uint64_t above) {
                Run run(
                    "k", 3, 1, above, [](const std::string& held) { return held; }, true);
                while (run.step() != Run::Step::done) {
                    if (run.step() == Run::Step::lost)
                        run = Run(
                            "k", 3, 1, run.above(), [](const std::string& held) { return held; }, false);
                    const auto request = run.request();
                    const auto step = run.step();
                    for (std::uint32_t at = 0; at < 3; ++at) {
                        std::optional<Cell> change;
                        const auto reply = copies[(from + at) % 3].weigh(request, change);
                        if (change) copies[(from + at) % 3].put("k", *change);
                        run.on((from + at) % 3, step, reply);
                    }
                }
                return run.value();
            };
            const auto value = read(first, 0);
            CPPUNIT_ASSERT(
                value >= "2");  // of the two copies it met first, the higher (all have promised the highest)
            for (std::uint32_t again = 0; again < 3; ++again) CPPUNIT_ASSERT_EQUAL(value, read(again, 9));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RegisterTest);
