// A store on a disk that crashes at any step, forgets what was not synced, is full or broken, and a real one
// whose process is killed. The invariant: after a crash all files of a step are as before it or as after it,
// and never older than what commit() has reported as lasting.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <map>
#include <random>
#include <set>

#include "store/transactional_directory.hpp"
#include "support/trace.hpp"

using namespace lichenlanding::store;

namespace {

// Names and what they point to, in memory and on the platter. A crash keeps, of the names changed since the
// last sync, any that chance picks, each by itself; of a file that was being written, a part, or noise.
class CrashingDisk : public Disk {
  public:
    explicit CrashingDisk(std::uint32_t seed) : chance(seed) {}

    struct Crash {};
    std::mt19937 chance;
    int stepsLeft = -1;           // until it crashes; below 0: never
    std::size_t room = SIZE_MAX;  // bytes that fit
    bool broken = false;          // every change fails
    int steps = 0;

    bool write(const std::string& name, std::string_view bytes) override {
        if (broken) return fails("broken");
        if (bytes.size() > room) {
            now_[name] = std::string(bytes.substr(0, room));
            dirty_.insert(name);
            return fails("no space left");
        }
        now_[name] = std::string(bytes.substr(0, chance() % (bytes.size() + 1)));
        dirty_.insert(name);
        step();  // in the middle of it
        now_[name] = std::string(bytes);
        dirty_.insert(name);
        step();
        return true;
    }
    bool rename(const std::string& from, const std::string& to) override {
        if (broken || !now_.contains(from)) return fails("broken");
        now_[to] = now_.at(from);
        now_.erase(from);
        dirty_.insert(from);
        dirty_.insert(to);
        step();
        return true;
    }
    bool remove(const std::string& name) override {
        if (broken) return fails("broken");
        now_.erase(name);
        dirty_.insert(name);
        step();
        return true;
    }
    bool sync() override {
        if (broken) return fails("broken");
        step();
        platter_ = now_;
        dirty_.clear();
        step();
        return true;
    }
    std::optional<std::string> read(const std::string& name) const override {
        const auto found = now_.find(name);
        return found == now_.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<std::string> list() const override {
        std::vector<std::string> all;
        for (const auto& [name, bytes] : now_) all.push_back(name);
        return all;
    }
    std::string lastError() const override { return lastError_; }

    void restart() {
        for (const auto& name : dirty_) {
            if (chance() % 2) continue;  // this change has not reached the platter
            if (const auto found = now_.find(name); found != now_.end()) platter_[name] = found->second;
            else platter_.erase(name);
        }
        now_ = platter_;
        dirty_.clear();
        stepsLeft = -1;
    }
    // The same without loss, as after a kill of the process alone.
    void killed() {
        platter_ = now_;
        dirty_.clear();
        stepsLeft = -1;
    }

  private:
    void step() {
        ++steps;
        if (stepsLeft >= 0 && stepsLeft-- == 0) throw Crash();
    }
    bool fails(const char* why) {
        lastError_ = why;
        return false;
    }
    std::map<std::string, std::string> now_, platter_;
    std::set<std::string> dirty_;
    std::string lastError_;
};

const std::vector<std::string> kNames = {"root.json", "timestamp.json", "snapshot.json",
                                         "root_history/1.root.json"};

// Step n brings some files to version n, and takes some away: which, is told by n alone.
Transaction stepOf(int version, std::uint32_t seed) {
    std::mt19937 chance(seed * 1000 + static_cast<std::uint32_t>(version));
    Transaction step;
    for (const auto& name : kNames)
        if (chance() % 2 || (step.empty() && name == kNames.back())) {
            const std::string bytes = std::to_string(version) + " " + std::string(chance() % 300, 'x');
            step.emplace_back(name, chance() % 5 ? std::optional(bytes) : std::nullopt);
        }
    return step;
}

using State = std::map<std::string, std::string>;

void apply(State& state, const Transaction& step) {
    for (const auto& [name, bytes] : step) {
        if (bytes) state[name] = *bytes;
        else state.erase(name);
    }
}

State stateOf(const TransactionalDirectory& folder) {
    State state;
    for (const auto& name : kNames)
        if (const auto bytes = folder.read(name)) state[name] = *bytes;
    return state;
}

}  // namespace

TEST_CASE("a crash at every step of a store leaves the state before or after, thousands of times") {
    int crashes = 0;
    int before = 0;
    int after = 0;
    int again = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CrashingDisk counting(seed);
        int all = 0;
        {
            TransactionalDirectory folder(counting);
            for (int version = 1; version <= 4; ++version) REQUIRE(!folder.commit(stepOf(version, seed)));
            all = counting.steps;
        }
        for (int at = 0; at < all; ++at)
            for (const bool loses : {true, false}) {
                CrashingDisk disk(seed * 7919 + static_cast<std::uint32_t>(at));
                State lasting;
                State next;
                disk.stepsLeft = at;
                try {
                    TransactionalDirectory folder(disk);
                    for (int version = 1; version <= 4; ++version) {
                        const auto step = stepOf(version, seed);
                        next = lasting;
                        apply(next, step);
                        const auto error = folder.commit(step);  // a crash leaves from within
                        REQUIRE(!error);
                        lasting = next;
                    }
                } catch (const CrashingDisk::Crash&) {
                    ++crashes;
                }
                // Half of the time it crashes again, while it recovers.
                loses ? disk.restart() : disk.killed();
                if (disk.chance() % 2) {
                    disk.stepsLeft = static_cast<int>(disk.chance() % 6);
                    try {
                        TransactionalDirectory folder(disk);
                    } catch (const CrashingDisk::Crash&) {
                        ++again;
                    }
                    loses ? disk.restart() : disk.killed();
                }
                TransactionalDirectory folder(disk);
                REQUIRE(!folder.openError());
                const auto found = stateOf(folder);
                REQUIRE((found == lasting || found == next));
                (found == lasting ? before : after) += 1;
                // And it goes on from there.
                const auto step = stepOf(9, seed);
                auto wanted = found;
                apply(wanted, step);
                REQUIRE(!folder.commit(step));
                REQUIRE(stateOf(folder) == wanted);
                for (const auto& name : disk.list()) REQUIRE(!TransactionalDirectory::isReserved(name));
            }
    }
    MESSAGE("crashes " << crashes << ", again while recovering " << again << ": state before " << before
                       << ", after " << after);
    CHECK(crashes > 5000);
    CHECK(again > 500);
    CHECK(before > 500);
    CHECK(after > 500);
}

