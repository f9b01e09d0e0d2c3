// Atomicity and durability of the transactional directory: on a simulated disk that crashes at any operation,
// loses what was not synced, is full or fails, and on a real disk whose process is killed. Invariant: after a
// crash all files of a transaction are as before it or all as after it, and never older than the last
// transaction that commit() reported as durable.
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

// Holds the current files and those that survive a crash. Of the names changed since the last sync, restart()
// keeps each one or not at random. A crash within write() leaves a part of the file.
class CrashingDisk : public Disk {
  public:
    explicit CrashingDisk(std::uint32_t seed) : random(seed) {}

    struct Crash {};
    std::mt19937 random;
    int stepsUntilCrash = -1;         // below 0: never crashes
    std::size_t capacity = SIZE_MAX;  // most bytes in one file
    bool broken = false;              // every change fails
    int steps = 0;

    bool write(const std::string& name, std::string_view bytes) override {
        if (broken) return recordError("broken");
        if (bytes.size() > capacity) {
            current_[name] = std::string(bytes.substr(0, capacity));
            dirty_.insert(name);
            return recordError("no space left");
        }
        current_[name] = std::string(bytes.substr(0, random() % (bytes.size() + 1)));
        dirty_.insert(name);
        step();  // a crash here leaves a partial file
        current_[name] = std::string(bytes);
        dirty_.insert(name);
        step();
        return true;
    }
    bool rename(const std::string& from, const std::string& to) override {
        if (broken || !current_.contains(from)) return recordError("broken");
        current_[to] = current_.at(from);
        current_.erase(from);
        dirty_.insert(from);
        dirty_.insert(to);
        step();
        return true;
    }
    bool remove(const std::string& name) override {
        if (broken) return recordError("broken");
        current_.erase(name);
        dirty_.insert(name);
        step();
        return true;
    }
    bool sync() override {
        if (broken) return recordError("broken");
        step();
        durable_ = current_;
        dirty_.clear();
        step();
        return true;
    }
    std::optional<std::string> read(const std::string& name) const override {
        const auto found = current_.find(name);
        return found == current_.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<std::string> list() const override {
        std::vector<std::string> all;
        for (const auto& [name, bytes] : current_) all.push_back(name);
        return all;
    }
    std::string lastError() const override { return lastError_; }

    void restart() {
        for (const auto& name : dirty_) {
            if (random() % 2) continue;  // this change is lost
            if (const auto found = current_.find(name); found != current_.end())
                durable_[name] = found->second;
            else durable_.erase(name);
        }
        current_ = durable_;
        dirty_.clear();
        stepsUntilCrash = -1;
    }
    // As after a kill of the process alone: nothing is lost.
    void restartWithoutLoss() {
        durable_ = current_;
        dirty_.clear();
        stepsUntilCrash = -1;
    }

  private:
    void step() {
        ++steps;
        if (stepsUntilCrash >= 0 && stepsUntilCrash-- == 0) throw Crash();
    }
    bool recordError(const char* error) {
        lastError_ = error;
        return false;
    }
    std::map<std::string, std::string> current_, durable_;
    std::set<std::string> dirty_;
    std::string lastError_;
};

const std::vector<std::string> kNames = {"root.json", "timestamp.json", "snapshot.json",
                                         "root_history/1.root.json"};

// Transaction n sets some files to version n and removes others; the choice depends on n and the seed alone.
Transaction transactionOf(int version, std::uint32_t seed) {
    std::mt19937 random(seed * 1000 + static_cast<std::uint32_t>(version));
    Transaction transaction;
    for (const auto& name : kNames)
        if (random() % 2 || (transaction.empty() && name == kNames.back())) {
            const std::string bytes = std::to_string(version) + " " + std::string(random() % 300, 'x');
            transaction.emplace_back(name, random() % 5 ? std::optional(bytes) : std::nullopt);
        }
    return transaction;
}

using State = std::map<std::string, std::string>;

void apply(State& state, const Transaction& transaction) {
    for (const auto& [name, bytes] : transaction) {
        if (bytes) state[name] = *bytes;
        else state.erase(name);
    }
}

State stateOf(const TransactionalDirectory& directory) {
    State state;
    for (const auto& name : kNames)
        if (const auto bytes = directory.read(name)) state[name] = *bytes;
    return state;
}

}  // namespace

