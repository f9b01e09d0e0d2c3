// How a register begins: founded once, whatever is killed on the way; from a store of before there were
// epochs; or by the operator's command, when a majority is lost. Real replicas and connections, scripted
// disks.
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

std::vector<membership::Candidate> all(const std::vector<consensus::Member>& members) {
    std::vector<membership::Candidate> candidates;
    for (const auto& member : members) candidates.push_back({member, true, true});
    return candidates;
}

}  // namespace

class FoundingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FoundingTest);
    CPPUNIT_TEST(foundsOneRegisterOfFiveMachines);
    CPPUNIT_TEST(foundsOneRegisterWhereAZoneMayBeLost);
    CPPUNIT_TEST(foundsWithMembersThatAreNoSeeds);
    CPPUNIT_TEST(foundsOneRegisterThroughKills);
    CPPUNIT_TEST(guessesNothingFromEmptySeeds);
    CPPUNIT_TEST(decidesNothingWithoutAMajority);
    CPPUNIT_TEST(readsStoresFromBeforeEpochs);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Five machines, one to be lost: one register of three, whoever hears of whom first.
    void foundsOneRegisterOfFiveMachines() {
        Cluster cluster(5);
        for (const int at : {3, 0, 4, 2, 1}) cluster.launch(at, true);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3, 4}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.memberSets().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(4, "one"));
        for (int at = 0; at < 5; ++at) CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.read(at));
        // Spares count for nothing.
        int votes = 0;
        for (int at = 0; at < 5; ++at) votes += cluster.replica(at).isVotingMember();
        CPPUNIT_ASSERT_EQUAL(3, votes);
    }

    // No machine but a zone to be lost: still one register, not one for each.
    void foundsOneRegisterWhereAZoneMayBeLost() {
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

    // The founders decide on three machines that are no seeds: these have linked to the seeds alone, and
    // nobody was told to link to them. Whom the plan takes depends on the port, so it is looked for.
    void foundsWithMembersThatAreNoSeeds() {
        const auto zone = [](int at) { return at < 3 ? std::string("z0") : "z" + std::to_string(at); };
        const std::vector<std::string> beyond{"127.0.3.4", "127.0.3.5", "127.0.3.6"};
        int port = 0;
        std::vector<std::string> chosen;
        for (port = 20000; chosen != beyond && port < 24000; ++port) {
            std::vector<consensus::Member> six;
            for (int at = 0; at < 6; ++at) {
                const auto address = "127.0.3." + std::to_string(at + 1) + ":" + std::to_string(port);
                six.push_back(machine(address, zone(at)));
            }
            chosen.clear();
            for (const auto& member : membership::planMembers({}, all(six), {1, 1, 0}))
                chosen.push_back(transport::hostOf(member.address));
            if (chosen == beyond) break;
        }
        CPPUNIT_ASSERT(chosen == beyond);
        Cluster cluster(6);
        cluster.port = port, cluster.zone = zone;
        // Seeds of one zone don't bear its loss: they wait until the others are heard of.
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

    // A founder is killed after each of its first writes to disk, and comes back as one that isn't told it is
    // the first start: there is one register all the same, and its epoch is agreed.
    void foundsOneRegisterThroughKills() {
        for (int victim = 0; victim < 3; ++victim)
            for (int writes = 0; writes < 6; ++writes) {
                Cluster cluster(3, 3);
                cluster.until("as many writes", [&] {
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
        // All of them, once what makes them founders is on their disks.
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

    // Two of three seeds with nothing on their disks and no word that it is the first start: nothing is
    // guessed.
    void guessesNothingFromEmptySeeds() {
        Cluster cluster(3);
        cluster.launch(0, true), cluster.launch(1, false), cluster.launch(2, false);
        int pings = 0;
        cluster.until("they have met and talked",
                      [&] { return ++pings > 3000 && cluster.replica(0).connectedPeerCount() == 2; });
        for (int at = 0; at < 3; ++at) CPPUNIT_ASSERT(!cluster.replica(at).isFounded());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cluster.write(0, "one", 3600 * kSecond));
    }

    // A majority is gone for good: the disk that is left decides nothing by itself; by the operator's command
    // it is a register of one, to which others are added.
    void decidesNothingWithoutAMajority() {
        Cluster cluster(3, 3);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        cluster.until("it holds it", [&] {
            return cluster.disks[0].snapshot().first[control_plane::kConfigurationKey].value == "one";
        });
        for (auto& node : cluster.nodes) node->kill();
        for (int lost : {1, 2}) cluster.disks[lost].restore({});
        cluster.launch(0, false), cluster.launch(1, false), cluster.launch(2, false);
        int turns = 0;
        cluster.until("they have met",
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
            // Not a configuration in the operators' sense, so the command is shown another key.
            store.write({{"k", image.first.at(control_plane::kConfigurationKey)}}, image.second);
        }
        CPPUNIT_ASSERT_EQUAL(0, std::system(command("").c_str()));
        CPPUNIT_ASSERT_EQUAL(
            image.second.at("standing"),
            storage::LmdbReplicaStore(folder.string(), 8 << 20).note("standing"));  // only told
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

    // Stores from before there were epochs: their members are the first epoch.
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
