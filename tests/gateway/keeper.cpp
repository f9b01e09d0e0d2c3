// Three keepers of the register over real links in one thread, each on a scripted disk that hangs, is full,
// or comes back with nothing.
#include "prompter/keeper.hpp"

#include <condition_variable>
#include <mutex>

#include "transcript.hpp"

using namespace lichenlanding;
using namespace lichenlanding::wings;
using prompter::Keeper;

namespace {

struct Disk {
    std::mutex lock;
    std::condition_variable turned;
    bool hangs = false, full = false;
    int writes = 0, waiting = 0;
    std::map<std::string, reg::Cell> cells;
    std::map<std::string, std::string> notes;

    void set(bool& what, bool value) {
        std::lock_guard hold(lock);
        what = value, turned.notify_all();
    }
    int held() {
        std::lock_guard hold(lock);
        return waiting;
    }
};

struct ScriptedBook final : promptbook::Book {
    explicit ScriptedBook(Disk& disk_) : disk(disk_) {}
    std::map<std::string, reg::Cell> cells() const override { return disk.cells; }
    std::string note(const std::string& name) const override {
        const auto at = disk.notes.find(name);
        return at == disk.notes.end() ? "" : at->second;
    }
    void write(const std::map<std::string, reg::Cell>& cells,
               const std::map<std::string, std::string>& notes) override {
        std::unique_lock hold(disk.lock);
        ++disk.waiting;
        disk.turned.wait(hold, [&] { return !disk.hangs; });
        --disk.waiting;
        if (disk.full) throw promptbook::DiskError("scripted: no space left");
        ++disk.writes;
        for (const auto& [key, cell] : cells) disk.cells[key] = cell;
        for (const auto& [name, note] : notes) disk.notes[name] = note;
    }
    Disk& disk;
};

struct Member {
    Member(asio::io_context& io_, const std::string& ip, int port, Disk& disk_, bool bootstrap)
        : io(io_), disk(disk_) {
        boot.name = ip, boot.ip = ip, boot.internalPorts = {port}, boot.machinesLost = 1,
        boot.bootstrap = bootstrap;
        keeper = std::make_unique<Keeper>(
            io, boot, [this](const std::string& key) { told.push_back(keeper->known(key).value); },
            [this](bool) { return std::make_unique<ScriptedBook>(disk); });
        owner = std::make_shared<Link::Owner>();
        owner->greet = [this](Link&) {
            auto hello = keeper->greeting();
            hello.update({{"t", "hello"}, {"at", at()}});
            return hello;
        };
        owner->heard = [this](Link& link, const Json& message) {
            if (message.at("t") != "hello") return void(keeper->heard(link, message));
            message.at("at").get_to(link.peer);
            const auto dialer = dialers.find(link.peer);
            if (dialer != dialers.end() && dialer->second->link().get() == &link)
                keeper->joined(link.peer, link.shared_from_this());
            keeper->greeted(message);
        };
        owner->closed = [this](Link& link) { keeper->parted(link.peer); };
        door = std::make_unique<tcp::acceptor>(listen(io, at()));
        keeper->open();
        start(io, "links", serveLinks(io, *door, owner));
        start(io, "tend", keeper->tend());
    }
    std::string at() const { return boot.internal(boot.ip); }
    void dial(const std::string& address) {
        dialers[address] = std::make_shared<Dialer>(io, address, owner);
        dialers[address]->go();
    }

