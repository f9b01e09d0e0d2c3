// The register and its epochs, explored: the real copies, runs and successions under every order of delivery
// and loss up to a stated size, with disks lost, put back from an older image and members replaced; then
// under seeded schedules beyond it. Each invariant is also shown to be able to fail, by a host or a disk that
// breaks it on purpose. A line of the output replays what it names: REGISTER_REPLAY="shape bug seed".
#include "consensus/consensus.hpp"

#include <deque>
#include <random>
#include <unordered_set>

#include "support/transcript.hpp"

using namespace lichenlanding::consensus;

namespace {

enum class Bug {
    none,
    lostDiskKeepsName,  // an empty disk answers under the identity of the one that was lost
    rollsBack,          // a disk put back from an older image answers as before
    tellsBeforeDisk,    // what was told is not on the disk
    forgetsPromise,
    spareCounts,       // a machine that is no member answers in the place of one
    sealForgets,       // a sealed copy goes on in the old epoch
    opensUnsealed,     // a change of the members goes on after one copy has sealed
    opensEmpty,        // a change of the members opens without a transfer
    foundsAgain,       // a founder that lost its disk answers as a founder again
    countsBothEpochs,  // a run counts answers of whatever epoch
    newDiskSeals       // the new disk of a lost member, told of the successor, seals in the old one's place
};
// With the shape of the world in which it shows.
struct Seeded {
    Bug bug;
    std::string name, shape;
};
const std::vector<Seeded> seededBugs{{Bug::lostDiskKeepsName, "lostDiskKeepsName", "three"},
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

// What a world begins with and what may happen in it.
struct Shape {
    std::string name;
    int members = 3, spares = 0;
    int losses = 0, images = 0, doubles = 0, changes = 0;
    bool founding = false;
};

std::string text(const ProposalNumber& proposalNumber) {
    return std::to_string(proposalNumber.round) + "." + std::to_string(proposalNumber.writer);
}
std::string text(const Epoch& epoch) {
    std::string all = std::to_string(epoch.number) + ":";
    for (const auto& member : epoch.members) all += member.address + member.disk + ",";
    return all;
}

struct Message {
    int task = 0, machine = 0, attempt = 0;
    int step = 0, inRun = 0;
    bool ofRun = true, reply = false;
    Request request;
    Reply answer;
    std::string text() const {
        std::string all = std::to_string(task) + "/" + std::to_string(machine) + "/" +
                          std::to_string(attempt) + "/" + std::to_string(step) + "." + std::to_string(inRun) +
                          request.key + std::to_string(static_cast<int>(request.kind)) + (reply ? "r" : "q") +
                          std::to_string(request.epoch);
        if (!reply)
            return all + ::text(request.proposalNumber) + request.value +
                   (request.to ? ::text(*request.to) : "");
        all += answer.rejected ? "b" : answer.accepted ? "t" : "n";
        all += std::to_string(answer.epoch) + (answer.sealed ? "s" : "") + ::text(answer.state.promised) +
               ":" + ::text(answer.state.accepted) + answer.state.value;
        for (const auto& [key, cell] : answer.states)
            all += key + ::text(cell.promised) + ":" + ::text(cell.accepted) + cell.value;
        return all;
    }
};

// A writer, a reader, or one who changes the members, each on a host of its own.
struct Task {
    enum Kind { write, read, replace } kind = write;
    std::string body;  // of a writer
    Epoch epoch;       // that its host knows to be open
    Epoch to;          // of a change: what it proposes
    std::optional<Proposal> run;
    std::optional<Reconfiguration> succession;
    int attempt = 0;
    bool after = false, ended = false;  // begun when something had lasted
    std::string heard;
};

struct World {
    Shape shape;
    Bug bug = Bug::none;
    std::vector<Acceptor> copies;
    std::vector<Acceptor> images;  // of each disk, as it first was and after its first change
    std::vector<int> lives;        // of each machine's disk
    std::vector<Task> tasks;
    std::vector<Message> messages;
    std::map<std::uint64_t, Epoch> opened;
    std::map<std::string, Epoch> sets;           // proposals by their text
    std::map<std::string, std::string> bodies;   // by key and ballot
    std::map<std::string, ProposalNumber> told;  // by disk: the highest promise that it told
    std::vector<std::string> ended;
    std::string broken;

    explicit World(Shape shape_, Bug bug_ = Bug::none) : shape(std::move(shape_)), bug(bug_) {
        const int machines = shape.members + shape.spares;
        Epoch first;
        first.number = shape.founding ? 0 : 1;
        for (int at = 0; at < machines; ++at) {
            copies.emplace_back(address(at), "1");
            lives.push_back(1);
            if (at < shape.members) first.members.push_back(member(at));
        }
        for (int at = 0; at < shape.members; ++at) copies[at].apply({{}, EpochState{first, true, {}, {}}});
        images = copies;
        opened[first.number] = first;
        if (shape.founding) {
            change(0), change(1);
            return;
        }
        add(Task::write, "7A"), add(Task::write, "7B");
        if (shape.changes > 0) change(0);
    }

    static std::string address(int machine) { return std::string(1, static_cast<char>('a' + machine)); }
    Member member(int machine) const { return {address(machine), std::to_string(lives[machine]), "", ""}; }
    Epoch newest() const { return opened.rbegin()->second; }

    // A change that leaves one member out for one that stands by, or for a disk's new life.
    void change(int which) {
        Task task;
        task.kind = Task::replace, task.epoch = newest();
        task.to.number = task.epoch.number + 1;
        const int machines = static_cast<int>(copies.size());
        std::vector<int> chosen;
        for (int at = 0; at < machines && static_cast<int>(chosen.size()) < shape.members; ++at) {
            const int machine = (at + which + (shape.founding ? 0 : 1)) % machines;
            chosen.push_back(machine);
        }
        std::sort(chosen.begin(), chosen.end());
        for (const int machine : chosen) task.to.members.push_back(member(machine));
        sets[text(task.to)] = task.to;
        tasks.push_back(std::move(task));
        begin(static_cast<int>(tasks.size()) - 1);
    }
    void add(Task::Kind kind, const std::string& body) {
        Task task;
        task.kind = kind, task.body = body, task.epoch = newest(), task.after = !ended.empty();
        tasks.push_back(std::move(task));
        begin(static_cast<int>(tasks.size()) - 1);
    }
    void begin(int at) {
        auto& task = tasks[at];
        const auto writer = static_cast<std::uint32_t>(at + 1);
        const auto above = task.run ? task.run->highestRound() : 0;
        ++task.attempt;
        task.heard.clear();
        task.succession.reset();
        if (task.kind == Task::replace) {
            const auto value = text(task.to);
            task.run = Proposal(
                successorKey(task.epoch), task.epoch, writer, above,
                [value](const std::string& held) { return held.empty() ? value : held; }, false);
        } else {
            const auto body = task.body;
            task.run = Proposal(
                "k", task.epoch, writer, above,
                [body](const std::string& held) {
                    return body.empty() || (!held.empty() && held[0] >= body[0]) ? held : body;
                },
                task.attempt == 1);
        }
        send(at);
    }
    void send(int at) {
        const auto& task = tasks[at];
        const auto each = [&](const Epoch& asked, Message message) {
            for (const auto& member : asked.members) {
                message.machine = member.address[0] - 'a';
                messages.push_back(message);
            }
        };
        Message message;
        message.task = at, message.attempt = task.attempt;
        if (!task.succession) {
            message.step = static_cast<int>(task.run->step()), message.request = task.run->request();
            each(task.epoch, message);
            return;
        }
        message.ofRun = false, message.step = static_cast<int>(task.succession->step());
        for (const auto& request : task.succession->requests()) {
            const auto run = task.succession->proposals().find(request.key);
            message.inRun =
                run == task.succession->proposals().end() ? 0 : static_cast<int>(run->second.step());
            message.request = request;
            each(task.succession->targetEpoch(), message);
        }
    }

    void open(const Epoch& epoch) {
        const auto [at, added] = opened.emplace(epoch.number, epoch);
        if (!added && at->second != epoch)
            broken = (shape.founding ? "FoundedOnce: " : "OneEpochOpen: ") + text(at->second) + " and " +
                     text(epoch);
    }
    void moved(int at) {
        auto& task = tasks[at];
        task.heard.clear();
        if (task.succession) {
            if (task.succession->step() == Reconfiguration::Step::done) {
                open(task.succession->to());
                task.ended = true;
                const auto replaced = std::count_if(
                    tasks.begin(), tasks.end(), [](const Task& one) { return one.kind == Task::replace; });
                if (shape.founding) {
                    if (tasks.size() == 2) add(Task::write, "7A"), add(Task::write, "7B");
                } else if (replaced < shape.changes) {
                    change(static_cast<int>(replaced));
                }
            } else if (task.succession->step() != Reconfiguration::Step::lost) {
                send(at);
            }
            return;
        }
        const auto& run = *task.run;
        if (run.step() == Proposal::Step::lost) return;
        if (run.step() != Proposal::Step::done) return send(at);
        if (task.kind == Task::replace) {
            const auto decided = sets.at(run.value());
            task.succession = Reconfiguration(task.epoch, decided, static_cast<std::uint32_t>(at + 1));
            if (bug == Bug::opensUnsealed || bug == Bug::opensEmpty) {
                // What a careless host would do: one answer is enough, or nothing is carried over.
                auto epoch = task.epoch;
                if (bug == Bug::opensUnsealed) epoch.members.resize(1);
                if (bug == Bug::opensEmpty)
                    for (auto& copy : copies)
                        if (decided.find(copyAddress(copy), copy.disk()))
                            copy.apply({{}, EpochState{decided, true, {}, {}}});
                task.succession = Reconfiguration(epoch, decided, static_cast<std::uint32_t>(at + 1));
                if (bug == Bug::opensEmpty) {
                    for (auto& copy : copies)
                        if (!task.epoch.find(copyAddress(copy), copy.disk()))
                            copy.apply({{{"k", RegisterState{}}}, {}});
                    open(decided), task.ended = true;
                    return;
                }
            }
            send(at);
            return;
        }
        task.ended = true;
        // Lasting: bodies of one number are one body, whoever ended with it, and a later one builds on it.
        if (!ended.empty() && !run.value().empty() && ended.back() != run.value())
            broken = "Lasting: " + ended.back() + " then " + run.value();
        if (run.value().empty() && task.after) broken = "Lasting: nothing after " + ended.back();
        if (!run.value().empty()) ended.push_back(run.value());
        const auto reads =
            std::count_if(tasks.begin(), tasks.end(), [](const Task& one) { return one.kind == Task::read; });
        if (!ended.empty() && reads < 2) add(Task::read, "");
    }
    std::string copyAddress(const Acceptor& copy) const {
        for (std::size_t at = 0; at < copies.size(); ++at)
            if (&copies[at] == &copy) return address(static_cast<int>(at));
        return "";
    }

    // A task may begin anew where its run is lost, or where nothing of it is on its way any more.
    bool stalled(int at) const {
        const auto& task = tasks[at];
        if (task.ended || task.attempt >= 20) return false;
        const bool lost = task.succession ? task.succession->step() == Reconfiguration::Step::lost
                                          : task.run->step() == Proposal::Step::lost;
        return lost || std::none_of(messages.begin(), messages.end(), [&](const Message& message) {
                   return message.task == at && message.attempt == task.attempt;
               });
    }
    void again(int at) {
        auto& task = tasks[at];
        if (task.kind == Task::replace) {
            if (task.epoch.number != newest().number) return void(task.ended = true);  // another was quicker
            // A decided successor is told by whoever has sealed for it: it is not decided again, but ended.
            for (const auto& copy : copies)
                if (copy.epochState().next && copy.epochState().epoch.number == task.epoch.number) {
                    ++task.attempt, task.heard.clear();
                    task.succession = Reconfiguration(task.epoch, *copy.epochState().next,
                                                      static_cast<std::uint32_t>(at + 1));
                    return send(at);
                }
        } else {
            task.epoch = newest();
        }
        begin(at);
    }

    struct Choices {
        std::size_t ways = 0, messages = 0, losses = 0, images = 0, stalled = 0;
        std::size_t all() const { return messages + losses + images + stalled; }
    };
    Choices choices() const {
        Choices all;
        all.ways = shape.doubles > 0 ? 3 : 2;
        all.messages = messages.size() * all.ways;
        all.losses = shape.losses > 0 ? copies.size() : 0;
        all.images = shape.images > 0 ? copies.size() : 0;
        for (int at = 0; at < static_cast<int>(tasks.size()); ++at) all.stalled += stalled(at);
        return all;
    }
    void choose(std::size_t choice) {
        const auto all = choices();
        if (choice < all.messages) {
            const auto at = choice / all.ways, way = choice % all.ways;
            const auto message = messages[at];
            if (way != 2) messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(at));
            if (way == 2) --shape.doubles;
            if (way != 1) deliver(message);
            return check();
        }
        choice -= all.messages;
        if (choice < all.losses) {
            --shape.losses;
            return lose(static_cast<int>(choice));
        }
        choice -= all.losses;
        if (choice < all.images) {
            --shape.images;
            const auto machine = static_cast<int>(choice);
            // Nobody is asked whether it is the disk that they know: it answers as before. Else it is a new
            // one.
            if (bug == Bug::rollsBack) copies[machine] = images[machine];
            else lose(machine);
            return;
        }
        choice -= all.images;
        for (int at = 0; at < static_cast<int>(tasks.size()); ++at)
            if (stalled(at) && choice-- == 0) return again(at);
    }
    void lose(int machine) {
        const auto before = copies[machine];
        const bool keeps = bug == Bug::lostDiskKeepsName || (bug == Bug::foundsAgain && shape.founding);
        if (!keeps) ++lives[machine];
        copies[machine] = Acceptor(address(machine), std::to_string(lives[machine]));
        if (keeps && before.epochState().epoch.number <= (shape.founding ? 0u : 1u))
            copies[machine].apply({{}, images[machine].epochState()});
    }
    void deliver(const Message& message) {
        if (message.reply) {
            auto& task = tasks[message.task];
            if (message.attempt != task.attempt || message.ofRun == task.succession.has_value()) return;
            task.heard += message.text() + ";";
            const auto& asked = task.succession ? task.succession->targetEpoch() : task.epoch;
            std::optional<std::uint32_t> place;
            for (std::uint32_t at = 0; at < asked.members.size(); ++at)
                if (asked.members[at].address == address(message.machine)) place = at;
            if (!place) return;
            const bool moves =
                task.succession
                    ? task.succession->handleReply(*place, static_cast<Reconfiguration::Step>(message.step),
                                                   message.request.key,
                                                   static_cast<Proposal::Step>(message.inRun), message.answer)
                    : task.run->handleReply(*place, static_cast<Proposal::Step>(message.step),
                                            message.answer);
            if (moves) moved(message.task);
            return;
        }
        auto& copy = copies[message.machine];
        auto request = message.request;
        if (bug == Bug::countsBothEpochs && request.kind <= Request::Kind::accept)
            request.epoch = copy.epochState().epoch.number;
        std::optional<Update> update;
        Reply reply;
        if (bug == Bug::spareCounts && reply.rejected == false && message.machine == 0 &&
            request.kind <= Request::Kind::accept && !message.ofRun == false &&
            copies.size() > static_cast<std::size_t>(shape.members)) {
            // The spare's copy answers beside the member's own, as one of the members.
            Acceptor spare("a", "1");
            spare.apply({copies.back().states(), copies[0].epochState()});
            reply = spare.evaluate(request, update);
            if (update) copies.back().apply({update->states, {}});
            if (!reply.rejected && message.task % 2 == 1) return answer(message, reply);
        }
        if (bug == Bug::newDiskSeals && request.kind == Request::Kind::seal &&
            copy.epochState().epoch.number == request.epoch + 1) {
            reply.accepted = true, reply.states = copy.states();
        } else if (bug == Bug::sealForgets && copy.epochState().next) {
            auto standing = copy.epochState();
            standing.next.reset();
            Acceptor loose(address(message.machine), copy.disk());
            loose.apply({copy.states(), standing});
            reply = loose.evaluate(request, update);
        } else {
            reply = copy.evaluate(request, update);
        }
        if (update) {
            if (bug == Bug::forgetsPromise && request.kind == Request::Kind::prepare)
                for (auto& [key, cell] : update->states) cell.promised = copy.state(key).promised;
            if (!(bug == Bug::tellsBeforeDisk && message.machine == 0)) copy.apply(*update);
            if (images[message.machine].states().empty()) images[message.machine] = copy;
        }
        answer(message, reply);
        if (!reply.rejected && request.kind <= Request::Kind::accept) {
            // NoForgetfulVote: what one disk has told, it never goes back on.
            auto& highest = told[address(message.machine) + copy.disk() + request.key];
            if (reply.state.promised < highest)
                broken = "NoForgetfulVote: " + address(message.machine) + " told " + text(highest) +
                         ", then " + text(reply.state.promised);
            highest = std::max(highest, reply.state.promised);
        }
        if (request.kind == Request::Kind::accept && reply.accepted) {
            const auto [body, added] =
                bodies.emplace(request.key + text(request.proposalNumber), request.value);
            if (!added && body->second != request.value)
                broken = "OneBody: " + text(request.proposalNumber) + " is " + body->second + " and " +
                         request.value;
        }
        if (copy.epochState().open) open(copy.epochState().epoch);
    }
    void answer(Message message, const Reply& reply) {
        message.reply = true, message.answer = reply;
        message.request.value.clear(), message.request.to.reset();
        messages.push_back(std::move(message));
    }
    // NoOldEpochWrites: once a successor is open, fewer than a majority of the old would still take anything.
    void check() {
        for (const auto& [number, epoch] : opened) {
            if (number == newest().number || number == 0) continue;
            std::size_t loose = 0;
            for (std::size_t at = 0; at < copies.size(); ++at) {
                const auto& standing = copies[at].epochState();
                const bool sealed = standing.next && bug != Bug::sealForgets;
                loose += standing.epoch.number == number && !sealed && copies[at].isMember(epoch);
            }
            if (loose >= epoch.majority()) broken = "NoOldEpochWrites: " + text(epoch) + " still takes";
        }
    }
    std::string key() const {
        std::vector<std::string> parts;
        for (const auto& message : messages) parts.push_back(message.text());
        std::sort(parts.begin(), parts.end());
        std::string all;
        for (const auto& part : parts) all += part + "|";
        for (const auto& copy : copies) {
            const auto& standing = copy.epochState();
            all += copy.disk() + text(standing.epoch) + (standing.open ? "o" : "c") +
                   (standing.next ? text(*standing.next) : "") + ";";
            for (const auto& [name, cell] : copy.states())
                all += name + text(cell.promised) + text(cell.accepted) + cell.value;
        }
        for (const auto& task : tasks) {
            all += "#" + std::to_string(task.attempt) + (task.ended ? "e" : "") + text(task.epoch);
            if (task.run)
                all += std::to_string(static_cast<int>(task.run->step())) + task.run->value() +
                       std::to_string(task.run->highestRound()) + text(task.run->proposalNumber());
            if (task.succession) all += "s" + std::to_string(static_cast<int>(task.succession->step()));
            all += "~" + task.heard;
        }
        return all + "w" + std::to_string(shape.losses) + std::to_string(shape.images) +
               std::to_string(shape.doubles) + std::to_string(opened.size()) +
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
const std::vector<Shape> shapes{
    {"three", 3, 0, 1, 0, 1, 0, false},          {"five", 5, 0, 2, 0, 1, 0, false},
    {"three-replaced", 3, 1, 1, 0, 1, 1, false}, {"three-rolled-back", 3, 1, 0, 1, 0, 1, false},
    {"three-twice", 3, 2, 1, 0, 1, 2, false},    {"five-twice", 5, 2, 2, 0, 0, 2, false},
    {"founding", 3, 1, 1, 0, 1, 0, true}};
const Shape& shape(const std::string& name) {
    for (const auto& one : shapes)
        if (one.name == name) return one;
    throw std::invalid_argument("no shape " + name);
}

}  // namespace

class RegisterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegisterTest);
    CPPUNIT_TEST(replay);
    CPPUNIT_TEST(everyOrder);
    CPPUNIT_TEST(seeded);
    CPPUNIT_TEST(bugsAreFound);
    CPPUNIT_TEST(threeCopies);
    CPPUNIT_TEST(lowBallotsStayBelow);
    CPPUNIT_TEST(sealedBefore);
    CPPUNIT_TEST_SUITE_END();

