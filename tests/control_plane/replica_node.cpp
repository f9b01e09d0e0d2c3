// Replicas on disks that hang or are full, far apart, and connections that are dropped at once.
#include "support/replica_node_fixture.hpp"

using namespace replica_fixture;

class ReplicaNodeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReplicaNodeTest);
    CPPUNIT_TEST(acknowledgesOnlyWithAMajorityOfDisks);
    CPPUNIT_TEST(givesNoReplyFromAFullDisk);
    CPPUNIT_TEST(endsADialerDroppedAtOnce);
    CPPUNIT_TEST(completesWritesBetweenDistantMembers);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A disk hangs in the middle of a write: the two others are a majority, also for writes by its own
    // control node. While two hang nothing is acknowledged, and what was written to one only may not be lost
    // or told.
    void acknowledgesOnlyWithAMajorityOfDisks() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one", 3 * kSecond));
        auto& stuck = cluster.disks[1];
        stuck.set(stuck.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(0, "two", 3 * kSecond));
        cluster.until("the disk hangs", [&] { return stuck.pendingWrites() >= 1; });  // in the middle of it
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.write(1, "three", 3 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.read(1));
        auto& second = cluster.disks[2];
        second.set(second.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(0, "four", 150 * kMillisecond));
        for (const auto& node : cluster.nodes)
            for (const auto& told : node->learnedValues) CPPUNIT_ASSERT(told != "four");
        stuck.set(stuck.hangs, false), second.set(second.hangs, false);
        const auto after = cluster.read(1);  // it may have come into force or not, but then for all
        CPPUNIT_ASSERT(after == "three" || after == "four");
        CPPUNIT_ASSERT_EQUAL(after, cluster.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), cluster.write(2, "five", 3 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), cluster.read(0));
    }

    // Members and the spares are far apart: those that read what is being written don't get in its
    // way for ever. Each write is asked for once, with the time that an operator's order has.
    void completesWritesBetweenDistantMembers() {
        Cluster cluster(6, 6);
        for (const auto& node : cluster.nodes) node->messageDelay = 12 * kMillisecond;
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        for (int round = 0; round < 20; ++round) {
            const auto value = std::to_string(round);
            CPPUNIT_ASSERT_EQUAL(value, cluster.write(round % 6, value, 900 * kMillisecond));
        }
        cluster.until("all know the last", [&] {
            return std::all_of(cluster.nodes.begin(), cluster.nodes.end(), [](const auto& node) {
                return node->replica->known(control_plane::kConfigurationKey).value == "19";
            });
        });
    }

    // A dialer that is dropped before its turn has come, as when two member lists follow each other.
    void endsADialerDroppedAtOnce() {
        asio::io_context io{1};
        tcp::acceptor acceptor(listen(io, "127.0.0.1:0"));
        auto owner = std::make_shared<PeerConnection::Callbacks>();
        std::weak_ptr<Dialer> seen;
        {
            const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
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
    void givesNoReplyFromAFullDisk() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        auto& first = cluster.disks[0];
        first.set(first.full, true);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one", 3 * kSecond));
        cluster.disks[2].set(cluster.disks[2].hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(1, "two", 150 * kMillisecond));
        first.set(first.full, false);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(1, "two", 3 * kSecond));
        CPPUNIT_ASSERT(first.registerStates.contains(control_plane::kConfigurationKey));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaNodeTest);
