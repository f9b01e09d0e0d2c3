// Changes of the members while the configuration changes without a pause: faster than replicas report to each
// other what their disks hold. Real replicas and connections, simulated disks.
#include <limits>

#include "membership/replica_lag.hpp"
#include "support/replica_node_fixture.hpp"

using namespace replica_fixture;
using lichenlanding::membership::ReplicaLag;

namespace {

// As in the settings of the deployments: after this time a machine that is back must count again.
constexpr Nanos kSyncTime = 4 * kSecond;
constexpr Nanos kPause = 5 * kMillisecond;  // between two changes
// Of all messages to the machine that is to become a member: its reports are older than many changes.
constexpr Nanos kMessageDelay = 100 * kMillisecond;

// A replica proposes one change after the other, from the construction on: `count` of them, or without end.
class SteadyChanges {
  public:
    SteadyChanges(Cluster& cluster, int proposer, std::string key = control_plane::kConfigurationKey,
                  int count = std::numeric_limits<int>::max())
        : cluster_(cluster), key_(std::move(key)), count_(count) {
        spawn(cluster.io, "changes", propose(proposer));
    }
    ~SteadyChanges() {
        stopped_ = true;
        cluster_.until("the last change has ended", [&] { return !running_; });
    }
    int acknowledged() const { return acknowledged_; }

  private:
    Task<> propose(int at) {
        while (!stopped_ && proposed_ < count_) {
            const consensus::Change change = [value = std::to_string(++proposed_)](const std::string&) {
                return value;
            };
            const auto result = co_await cluster_.replica(at).update(key_, change, kSecond);
            acknowledged_ += result.has_value();
            co_await sleep(kPause);
        }
        running_ = false;
    }

    Cluster& cluster_;
    const std::string key_;
    const int count_;
    int proposed_ = 0, acknowledged_ = 0;
    bool running_ = true, stopped_ = false;
};

void expectVoteWithinSyncTime(Cluster& cluster, int at) {
    const Nanos startedAt = now();
    cluster.until("it votes, or sync_time has passed",
                  [&] { return cluster.replica(at).isVotingMember() || now() - startedAt > kSyncTime; });
    CPPUNIT_ASSERT(cluster.replica(at).isVotingMember());
}

// A cluster in which a value was written, the third machine is down, and its disk is empty.
struct ClusterWithLostDisk : Cluster {
    ClusterWithLostDisk() : Cluster(3) {
        tolerance = [](config::BootstrapSettings& boot) {
            boot.tolerableMachineLosses = 1;
            boot.controlReplaceAfter = 0;  // 0.6 of sync_time, as in the deployments
        };
        for (int at = 0; at < 3; ++at) launch(at, true);
        until("all are in contact", [&] { return hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), write(0, "one"));
        nodes[2]->kill();
        disks[2].restore({});
    }
};

}  // namespace

class SteadyChangesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SteadyChangesTest);
    CPPUNIT_TEST(replacesALostDisk);
    CPPUNIT_TEST(replacesALostDiskFarFromTheOthers);
    CPPUNIT_TEST(replacesALostDiskWhoseNewDiskIsBusy);
    CPPUNIT_TEST(handsOverMembershipAtStepDown);
    CPPUNIT_TEST(lagIsTheAgeOfTheFirstMissingValue);
    CPPUNIT_TEST(lagOfAnOldCopyIsNeverBelowTheHorizon);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against review/4: a member that lost its disk got no place while changes went on, and the next
    // lost disk took the register for good.
    void replacesALostDisk() {
        ClusterWithLostDisk cluster;
        const SteadyChanges changes(cluster, 0);
        cluster.launch(2, false);
        cluster.nodes[2]->messageDelay = kMessageDelay;
        expectVoteWithinSyncTime(cluster, 2);
        const int before = changes.acknowledged();
        cluster.until("changes go on", [&] { return changes.acknowledged() > before; });
    }

    // Members at different distances are never found in the same state while changes go on, so that no read
    // of the machine that lost its disk can find a majority that agrees.
    void replacesALostDiskFarFromTheOthers() {
        ClusterWithLostDisk cluster;
        cluster.nodes[1]->messageDelay = kMessageDelay / 2;
        const SteadyChanges changes(cluster, 0);
        cluster.launch(2, false);
        cluster.nodes[2]->messageDelay = kMessageDelay;
        expectVoteWithinSyncTime(cluster, 2);
    }

    // Guards against a spare that lacks a value for good: the write of it failed once, and was tried again
    // only in pauses of the disk, which there are none of while another value changes.
    void replacesALostDiskWhoseNewDiskIsBusy() {
        ClusterWithLostDisk cluster;
        cluster.disks[2].refuse(control_plane::kLeasesKey);
        cluster.disks[2].writeTime = std::chrono::milliseconds(300);
        const SteadyChanges leases(cluster, 0, control_plane::kLeasesKey, 1);
        cluster.until("there is a lease", [&] { return leases.acknowledged() == 1; });
        const SteadyChanges changes(cluster, 0);
        cluster.launch(2, false);
        cluster.until("its disk refuses the lease, and is busy with the changes", [&] {
            return cluster.disks[2].refusedWrites() > 0 && cluster.disks[2].writeCount() > 10;
        });
        cluster.disks[2].refuse("");
        expectVoteWithinSyncTime(cluster, 2);
    }

    // Guards against the same on SIGTERM: the member found no spare that had the newest value, and left
    // with its place kept.
    void handsOverMembershipAtStepDown() {
        Cluster cluster(4, 4);
        cluster.until("all are in contact", [&] { return cluster.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.write(0, "one"));
        std::vector<int> members;
        for (int at = 0; at < 4; ++at)
            if (cluster.replica(at).isVotingMember()) members.push_back(at);
            else cluster.nodes[at]->messageDelay = kMessageDelay;
        const SteadyChanges changes(cluster, members[1]);
        cluster.until("changes go on", [&] { return changes.acknowledged() > 10; });
        bool left = false;
        spawn(cluster.io, "leave", [](ReplicaNode& replica, bool& left_) -> Task<> {
            co_await replica.stepDown();
            left_ = true;
        }(cluster.replica(members[0]), left));
        cluster.until("it has stepped down", [&] { return left; });
        CPPUNIT_ASSERT(
            !cluster.replica(members[0]).members().contains(cluster.nodes[members[0]]->ownAddress()));
    }

    void lagIsTheAgeOfTheFirstMissingValue() {
        ReplicaLag lag(1000);
        CPPUNIT_ASSERT_EQUAL(Nanos(0), lag.of({}, 0));
        lag.noteInForce({1, 0}, 5000);
        lag.noteInForce({2, 0}, 5100);
        lag.noteInForce({3, 0}, 5200);
        lag.noteInForce({2, 0}, 5300);  // a late report
        CPPUNIT_ASSERT_EQUAL(Nanos(0), lag.of({3, 0}, 5400));
        CPPUNIT_ASSERT_EQUAL(Nanos(0), lag.of({4, 0}, 5400));
        CPPUNIT_ASSERT_EQUAL(Nanos(200), lag.of({2, 0}, 5400));
        CPPUNIT_ASSERT_EQUAL(Nanos(300), lag.of({1, 0}, 5400));
    }

    // A copy without a value is as old as can be, and so is one that missed all values of the horizon.
    void lagOfAnOldCopyIsNeverBelowTheHorizon() {
        ReplicaLag lag(1000);
        lag.noteInForce({1, 0}, 5000);
        CPPUNIT_ASSERT(lag.of({}, 5000) >= 1000);
        for (int round = 2; round <= 300; ++round)
            lag.noteInForce({static_cast<std::uint64_t>(round), 0}, 5000 + 10 * round);
        CPPUNIT_ASSERT(lag.of({}, 8000) >= 1000);
        CPPUNIT_ASSERT(lag.of({100, 0}, 8000) >= 1000);
        CPPUNIT_ASSERT_EQUAL(Nanos(990), lag.of({200, 0}, 8000));
        CPPUNIT_ASSERT_EQUAL(Nanos(10'000), lag.of({299, 0}, 18'000));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SteadyChangesTest);
