// Keepers of the register on disks that hang or are full, and links that are dropped at once.
#include "support/replica_node_fixture.hpp"

using namespace keeper_stage;

class KeeperTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeeperTest);
    CPPUNIT_TEST(hangs);
    CPPUNIT_TEST(full);
    CPPUNIT_TEST(droppedAtOnce);
    CPPUNIT_TEST(farApart);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A disk hangs in the middle of a write: the two others are a majority, also for writes by its own
    // control node. While two hang nothing is acknowledged, and what was written to one only may not be lost
    // or told.
    void hangs() {
        Cast trio(3, 3);
        trio.until("all are in contact", [&] { return trio.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), trio.write(0, "one", 3 * kSecond));
        auto& stuck = trio.disks[1];
        stuck.set(stuck.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), trio.write(0, "two", 3 * kSecond));
        trio.until("the disk hangs", [&] { return stuck.held() >= 1; });  // in the middle of it
        CPPUNIT_ASSERT_EQUAL(std::string("three"), trio.write(1, "three", 3 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), trio.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), trio.read(1));
        auto& second_ = trio.disks[2];
        second_.set(second_.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), trio.write(0, "four", 150 * kMillisecond));
        for (const auto& member : trio.members)
            for (const auto& told : member->told) CPPUNIT_ASSERT(told != "four");
        stuck.set(stuck.hangs, false), second_.set(second_.hangs, false);
        const auto after = trio.read(1);  // it may have come into force or not, but then for all
        CPPUNIT_ASSERT(after == "three" || after == "four");
        CPPUNIT_ASSERT_EQUAL(after, trio.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), trio.write(2, "five", 3 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), trio.read(0));
    }

    // Members and those that stand by are far apart: those that read what is being written don't get in its
    // way for ever. Each write is asked for once, with the time that an operator's order has.
    void farApart() {
        Cast cast(6, 6);
        for (const auto& member : cast.members) member->away = 12 * kMillisecond;
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        for (int round = 0; round < 20; ++round) {
            const auto value = std::to_string(round);
            CPPUNIT_ASSERT_EQUAL(value, cast.write(round % 6, value, 900 * kMillisecond));
        }
        cast.until("all know the last", [&] {
            return std::all_of(cast.members.begin(), cast.members.end(), [](const auto& member) {
                return member->replica->known(control_plane::kConfigurationKey).value == "19";
            });
        });
    }

    // A dialer that is dropped before its turn has come, as when two rosters follow each other.
    void droppedAtOnce() {
        asio::io_context io{1};
        tcp::acceptor door(listen(io, "127.0.0.1:0"));
        auto owner = std::make_shared<PeerConnection::Callbacks>();
        std::weak_ptr<Dialer> seen;
        {
            const auto address = "127.0.0.1:" + std::to_string(door.local_endpoint().port());
            auto dialer = std::make_shared<Dialer>(io, address, owner);
            seen = dialer;
            dialer->start(), dialer->stop();
        }
        CPPUNIT_ASSERT(!seen.expired());  // its turn is still to come
        io.run_for(std::chrono::seconds(8));
        CPPUNIT_ASSERT(io.stopped());
        CPPUNIT_ASSERT(seen.expired());
    }

    // A full disk gives no word; with another one that hangs there is no 200, and with room again there is.
    void full() {
        Cast trio(3, 3);
        trio.until("all are in contact", [&] { return trio.hasQuorumContact({0, 1, 2}); });
        auto& first = trio.disks[0];
        first.set(first.full, true);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), trio.write(0, "one", 3 * kSecond));
        trio.disks[2].set(trio.disks[2].hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), trio.write(1, "two", 150 * kMillisecond));
        first.set(first.full, false);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), trio.write(1, "two", 3 * kSecond));
        CPPUNIT_ASSERT(first.cells.contains(control_plane::kConfigurationKey));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeeperTest);
