// Replicas on stalled and full disks and with high network latency; dialers that are dropped at once.
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
    // With one stalled disk the two others are a majority, also for writes through the node of the stalled
    // disk. With two stalled disks no write may be acknowledged or learned. Afterwards all nodes must agree
    // on whether the unacknowledged write took effect.
    void acknowledgesOnlyWithAMajorityOfDisks() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one", 3 * kSecond));
        auto& stalled = cluster.disks[1];
        stalled.set(stalled.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(0, "two", 3 * kSecond));
        cluster.until("the disk stalls", [&] { return stalled.pendingWrites() >= 1; });  // in a write
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.write(1, "three", 3 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.read(1));
        auto& second = cluster.disks[2];
        second.set(second.hangs, true);
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(0, "four", 150 * kMillisecond));
        for (const auto& node : cluster.nodes)
            for (const auto& value : node->learnedValues) CPPUNIT_ASSERT(value != "four");
        stalled.set(stalled.hangs, false), second.set(second.hangs, false);
        const auto after = cluster.read(1);  // "four" may be in force or not, but all nodes must agree
        CPPUNIT_ASSERT(after == "three" || after == "four");
        CPPUNIT_ASSERT_EQUAL(after, cluster.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), cluster.write(2, "five", 3 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("five"), cluster.read(0));
    }

    // With high latency between all replicas, nodes that read a pending value must not keep a write from
    // succeeding. Each write is tried once, with the timeout of an admin request.
    void completesWritesBetweenDistantMembers() {
        Cluster cluster(6, 6);
        for (const auto& node : cluster.nodes) node->messageDelay = 12 * kMillisecond;
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        for (int round = 0; round < 20; ++round) {
            const auto value = std::to_string(round);
            CPPUNIT_ASSERT_EQUAL(value, cluster.write(round % 6, value, 900 * kMillisecond));
        }
        cluster.until("all nodes know the last value", [&] {
            return std::all_of(cluster.nodes.begin(), cluster.nodes.end(), [](const auto& node) {
                return node->replica->known(control_plane::kConfigurationKey).value == "19";
            });
        });
    }

    // A dialer that is stopped before its first task runs, as when two lists of members arrive in a row, must
    // still end.
    void endsADialerDroppedAtOnce() {
        asio::io_context io{1};
        tcp::acceptor acceptor(listen(io, "127.0.0.1:0"));
        auto owner = std::make_shared<PeerConnection::Callbacks>();
        std::weak_ptr<Dialer> observed;
        {
            const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            auto dialer = std::make_shared<Dialer>(io, address, owner);
            observed = dialer;
            dialer->start(), dialer->stop();
        }
        CPPUNIT_ASSERT(!observed.expired());  // its task has not run yet
        io.run_for(std::chrono::seconds(8));
        CPPUNIT_ASSERT(io.stopped());
        CPPUNIT_ASSERT(observed.expired());
    }

    // A full disk sends no replies. With another stalled disk there is no majority, so a write must not be
    // acknowledged; once the disk has room again, it must be.
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