  public:
    void replay() {
        const char* asked = std::getenv("REGISTER_REPLAY");
        if (!asked) return;
        std::istringstream words(asked);
        std::string name;
        int bug = 0;
        std::uint32_t seed = 0;
        words >> name >> bug >> seed;
        std::printf(" (%s: %s)", asked, play(shape(name), static_cast<Bug>(bug), seed).broken.c_str());
    }
    void everyOrder() {
        for (const auto& one : shapes) {
            const auto [states, broken] = explore(World(one), 40'000);
            std::printf(" (%s: %zu states)", one.name.c_str(), states);
            CPPUNIT_ASSERT_EQUAL(std::string(), broken);
        }
    }
    void seeded() {
        for (const auto& one : shapes) {
            long ended = 0, opened = 0;
            const auto* more = std::getenv("REGISTER_SEEDS");
            const std::uint32_t last = more ? static_cast<std::uint32_t>(std::stoul(more)) : 20'000;
            CPPUNIT_ASSERT_EQUAL(std::string(), chance(one, Bug::none, 1, last + 1, &ended, &opened));
            std::printf(" (%s: %u seeds, %ld ended, %ld epochs)", one.name.c_str(), last, ended, opened);
            // The schedules do get somewhere: values are read back, changes of the members open.
            CPPUNIT_ASSERT(ended >= 2 * last);
            CPPUNIT_ASSERT(opened >= (one.changes > 0 || one.founding ? last * 3 / 2 : last));
        }
    }
    void bugsAreFound() {
        for (const auto& [bug, name, where] : seededBugs) {
            const auto found = chance(shape(where), bug, 1, 100'000);
            CPPUNIT_ASSERT_MESSAGE("bug " + name + " was not found", !found.empty());
            std::printf(" (%s: %s)", name.c_str(), found.c_str());
        }
    }
    // A read that meets three different copies ends with one value, and every later read ends with the same.
    void threeCopies() {
        Epoch epoch{1, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        const Change asItIs = [](const std::string& held) { return held; };
        for (std::uint32_t first = 0; first < 3; ++first) {
            std::vector<Acceptor> copies;
            for (std::uint32_t at = 0; at < 3; ++at) {
                copies.emplace_back(std::string(1, static_cast<char>('a' + at)), "1");
                copies[at].apply({{{"k", {{3, 9}, {at + 1, 9}, std::to_string(at + 1)}}},
                                  EpochState{epoch, true, {}, {}}});
            }
            const auto read = [&](std::uint32_t from, std::uint64_t above) {
                Proposal run("k", epoch, 1, above, asItIs, true);
                while (run.step() != Proposal::Step::done) {
                    if (run.step() == Proposal::Step::lost)
                        run = Proposal("k", epoch, 1, run.highestRound(), asItIs, false);
                    const auto request = run.request();
                    const auto step = run.step();
                    for (std::uint32_t at = 0; at < 3; ++at) {
                        std::optional<Update> update;
                        const auto reply = copies[(from + at) % 3].evaluate(request, update);
                        if (update) copies[(from + at) % 3].apply(*update);
                        run.handleReply((from + at) % 3, step, reply);
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
    // A member of the new epoch whose disk took the seal of the old one and then no more refuses at once, as
    // the first to answer: the others are a majority all the same.
    void sealedBefore() {
        const Epoch two{2, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        Proposal run(
            "k", two, 1, 0, [](const std::string&) { return "new"; }, false);
        const auto refusal = [](std::uint64_t epoch, bool sealed) {
            Reply reply;
            reply.rejected = true, reply.epoch = epoch, reply.sealed = sealed;
            return reply;
        };
        Reply taken;
        taken.accepted = true;
        while (run.step() != Proposal::Step::done) {
            const auto step = run.step();
            CPPUNIT_ASSERT(!run.handleReply(0, step, refusal(1, true)));
            CPPUNIT_ASSERT(!run.handleReply(1, step, taken));
            CPPUNIT_ASSERT(run.handleReply(2, step, taken));
        }
        // Sealed in its own epoch, or further on: nothing more to win.
        for (const auto& reply : {refusal(2, true), refusal(3, false)}) {
            Proposal other(
                "k", two, 1, 0, [](const std::string&) { return "new"; }, false);
            CPPUNIT_ASSERT(other.handleReply(0, Proposal::Step::prepare, reply));
            CPPUNIT_ASSERT(other.step() == Proposal::Step::lost);
        }
    }
    // A body that one disk took in an old epoch, and nobody ended with, does not come back above a later one
    // when its disk is a member again: the transfer lifts a key's ballots also where it finds only promises.
    void lowBallotsStayBelow() {
        const Epoch one{1, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        const Epoch two{2, {{"c", "1", "", ""}, {"d", "1", "", ""}, {"e", "1", "", ""}}};
        std::map<std::string, Acceptor> copies;
        for (const auto* name : {"a", "b", "c", "d", "e"}) {
            copies.emplace(name, Acceptor(name, "1"));
            if (name[0] < 'd') copies.at(name).apply({{}, EpochState{one, true, {}, {}}});
        }
        const auto ask = [&](const std::string& name, const Request& request) {
            std::optional<Update> update;
            auto& copy = copies.at(name);
            const auto reply = copy.evaluate(request, update);
            if (update) copy.apply(*update);
            return reply;
        };
        Request request;
        request.epoch = 1, request.key = "k", request.proposalNumber = {100, 1};
        request.kind = Request::Kind::prepare;
        for (const auto* name : {"a", "b", "c"}) CPPUNIT_ASSERT(ask(name, request).accepted);
        request.kind = Request::Kind::accept, request.value = "old";
        CPPUNIT_ASSERT(ask("a", request).accepted);  // and nobody else hears of it
        Reconfiguration succession(one, two, 2);
        for (int turn = 0; turn < 20 && succession.step() != Reconfiguration::Step::done; ++turn) {
            const auto requests = succession.requests();
            const auto step = succession.step();
            const auto asked = succession.targetEpoch();
            for (const auto& each : requests) {
                const auto run = succession.proposals().find(each.key);
                const auto inRun =
                    run == succession.proposals().end() ? Proposal::Step::read : run->second.step();
                for (std::uint32_t at = 0; at < asked.members.size(); ++at) {
                    const auto& name = asked.members[at].address;
                    if (name == "a" || (name == "c" && step != Reconfiguration::Step::seal))
                        continue;  // cut off
                    succession.handleReply(at, step, each.key, inRun, ask(name, each));
                }
            }
        }
        CPPUNIT_ASSERT(succession.step() == Reconfiguration::Step::done);
        Proposal later(
            "k", two, 3, 0, [](const std::string&) { return "new"; }, false);
        for (int turn = 0; turn < 9 && later.step() != Proposal::Step::done; ++turn) {
            if (later.step() == Proposal::Step::lost)
                later = Proposal(
                    "k", two, 3, later.highestRound(), [](const std::string&) { return "new"; }, false);
            const auto step = later.step();
            const auto asked = later.request();
            for (std::uint32_t at = 1; at < 3; ++at)
                later.handleReply(at, step, ask(two.members[at].address, asked));
        }
        CPPUNIT_ASSERT(later.step() == Proposal::Step::done);
        CPPUNIT_ASSERT(later.proposalNumber() > copies.at("a").state("k").accepted);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RegisterTest);