    asio::io_context& io;
    Disk& disk;
    playbill::Boot boot;
    std::unique_ptr<Keeper> keeper;
    std::shared_ptr<Link::Owner> owner;
    std::map<std::string, std::shared_ptr<Dialer>> dialers;
    std::unique_ptr<tcp::acceptor> door;
    std::vector<std::string> told;
};

struct Trio {
    Trio() {
        {
            tcp::acceptor free(listen(io, "127.0.0.1:0"));
            port = free.local_endpoint().port();
        }
        for (int at = 0; at < 3; ++at)
            members.push_back(
                std::make_unique<Member>(io, "127.0.3." + std::to_string(at + 1), port, disks[at], true));
        for (auto& one : members)
            for (auto& other : members)
                if (one != other) one->dial(other->at());
        until([&] {
            return std::all_of(members.begin(), members.end(), [](const auto& member) {
                return member->keeper->formed() && !member->keeper->blank() && member->keeper->reached() == 2;
            });
        });
    }
    ~Trio() {
        for (auto& disk : disks) disk.set(disk.hangs, false);
        io.stop();
    }
    template <typename Done>
    void until(Done done) {
        for (int turns = 0; !done(); ++turns) {
            CPPUNIT_ASSERT_MESSAGE("nothing happens any more", io.run_one_for(std::chrono::seconds(8)) > 0);
            CPPUNIT_ASSERT(turns < 200'000);
        }
    }
    // What a write of `value` at this member ends with; "-": no majority in time.
    std::string write(int at, const std::string& value, Nanos within) {
        std::optional<std::string> ended;
        bool done = false;
        start(io, "write",
              [](Keeper& keeper, std::string value_, Nanos within_, std::optional<std::string>& ended_,
                 bool& done_) -> Task<> {
                  const reg::Change put = [value_](const std::string&) { return value_; };
                  ended_ = co_await keeper.change(prompter::configurationKey, put, within_);
                  done_ = true;
              }(*members[at]->keeper, value, within, ended, done));
        until([&] { return done; });
        return ended.value_or("-");
    }
    std::string read(int at) {
        std::optional<std::string> ended;
        bool done = false;
        start(io, "read", [](Keeper& keeper, std::optional<std::string>& ended_, bool& done_) -> Task<> {
            ended_ = co_await keeper.read(prompter::configurationKey, second);
            done_ = true;
        }(*members[at]->keeper, ended, done));
        until([&] { return done; });
        return ended.value_or("-");
    }

    asio::io_context io{1};
    int port = 0;
    std::array<Disk, 3> disks;
    std::vector<std::unique_ptr<Member>> members;
};

}  // namespace

class KeeperTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeeperTest);
    CPPUNIT_TEST(hangs);
    CPPUNIT_TEST(full);
    CPPUNIT_TEST(droppedAtOnce);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A disk hangs in the middle of a write: the two others are a majority, also for writes by its own
    // prompter. While two hang nothing is acknowledged, and what was written to one only may not be lost or
    // told.
    void hangs() {
        Trio trio;
        CPPUNIT_ASSERT_EQUAL(std::string("one"), trio.write(0, "one", 3 * second));
        auto& stuck = trio.disks[1];
        stuck.set(stuck.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), trio.write(0, "two", 3 * second));
        trio.until([&] { return stuck.held() == 1; });  // in the middle of it
        CPPUNIT_ASSERT_EQUAL(std::string("three"), trio.write(1, "three", 3 * second));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), trio.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), trio.read(1));
        auto& second_ = trio.disks[2];
        second_.set(second_.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), trio.write(0, "four", 150 * ms));
        for (const auto& member : trio.members)
            for (const auto& told : member->told) CPPUNIT_ASSERT(told != "four");
        stuck.set(stuck.hangs, false), second_.set(second_.hangs, false);
        const auto after = trio.read(1);  // it may have come into force or not, but then for all
        CPPUNIT_ASSERT(after == "three" || after == "four");
        CPPUNIT_ASSERT_EQUAL(after, trio.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), trio.write(2, "five", 3 * second));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), trio.read(0));
    }

    // A dialer that is dropped before its turn has come, as when two rosters follow each other.
    void droppedAtOnce() {
        asio::io_context io{1};
        tcp::acceptor door(listen(io, "127.0.0.1:0"));
        auto owner = std::make_shared<Link::Owner>();
        std::weak_ptr<Dialer> seen;
        {
            const auto address = "127.0.0.1:" + std::to_string(door.local_endpoint().port());
            auto dialer = std::make_shared<Dialer>(io, address, owner);
            seen = dialer;
            dialer->go(), dialer->stop();
        }
        CPPUNIT_ASSERT(!seen.expired());  // its turn is still to come
        io.run_for(std::chrono::seconds(8));
        CPPUNIT_ASSERT(io.stopped());
        CPPUNIT_ASSERT(seen.expired());
    }

    // A full disk gives no word; with another one that hangs there is no 200, and with room again there is.
    void full() {
        Trio trio;
        auto& first = trio.disks[0];
        first.set(first.full, true);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), trio.write(0, "one", 3 * second));
        trio.disks[2].set(trio.disks[2].hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), trio.write(1, "two", 150 * ms));
        first.set(first.full, false);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), trio.write(1, "two", 3 * second));
        CPPUNIT_ASSERT(first.cells.contains(prompter::configurationKey));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeeperTest);