TEST_CASE("a crash at any disk operation leaves the state before or after the transaction") {
    int crashes = 0;
    int before = 0;
    int after = 0;
    int crashesInRecovery = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CrashingDisk counting(seed);
        int totalSteps = 0;
        {
            TransactionalDirectory directory(counting);
            for (int version = 1; version <= 4; ++version)
                REQUIRE(!directory.commit(transactionOf(version, seed)));
            totalSteps = counting.steps;
        }
        for (int crashStep = 0; crashStep < totalSteps; ++crashStep)
            for (const bool losesUnsynced : {true, false}) {
                CrashingDisk disk(seed * 7919 + static_cast<std::uint32_t>(crashStep));
                State committed;
                State next;
                disk.stepsUntilCrash = crashStep;
                try {
                    TransactionalDirectory directory(disk);
                    for (int version = 1; version <= 4; ++version) {
                        const auto transaction = transactionOf(version, seed);
                        next = committed;
                        apply(next, transaction);
                        const auto error = directory.commit(transaction);  // throws Crash at a crash
                        REQUIRE(!error);
                        committed = next;
                    }
                } catch (const CrashingDisk::Crash&) {
                    ++crashes;
                }
                // Half of the time it crashes again during recovery.
                losesUnsynced ? disk.restart() : disk.restartWithoutLoss();
                if (disk.random() % 2) {
                    disk.stepsUntilCrash = static_cast<int>(disk.random() % 6);
                    try {
                        TransactionalDirectory directory(disk);
                    } catch (const CrashingDisk::Crash&) {
                        ++crashesInRecovery;
                    }
                    losesUnsynced ? disk.restart() : disk.restartWithoutLoss();
                }
                TransactionalDirectory directory(disk);
                REQUIRE(!directory.openError());
                const auto found = stateOf(directory);
                REQUIRE((found == committed || found == next));
                (found == committed ? before : after) += 1;
                // The next transaction succeeds.
                const auto transaction = transactionOf(9, seed);
                auto expected = found;
                apply(expected, transaction);
                REQUIRE(!directory.commit(transaction));
                REQUIRE(stateOf(directory) == expected);
                for (const auto& name : disk.list()) REQUIRE(!TransactionalDirectory::isReserved(name));
            }
    }
    MESSAGE("crashes " << crashes << ", in recovery " << crashesInRecovery << ": state before " << before
                       << ", after " << after);
    CHECK(crashes > 5000);
    CHECK(crashesInRecovery > 500);
    CHECK(before > 500);
    CHECK(after > 500);
}

TEST_CASE("a failed commit on a full or broken disk changes nothing and reports the error") {
    for (std::size_t capacity = 0; capacity < 400; capacity += 7) {
        CrashingDisk disk(3);
        TransactionalDirectory directory(disk);
        REQUIRE(!directory.commit({{"root.json", "1"}, {"timestamp.json", "1"}}));
        const auto before = stateOf(directory);
        disk.capacity = capacity;
        const Transaction transaction{{"root.json", std::string(200, 'r')},
                                      {"timestamp.json", std::string(150, 't')}};
        if (const auto error = directory.commit(transaction)) {
            CHECK(error->text == "nothing was changed: no space left");
            CHECK(stateOf(directory) == before);
        } else {
            CHECK(stateOf(directory).at("timestamp.json") == std::string(150, 't'));
        }
        disk.capacity = SIZE_MAX;
        REQUIRE(!directory.commit({{"root.json", "3"}}));
        CHECK(stateOf(directory).at("root.json") == "3");
        for (const auto& name : disk.list()) CHECK(!TransactionalDirectory::isReserved(name));
    }
    CrashingDisk disk(4);
    TransactionalDirectory directory(disk);
    REQUIRE(!directory.commit({{"root.json", "1"}}));
    disk.broken = true;
    const auto error = directory.commit({{"root.json", "2"}});
    REQUIRE(error);
    CHECK(error->text == "nothing was changed: broken");
    CHECK(directory.read("root.json") == "1");
    disk.broken = false;
    CHECK_THROWS_AS((void)directory.commit({{".journal", "x"}}), std::invalid_argument);
}

