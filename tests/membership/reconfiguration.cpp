// Changes of the members: by agreement, after lost disks, disks restored from an old image, network
// partitions, and machines that leave. Real replicas and connections, simulated disks.
#include "membership/codec.hpp"
#include "support/replica_node_fixture.hpp"

using namespace replica_fixture;

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(failsAtOnceWithoutQuorumContact);
    CPPUNIT_TEST(replacesLostMembersOneAfterTheOther);
    CPPUNIT_TEST(opensEpochWithoutAFullDisk);
    CPPUNIT_TEST(returnsAfterAllOthersWereReplaced);
    CPPUNIT_TEST(keepsAMemberThatRestartsLate);
    CPPUNIT_TEST(completesAnAbandonedReconfiguration);
    CPPUNIT_TEST(replacesIdentityOfAnOldImage);
    CPPUNIT_TEST(handsOverMembershipAtStepDown);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A partitioned member fails writes and reads at once, whatever their deadline, while the others
    // continue. After the partition it reads what they wrote meanwhile.
    void failsAtOnceWithoutQuorumContact() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        cluster.nodes[0]->partitioned = true;
        cluster.until("it has lost quorum contact", [&] { return !cluster.replica(0).hasQuorumContact(); });
        // The others notice as well, long before its connections time out.
        const auto silent = cluster.nodes[0]->ownAddress();
        cluster.until("the others receive nothing from it", [&] {
            return !cluster.replica(1).isPeerReachable(silent) && !cluster.replica(2).isPeerReachable(silent);
        });
        CPPUNIT_ASSERT(cluster.replica(1).isPeerReachable(cluster.nodes[2]->ownAddress()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cluster.replica(1).connectedPeerCount());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(0, "lost", 3600 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("-"),
                             cluster.change(
                                 0, [](const std::string& held) { return held; }, 3600 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(1, "two"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"),
                             cluster.replica(0).known(control_plane::kConfigurationKey).value);
        cluster.nodes[0]->partitioned = false;
        cluster.until("it has quorum contact again", [&] { return cluster.replica(0).hasQuorumContact(); });
        // Quorum contact implies a read from a majority since the partition.
        CPPUNIT_ASSERT_EQUAL(std::string("two"),
                             cluster.replica(0).known(control_plane::kConfigurationKey).value);
    }

    // The three first members are killed one after the other, each once a spare has replaced the one before:
    // the first value written can still be read.
    void replacesLostMembersOneAfterTheOther() {
        Cluster cluster(6, 6);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        const auto first = cluster.replica(0).members();
        for (int at = 0; at < 6; ++at) {
            if (!first.contains(cluster.nodes[at]->ownAddress())) continue;
            const auto epoch = cluster.replica(at).epoch().number;
            const auto gone = cluster.nodes[at]->ownAddress();
            cluster.nodes[at]->kill();
            int witness = -1;
            for (int other = 0; other < 6; ++other)
                if (!cluster.nodes[other]->stopped) witness = other;
            cluster.until("it is replaced", [&] {
                return cluster.replica(witness).epoch().number > epoch &&
                       !cluster.replica(witness).members().contains(gone) &&
                       cluster.replica(witness).hasQuorumContact();
            });
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(witness).members().size());
            CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(witness));
        }
        cluster.until("all have the same members", [&] { return cluster.memberSets().size() == 1; });
        // Two of the first members come back with their disks: they are spares, and learn so.
        for (int at = 0; at < 2; ++at)
            if (cluster.nodes[at]->stopped) {
                cluster.launch(at, false);
                cluster.until("it knows that it is a spare", [&] {
                    return cluster.replica(at).hasQuorumContact() && !cluster.replica(at).isVotingMember() &&
                           !cluster.replica(at).members().contains(cluster.nodes[at]->ownAddress());
                });
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(at));
            }
    }

    // A member's disk stores the seal of the old epoch and is full from then on. The new epoch opens without
    // it; once the disk has room again the member votes, so that the next loss is survived.
    void opensEpochWithoutAFullDisk() {
        Cluster cluster(4, 4);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        std::vector<int> votingMembers;
        int spare = 0;
        for (int at = 0; at < 4; ++at)
            if (cluster.replica(at).isVotingMember()) votingMembers.push_back(at);
            else spare = at;
        const int gone = votingMembers[0];
        const int full = votingMembers[1];
        const int other = votingMembers[2];
        cluster.nodes[gone]->kill();
        cluster.until("it has sealed", [&] {
            return cluster.disks[full].snapshot().second["standing"].find("\"next\"") != std::string::npos;
        });
        cluster.disks[full].set(cluster.disks[full].full, true);
        cluster.until("the lost member is replaced", [&] {
            return cluster.replica(other).hasQuorumContact() && cluster.replica(spare).isVotingMember();
        });
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(other, "two"));
        CPPUNIT_ASSERT(!cluster.replica(full).isVotingMember());
        cluster.disks[full].set(cluster.disks[full].full, false);
        cluster.until("the member votes again", [&] { return cluster.replica(full).isVotingMember(); });
        cluster.nodes[spare]->kill();
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.read(other));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.write(full, "three"));
    }

    // While a member was down, all other members of its epoch were replaced, one after the other. None of
    // them is left to vouch for its disk; it becomes a spare all the same, and a member again when one is
    // needed.
    void returnsAfterAllOthersWereReplaced() {
        Cluster cluster(7, 7);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4, 5, 6}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        const auto untilReplaced = [&](const std::string& gone, int witness) {
            cluster.until("it is replaced", [&] {
                return cluster.replica(witness).hasQuorumContact() &&
                       !cluster.replica(witness).members().contains(gone);
            });
        };
        std::vector<int> first;
        for (int at = 0; at < 7; ++at)
            if (cluster.replica(at).isVotingMember()) first.push_back(at);
        int witness = 0;
        while (cluster.replica(witness).isVotingMember()) ++witness;
        for (const int at : first) {
            cluster.nodes[at]->kill();
            untilReplaced(cluster.nodes[at]->ownAddress(), witness);
        }
        cluster.launch(first[0], false);
        const auto returned = cluster.nodes[first[0]]->ownAddress();
        cluster.until("it is a spare", [&] { return cluster.replica(first[0]).hasQuorumContact(); });
        // Further members are killed, one at a time, until it is needed. Spares are not killed: that would be
        // a second, unnoticed loss.
        while (!cluster.replica(witness).members().contains(returned)) {
            int next = 0;
            while (next == witness ||
                   !cluster.replica(witness).members().contains(cluster.nodes[next]->ownAddress()))
                ++next;
            cluster.nodes[next]->kill();
            untilReplaced(cluster.nodes[next]->ownAddress(), witness);
        }
        CPPUNIT_ASSERT(cluster.replica(witness).members().contains(returned));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(first[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(witness, "two"));
    }

    // All processes are killed at once, and one member restarts later than the others and a spare: it counts
    // as absent only after the usual timeout.
    void keepsAMemberThatRestartsLate() {
        Cluster cluster(4);
        cluster.tolerance = [](config::BootstrapSettings& boot) {
            boot.tolerableMachineLosses = 1;
            boot.controlReplaceAfter = 5 * kSecond;  // long enough on a busy test machine as well
        };
        for (int at = 0; at < 4; ++at) cluster.launch(at, true);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        int late = 0;
        while (!cluster.replica(late).isVotingMember()) ++late;
        std::vector<int> others;
        for (int at = 0; at < 4; ++at)
            if (at != late) others.push_back(at);
        cluster.until("all disks have the value", [&] {
            return std::all_of(cluster.disks.begin(), cluster.disks.end(), [](Disk& disk) {
                return disk.snapshot().first[control_plane::kConfigurationKey].value == "one";
            });
        });
        for (auto& node : cluster.nodes) node->kill();
        for (const int at : others) cluster.launch(at, false);
        cluster.until("they are in contact", [&] { return cluster.hasQuorumContact(others); });
        const Nanos since = now();
        cluster.until("they had time to notice the absent member",
                      [&] { return now() - since > 300 * kMillisecond; });
        cluster.launch(late, false);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        for (int at = 0; at < 4; ++at)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cluster.replica(at).epoch().number);
    }

    // One disk has accepted a change of the members, and its proposer is lost: the others complete the change
    // soon, without waiting for the next change.
    void completesAnAbandonedReconfiguration() {
        Cluster cluster(4, 4);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        int acceptor = 0;
        int spare = 0;
        while (!cluster.replica(acceptor).isVotingMember()) ++acceptor;
        while (cluster.replica(spare).isVotingMember()) ++spare;
        auto next = cluster.replica(acceptor).epoch();
        next.number = 2;
        for (int at = 0; at < 4; ++at)
            if (cluster.replica(at).isVotingMember() && at != acceptor) {
                // Replaces the first other member, as if it had seemed absent.
                const auto disk = cluster.disks[spare].snapshot().second.at("disk");
                std::erase_if(next.members, [&](const auto& one) {
                    return one.address == cluster.nodes[at]->ownAddress();
                });
                next.members.push_back({cluster.nodes[spare]->ownAddress(), disk, cluster.zone(spare), "r"});
                std::sort(next.members.begin(), next.members.end());
                break;
            }
        cluster.nodes[acceptor]->kill();
        auto image = cluster.disks[acceptor].snapshot();
        image.first["epoch/2"] = {{1, 77}, {1, 77}, membership::encode(next).dump()};
        cluster.disks[acceptor].restore(image);
        cluster.launch(acceptor, false);
        cluster.until("the change is completed", [&] {
            return cluster.replica(spare).epoch().number >= 2 && cluster.hasQuorumContact({0, 1, 2, 3});
        });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(spare));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(acceptor, "two"));
    }

    // A disk is restored from an image older than its last replies: it counts as lost and rejoins with a new
    // identity.
    void replacesIdentityOfAnOldImage() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        const auto image = cluster.disks[1].snapshot();
        for (const auto* value : {"two", "three", "four"})
            CPPUNIT_ASSERT_EQUAL(std::string(value), cluster.write(0, value));
        cluster.until("its disk has the last value", [&] {
            return cluster.disks[1].snapshot().first[control_plane::kConfigurationKey].value == "four";
        });
        const auto disk = image.second.at("disk");
        cluster.nodes[1]->kill();
        cluster.disks[1].restore(image);
        cluster.launch(1, false);
        cluster.until("it votes again", [&] {
            return cluster.replica(1).isVotingMember() && cluster.replica(1).hasQuorumContact();
        });
        CPPUNIT_ASSERT(cluster.disks[1].snapshot().second.at("disk") != disk);
        cluster.until("the others have dropped the old identity",
                      [&] { return !cluster.replica(0).epoch().find(cluster.nodes[1]->ownAddress(), disk); });
        CPPUNIT_ASSERT_EQUAL(std::string("four"), cluster.read(1));
    }

    // A member that steps down is replaced by a spare. Without a spare it stays a member, and the only copy
    // is never removed.
    void handsOverMembershipAtStepDown() {
        Cluster cluster(4, 4);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        int leaving = 0;
        while (!cluster.replica(leaving).isVotingMember()) ++leaving;
        const auto leave = [&](Cluster& of, int at) {
            bool left = false;
            spawn(of.io, "leave", [](ReplicaNode& replica, bool& left_) -> Task<> {
                co_await replica.stepDown();
                left_ = true;
            }(of.replica(at), left));
            of.until("it has stepped down", [&] { return left; });
        };
        leave(cluster, leaving);
        CPPUNIT_ASSERT(!cluster.replica(leaving).members().contains(cluster.nodes[leaving]->ownAddress()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(leaving).members().size());
        cluster.nodes[leaving]->kill();
        const int other = (leaving + 1) % 4;
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(other));
        leave(cluster, other);  // no spare is left
        CPPUNIT_ASSERT(cluster.replica(other).members().contains(cluster.nodes[other]->ownAddress()));
        Cluster alone(1);
        alone.tolerance = [](config::BootstrapSettings&) {};
        alone.launch(0, true);
        alone.until("it is in contact with itself", [&] { return alone.hasQuorumContact({0}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), alone.write(0, "one"));
        leave(alone, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), alone.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), alone.read(0));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
