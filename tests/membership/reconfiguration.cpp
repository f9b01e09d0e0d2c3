// Changes of the members: by agreement, through lost disks, disks put back from an old image, cuts, and
// machines that leave. Real replicas and connections, scripted disks.
#include "membership/codec.hpp"
#include "support/replica_node_fixture.hpp"

using namespace replica_fixture;

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(endsAtOnceOutOfContact);
    CPPUNIT_TEST(replacesLostMembersOneAfterTheOther);
    CPPUNIT_TEST(opensEpochWithoutAFullDisk);
    CPPUNIT_TEST(returnsAfterAllOthersWereReplaced);
    CPPUNIT_TEST(keepsALateMember);
    CPPUNIT_TEST(completesAnAbandonedReconfiguration);
    CPPUNIT_TEST(replacesIdentityOfAnOldImage);
    CPPUNIT_TEST(handsMembershipOnAtStepDown);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Cut off: a write and a read end at once, whatever time they have; the others go on; what is read after
    // the cut is what they did meanwhile.
    void endsAtOnceOutOfContact() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        cluster.nodes[0]->partitioned = true;
        cluster.until("it knows", [&] { return !cluster.replica(0).hasQuorumContact(); });
        // So do the others, long before its links are given up.
        const auto silent = cluster.nodes[0]->ownAddress();
        cluster.until("it is heard no more", [&] {
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
        cluster.until("contact is back", [&] { return cluster.replica(0).hasQuorumContact(); });
        // In contact means read from a majority since.
        CPPUNIT_ASSERT_EQUAL(std::string("two"),
                             cluster.replica(0).known(control_plane::kConfigurationKey).value);
    }

    // A member dies and a spare takes its place, whole; then a second dies, then the last of the
    // first three: each loss alone, and what was written first is still read.
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
            cluster.until("its place is taken", [&] {
                return cluster.replica(witness).epoch().number > epoch &&
                       !cluster.replica(witness).members().contains(gone) &&
                       cluster.replica(witness).hasQuorumContact();
            });
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(witness).members().size());
            CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(witness));
        }
        cluster.until("all know the same members", [&] { return cluster.memberSets().size() == 1; });
        // Two of the first come back with their disks: they are spares, and are told so.
        for (int at = 0; at < 2; ++at)
            if (cluster.nodes[at]->stopped) {
                cluster.launch(at, false);
                cluster.until("it knows its place", [&] {
                    return cluster.replica(at).hasQuorumContact() && !cluster.replica(at).isVotingMember() &&
                           !cluster.replica(at).members().contains(cluster.nodes[at]->ownAddress());
                });
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(at));
            }
    }

    // A member's disk takes the seal of the old epoch and is full from then on. The new one opens without it;
    // with room again it is part of majorities, so that the next loss is borne.
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
        cluster.until("the place is taken", [&] {
            return cluster.replica(other).hasQuorumContact() && cluster.replica(spare).isVotingMember();
        });
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(other, "two"));
        CPPUNIT_ASSERT(!cluster.replica(full).isVotingMember());
        cluster.disks[full].set(cluster.disks[full].full, false);
        cluster.until("it counts again", [&] { return cluster.replica(full).isVotingMember(); });
        cluster.nodes[spare]->kill();
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.read(other));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cluster.write(full, "three"));
    }

    // While a member was away all others of its epoch were replaced, one after the other. None of them is
    // left to tell what they saw of its disk; it stands by all the same, and takes a place when one is free.
    void returnsAfterAllOthersWereReplaced() {
        Cluster cluster(7, 7);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4, 5, 6}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        const auto takesOver = [&](const std::string& gone, int witness) {
            cluster.until("a place is taken", [&] {
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
            takesOver(cluster.nodes[at]->ownAddress(), witness);
        }
        cluster.launch(first[0], false);
        const auto back = cluster.nodes[first[0]]->ownAddress();
        cluster.until("it is a spare", [&] { return cluster.replica(first[0]).hasQuorumContact(); });
        // Members go on falling, one at a time and never a spare (a second loss that nobody knows
        // of yet), until it is needed.
        while (!cluster.replica(witness).members().contains(back)) {
            int next = 0;
            while (next == witness ||
                   !cluster.replica(witness).members().contains(cluster.nodes[next]->ownAddress()))
                ++next;
            cluster.nodes[next]->kill();
            takesOver(cluster.nodes[next]->ownAddress(), witness);
        }
        CPPUNIT_ASSERT(cluster.replica(witness).members().contains(back));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(first[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(witness, "two"));
    }

    // All fall at once, and one member is later to come back than the others and a spare: it is
    // not absent before it was given the time that any member is given.
    void keepsALateMember() {
        Cluster cluster(4);
        cluster.tolerance = [](config::BootstrapSettings& boot) {
            boot.tolerableMachineLosses = 1;
            boot.controlReplaceAfter = 5 * kSecond;  // also on a machine that is busy with other things
        };
        for (int at = 0; at < 4; ++at) cluster.launch(at, true);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        int late = 0;
        while (!cluster.replica(late).isVotingMember()) ++late;
        std::vector<int> others;
        for (int at = 0; at < 4; ++at)
            if (at != late) others.push_back(at);
        cluster.until("all hold it", [&] {
            return std::all_of(cluster.disks.begin(), cluster.disks.end(), [](Disk& disk) {
                return disk.snapshot().first[control_plane::kConfigurationKey].value == "one";
            });
        });
        for (auto& node : cluster.nodes) node->kill();
        for (const int at : others) cluster.launch(at, false);
        cluster.until("they are in contact", [&] { return cluster.hasQuorumContact(others); });
        const Nanos since = now();
        cluster.until("they have looked around", [&] { return now() - since > 300 * kMillisecond; });
        cluster.launch(late, false);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        for (int at = 0; at < 4; ++at)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cluster.replica(at).epoch().number);
    }

    // A change of the members was accepted by one disk, and whoever asked for it is gone: it is ended soon by
    // the others, not when somebody happens to need another change.
    void completesAnAbandonedReconfiguration() {
        Cluster cluster(4, 4);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        int holds = 0;
        int spare = 0;
        while (!cluster.replica(holds).isVotingMember()) ++holds;
        while (cluster.replica(spare).isVotingMember()) ++spare;
        auto next = cluster.replica(holds).epoch();
        next.number = 2;
        for (int at = 0; at < 4; ++at)
            if (cluster.replica(at).isVotingMember() && at != holds) {
                // In the place of the other member that comes first, as if it had been thought absent.
                const auto disk = cluster.disks[spare].snapshot().second.at("disk");
                std::erase_if(next.members, [&](const auto& one) {
                    return one.address == cluster.nodes[at]->ownAddress();
                });
                next.members.push_back({cluster.nodes[spare]->ownAddress(), disk, cluster.zone(spare), "r"});
                std::sort(next.members.begin(), next.members.end());
                break;
            }
        cluster.nodes[holds]->kill();
        auto image = cluster.disks[holds].snapshot();
        image.first["epoch/2"] = {{1, 77}, {1, 77}, membership::encode(next).dump()};
        cluster.disks[holds].restore(image);
        cluster.launch(holds, false);
        cluster.until("it is ended", [&] {
            return cluster.replica(spare).epoch().number >= 2 && cluster.hasQuorumContact({0, 1, 2, 3});
        });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(spare));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(holds, "two"));
    }

    // A disk is put back as it was before it had answered: it counts as lost, and joins as another.
    void replacesIdentityOfAnOldImage() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        const auto image = cluster.disks[1].snapshot();
        for (const auto* value : {"two", "three", "four"})
            CPPUNIT_ASSERT_EQUAL(std::string(value), cluster.write(0, value));
        cluster.until("it has them", [&] {
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
        cluster.until("the others know",
                      [&] { return !cluster.replica(0).epoch().find(cluster.nodes[1]->ownAddress(), disk); });
        CPPUNIT_ASSERT_EQUAL(std::string("four"), cluster.read(1));
    }

    // One that is told to go hands its place to a spare, and then is no member; where there is
    // none it keeps the place, and the only copy is never left out.
    void handsMembershipOnAtStepDown() {
        Cluster cluster(4, 4);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        int leaver = 0;
        while (!cluster.replica(leaver).isVotingMember()) ++leaver;
        const auto leave = [&](Cluster& of, int at) {
            bool left = false;
            spawn(of.io, "leave", [](ReplicaNode& replica, bool& left_) -> Task<> {
                co_await replica.stepDown();
                left_ = true;
            }(of.replica(at), left));
            of.until("it has left", [&] { return left; });
        };
        leave(cluster, leaver);
        CPPUNIT_ASSERT(!cluster.replica(leaver).members().contains(cluster.nodes[leaver]->ownAddress()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(leaver).members().size());
        cluster.nodes[leaver]->kill();
        const int other = (leaver + 1) % 4;
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(other));
        leave(cluster, other);  // there is no spare now
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