TEST_CASE("a transaction in the journal is committed although its files cannot be written yet") {
    CrashingDisk disk(5);
    std::string journal;
    {
        TransactionalDirectory directory(disk);
        REQUIRE(!directory.commit({{"root.json", "1"}, {"snapshot.json", "1"}}));
        disk.stepsUntilCrash = 5;  // after the rename and the sync of the journal
        CHECK_THROWS_AS((void)directory.commit({{"root.json", "2"}, {"snapshot.json", std::nullopt}}),
                        CrashingDisk::Crash);
    }
    disk.restartWithoutLoss();
    disk.broken = true;
    TransactionalDirectory reopened(disk);
    REQUIRE(reopened.openError());
    CHECK(reopened.read("root.json") == "2");
    CHECK(!reopened.read("snapshot.json"));
    CHECK(reopened.commit({{"root.json", "3"}}).has_value());
    disk.broken = false;
    REQUIRE(!reopened.commit({{"root.json", "3"}}));
    CHECK(reopened.read("root.json") == "3");
    CHECK(!reopened.read("snapshot.json"));
}

TEST_CASE("a process killed during commits leaves one consistent state") {
    const auto path =
        std::filesystem::temp_directory_path() / ("lichenlanding-kill-" + std::to_string(getpid()));
    std::mt19937 random(6);
    int lastVersion = 0;
    int advances = 0;
    for (int round = 0; round < 60; ++round) {
        const pid_t child = fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            PosixDisk disk(path.string());
            if (disk.open() != PosixDisk::OpenStatus::opened) _exit(3);
            TransactionalDirectory directory(disk);
            const auto stored = directory.read("root.json");
            for (int version = stored ? std::atoi(stored->c_str()) + 1 : 1;; ++version) {
                const auto text = std::to_string(version);
                if (directory.commit({{"root.json", text},
                                      {"root_history/" + std::to_string(version % 3), text},
                                      {"timestamp.json", text}}))
                    _exit(4);
            }
        }
        usleep(static_cast<useconds_t>(1000 + random() % 9000));
        kill(child, SIGKILL);
        int status = 0;
        REQUIRE(waitpid(child, &status, 0) == child);
        CHECK(WIFSIGNALED(status));
        PosixDisk disk(path.string());
        REQUIRE(disk.open() == PosixDisk::OpenStatus::opened);
        TransactionalDirectory directory(disk);
        REQUIRE(!directory.openError());
        const auto root = directory.read("root.json");
        if (!root) continue;
        const int version = std::atoi(root->c_str());
        CHECK(directory.read("timestamp.json") == root);
        CHECK(directory.read("root_history/" + std::to_string(version % 3)) == root);
        CHECK(version >= lastVersion);
        advances += version > lastVersion;
        lastVersion = version;
    }
    CHECK(advances > 0);
    std::filesystem::remove_all(path);
}

TEST_CASE("a directory that is in use is refused, and so is a path below a file") {
    const auto path =
        std::filesystem::temp_directory_path() / ("lichenlanding-two-" + std::to_string(getpid()));
    {
        PosixDisk first(path.string());
        PosixDisk second(path.string());
        REQUIRE(first.open() == PosixDisk::OpenStatus::opened);
        CHECK(second.open() == PosixDisk::OpenStatus::busy);
        REQUIRE(first.write("a", "x"));
        PosixDisk below((path / "a").string());
        CHECK(below.open() == PosixDisk::OpenStatus::failed);
    }
    PosixDisk afterRelease(path.string());
    CHECK(afterRelease.open() == PosixDisk::OpenStatus::opened);
    std::filesystem::remove_all(path);
}
