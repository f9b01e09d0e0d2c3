// How a register is founded: exactly once, even if processes are killed meanwhile; from stores written before
// there were epochs; or by the operator's command after the loss of a majority. Real replicas and
// connections, simulated disks.
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "membership/membership.hpp"
#include "support/replica_node_fixture.hpp"

using namespace replica_fixture;

namespace {

consensus::Member machine(const std::string& name, const std::string& zone, const std::string& region = "r") {
    return {name, "d-" + name, zone, region};
}

std::vector<membership::Candidate> candidatesOf(const std::vector<consensus::Member>& members) {
    std::vector<membership::Candidate> candidates;
    for (const auto& member : members) candidates.push_back({member, true, true});
    return candidates;
}

}  // namespace

class FoundingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoundingTest);
    CPPUNIT_TEST(foundsOneRegisterOfFiveMachines);
    CPPUNIT_TEST(foundsOneRegisterToleratingALostZone);
    CPPUNIT_TEST(foundsWithMembersThatAreNotSeeds);
    CPPUNIT_TEST(foundsOneRegisterThroughKills);
    CPPUNIT_TEST(foundsNothingFromEmptySeeds);
    CPPUNIT_TEST(decidesNothingWithoutAMajority);
    CPPUNIT_TEST(readsStoresFromBeforeEpochs);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Five machines that must tolerate the loss of one found one register of three, in any order of contact.
    void foundsOneRegisterOfFiveMachines() {
        Cluster cluster(5);
        for (const int at : {3, 0, 4, 2, 1}) cluster.launch(at, true);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.memberSets().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(4, "one"));
        for (int at = 0; at < 5; ++at) CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(at));
        // Spares don't vote.
        int votingMembers = 0;
        for (int at = 0; at < 5; ++at) votingMembers += cluster.replica(at).isVotingMember();
        CPPUNIT_ASSERT_EQUAL(3, votingMembers);
    }

    // Tolerance for the loss of a zone, but of no machine: still one register, not one for each machine.
    void foundsOneRegisterToleratingALostZone() {
        Cluster cluster(3);
        cluster.tolerance = [](config::BootstrapSettings& boot) {
            boot.tolerableMachineLosses = 0, boot.tolerableZoneLosses = 1;
        };
        for (int at = 0; at < 3; ++at) cluster.launch(at, true);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.memberSets().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        cluster.nodes[0]->kill();
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(1));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(2, "two"));
    }

    // The founders choose three machines that are not seeds. These are connected to the seeds only, and no
    // settings name them. The plan depends on the port, so the test searches for a port with that plan.
    void foundsWithMembersThatAreNotSeeds() {
        const auto zone = [](int at) { return at < 3 ? std::string("z0") : "z" + std::to_string(at); };
        const std::vector<std::string> nonSeeds{"127.0.3.4", "127.0.3.5", "127.0.3.6"};
        int port = 0;
        std::vector<std::string> chosen;
        for (port = 20000; chosen != nonSeeds && port < 24000; ++port) {
            std::vector<consensus::Member> six;
            for (int at = 0; at < 6; ++at) {
                const auto address = "127.0.3." + std::to_string(at + 1) + ":" + std::to_string(port);
                six.push_back(machine(address, zone(at)));
            }
            chosen.clear();
            for (const auto& member : membership::planMembers({}, candidatesOf(six), {1, 1, 0}))
                chosen.push_back(transport::hostOf(member.address));
            if (chosen == nonSeeds) break;
        }
        CPPUNIT_ASSERT(chosen == nonSeeds);
        Cluster cluster(6);
        cluster.port = port, cluster.zone = zone;
        // Seeds in one zone don't survive its loss: they wait until the other machines have contacted them.
        cluster.tolerance = [](config::BootstrapSettings& boot) {
            boot.tolerableMachineLosses = 1, boot.tolerableZoneLosses = 1;
        };
        for (const int at : {3, 4, 5, 0, 1, 2}) cluster.launch(at, true);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.memberSets().size());
        for (const int at : {3, 4, 5}) CPPUNIT_ASSERT(cluster.replica(at).isVotingMember());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(1, "one"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(4));
    }

    // A founder is killed after each of its first writes to disk and restarted without the flag for a first
    // start: there is still exactly one register, and all agree on its epoch.
    void foundsOneRegisterThroughKills() {
        for (int victim = 0; victim < 3; ++victim)
            for (int writes = 0; writes < 6; ++writes) {
                Cluster cluster(3, 3);
                cluster.until("the number of writes", [&] {
                    return cluster.disks[victim].writeCount() >= writes ||
                           cluster.replica(victim).hasQuorumContact();
                });
                cluster.nodes[victim]->kill();
                cluster.launch(victim, false);
                cluster.until("all are in contact again", [&] {
                    return cluster.hasQuorumContact({0, 1, 2});
                });
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.memberSets().size());
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(victim, "one"));
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read((victim + 1) % 3));
            }
        // All founders are killed once each has written its role as a founder to disk.
        Cluster cluster(3, 3);
        cluster.until("each has written", [&] {
            return std::all_of(cluster.disks.begin(), cluster.disks.end(),
                               [](Disk& disk) { return disk.writeCount() >= 1; });
        });
        for (auto& node : cluster.nodes) node->kill();
        for (int at = 0; at < 3; ++at) cluster.launch(at, false);
        cluster.until("all are in contact again", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.memberSets().size());
    }

    // Two of three seeds have empty disks and are started without the flag for a first start: no register is
    // founded, since the disks may have been lost.
    void foundsNothingFromEmptySeeds() {
        Cluster cluster(3);
        cluster.launch(0, true), cluster.launch(1, false), cluster.launch(2, false);
        int pings = 0;
        cluster.until("they have exchanged messages",
                      [&] { return ++pings > 3000 && cluster.replica(0).connectedPeerCount() == 2; });
        for (int at = 0; at < 3; ++at) CPPUNIT_ASSERT(!cluster.replica(at).isFounded());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(0, "one", 3600 * kSecond));
    }

    // A majority is lost for good. The remaining disk decides nothing by itself; the operator's command makes
    // it a register of one, to which other machines are added.
    void decidesNothingWithoutAMajority() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        cluster.until("its disk has the value", [&] {
            return cluster.disks[0].snapshot().first[control_plane::kConfigurationKey].value == "one";
        });
        for (auto& node : cluster.nodes) node->kill();
        for (int lost : {1, 2}) cluster.disks[lost].restore({});
        cluster.launch(0, false), cluster.launch(1, false), cluster.launch(2, false);
        int turns = 0;
        cluster.until("they are connected",
                      [&] { return ++turns > 3000 && cluster.replica(0).connectedPeerCount() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(0, "two", 3600 * kSecond));
        cluster.nodes[0]->kill();

        const auto folder = std::filesystem::temp_directory_path() / ("found-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        const auto image = cluster.disks[0].snapshot();
        const auto command = [&](const std::string& more) {
            return std::string(GATEWAY) + " store found " + folder.string() + " --address " +
                   cluster.nodes[0]->ownAddress() + more + " > /dev/null";
        };
        {
            storage::LmdbReplicaStore store(folder.string(), 8 << 20);
            // The value is not a valid configuration, so the command finds it under another key.
            store.write({{"k", image.first.at(control_plane::kConfigurationKey)}}, image.second);
        }
        CPPUNIT_ASSERT_EQUAL(0, std::system(command("").c_str()));
        CPPUNIT_ASSERT_EQUAL(image.second.at("standing"),
                             storage::LmdbReplicaStore(folder.string(), 8 << 20)
                                 .note("standing"));  // without --yes nothing changes
        CPPUNIT_ASSERT_EQUAL(0, std::system(command(" --yes").c_str()));
        auto founded = image;
        founded.second["standing"] = storage::LmdbReplicaStore(folder.string(), 8 << 20).note("standing");
        std::filesystem::remove_all(folder);
        cluster.disks[0].restore(founded);
        cluster.launch(0, false);
        cluster.until("there is a register of three again", [&] {
            return cluster.replica(0).hasQuorumContact() && cluster.replica(0).members().size() == 3 &&
                   cluster.memberSets().size() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cluster.write(1, "two"));
    }

    // Stores written before there were epochs: their members become the first epoch.
    void readsStoresFromBeforeEpochs() {
        Cluster cluster(3);
        std::string members;
        for (int at = 0; at < 3; ++at)
            members +=
                (at ? "," : "") + ("127.0.3." + std::to_string(at + 1)) + ":" + std::to_string(cluster.port);
        for (auto& disk : cluster.disks) {
            disk.notes["members"] = members;
            disk.registerStates[control_plane::kConfigurationKey] = {{3, 7}, {3, 7}, "kept"};
        }
        for (int at = 0; at < 3; ++at) cluster.launch(at, false);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), cluster.read(0));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(1, "one"));
        cluster.until("zones are known", [&] { return cluster.replica(2).epoch().members[0].zone == "z0"; });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(2));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FoundingTest);