TEST_CASE("a full or a broken disk changes nothing, and says why") {
    for (std::size_t room = 0; room < 400; room += 7) {
        CrashingDisk disk(3);
        TransactionalDirectory folder(disk);
        REQUIRE(!folder.commit({{"root.json", "1"}, {"timestamp.json", "1"}}));
        const auto before = stateOf(folder);
        disk.room = room;
        const Transaction step{{"root.json", std::string(200, 'r')},
                               {"timestamp.json", std::string(150, 't')}};
        if (const auto error = folder.commit(step)) {
            CHECK(error->text == "nothing was changed: no space left");
            CHECK(stateOf(folder) == before);
        } else {
            CHECK(stateOf(folder).at("timestamp.json") == std::string(150, 't'));
        }
        disk.room = SIZE_MAX;
        REQUIRE(!folder.commit({{"root.json", "3"}}));
        CHECK(stateOf(folder).at("root.json") == "3");
        for (const auto& name : disk.list()) CHECK(!TransactionalDirectory::isReserved(name));
    }
    CrashingDisk disk(4);
    TransactionalDirectory folder(disk);
    REQUIRE(!folder.commit({{"root.json", "1"}}));
    disk.broken = true;
    const auto error = folder.commit({{"root.json", "2"}});
    REQUIRE(error);
    CHECK(error->text == "nothing was changed: broken");
    CHECK(folder.read("root.json") == "1");
    // The journal stands, and carrying it out fails: reading is of the new state, and so is the next
    // opening's.
    disk.broken = false;
    CHECK_THROWS_AS((void)folder.commit({{".journal", "x"}}), std::invalid_argument);
}

TEST_CASE("a step whose journal stands has happened, though its files cannot be written yet") {
    CrashingDisk disk(5);
    std::string journal;
    {
        TransactionalDirectory folder(disk);
        REQUIRE(!folder.commit({{"root.json", "1"}, {"snapshot.json", "1"}}));
        disk.stepsLeft = 5;  // behind the journal's rename and sync
        CHECK_THROWS_AS((void)folder.commit({{"root.json", "2"}, {"snapshot.json", std::nullopt}}),
                        CrashingDisk::Crash);
    }
    disk.killed();
    disk.broken = true;
    TransactionalDirectory held(disk);
    REQUIRE(held.openError());
    CHECK(held.read("root.json") == "2");
    CHECK(!held.read("snapshot.json"));
    CHECK(held.commit({{"root.json", "3"}}).has_value());
    disk.broken = false;
    REQUIRE(!held.commit({{"root.json", "3"}}));
    CHECK(held.read("root.json") == "3");
    CHECK(!held.read("snapshot.json"));
}

TEST_CASE("a process killed while it stores leaves one state whole") {
    const auto path =
        std::filesystem::temp_directory_path() / ("lichenlanding-kill-" + std::to_string(getpid()));
    std::mt19937 chance(6);
    int last = 0;
    int moved = 0;
    for (int round = 0; round < 60; ++round) {
        const pid_t child = fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            PosixDisk disk(path.string());
            if (disk.open() != PosixDisk::OpenStatus::opened) _exit(3);
            TransactionalDirectory folder(disk);
            const auto at = folder.read("root.json");
            for (int version = at ? std::atoi(at->c_str()) + 1 : 1;; ++version) {
                const auto text = std::to_string(version);
                if (folder.commit({{"root.json", text},
                                   {"root_history/" + std::to_string(version % 3), text},
                                   {"timestamp.json", text}}))
                    _exit(4);
            }
        }
        usleep(static_cast<useconds_t>(1000 + chance() % 9000));
        kill(child, SIGKILL);
        int status = 0;
        REQUIRE(waitpid(child, &status, 0) == child);
        CHECK(WIFSIGNALED(status));
        PosixDisk disk(path.string());
        REQUIRE(disk.open() == PosixDisk::OpenStatus::opened);
        TransactionalDirectory folder(disk);
        REQUIRE(!folder.openError());
        const auto root = folder.read("root.json");
        if (!root) continue;
        const int version = std::atoi(root->c_str());
        CHECK(folder.read("timestamp.json") == root);
        CHECK(folder.read("root_history/" + std::to_string(version % 3)) == root);
        CHECK(version >= last);
        moved += version > last;
        last = version;
    }
    CHECK(moved > 0);
    std::filesystem::remove_all(path);
}

TEST_CASE("two on one folder: the second is refused, and the folder of a file is no folder") {
    const auto path =
        std::filesystem::temp_directory_path() / ("lichenlanding-two-" + std::to_string(getpid()));
    {
        PosixDisk one(path.string());
        PosixDisk two(path.string());
        REQUIRE(one.open() == PosixDisk::OpenStatus::opened);
        CHECK(two.open() == PosixDisk::OpenStatus::busy);
        REQUIRE(one.write("a", "x"));
        PosixDisk below((path / "a").string());
        CHECK(below.open() == PosixDisk::OpenStatus::failed);
    }
    PosixDisk three(path.string());
    CHECK(three.open() == PosixDisk::OpenStatus::opened);
    std::filesystem::remove_all(path);
}
