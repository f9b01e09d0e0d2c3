// Leases with terms: which member acquires one and when, how receivers treat messages of a lower term, the
// age of rollouts, and which updates a proxy accepts from a control node without quorum contact. All in
// virtual time.
#include "leases/leases.hpp"

#include <filesystem>

#include "messages/codec.hpp"
#include "subscription/quorum_contact.hpp"
#include "support/subscription_fixture.hpp"
#include "support/transcript.hpp"
#include "verdict/stages.hpp"

using namespace subscription_fixture;
using subscription::QuorumContact;

namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;

// Members that reach each other unless partitioned or down. The register is a single value, changed by one
// proposal at a time.
class SimulatedMembers {
  public:
    explicit SimulatedMembers(int size) {
        for (int at = 0; at < size; ++at) {
            members.insert(name(at));
            incarnations[name(at)] = std::uint64_t{100} + static_cast<std::uint64_t>(at);
        }
        for (const auto& member : members)
            monitors.emplace(member, leases::LeaseMonitor("list", {member, incarnations[member]}));
    }
    static std::string name(int at) { return "10.1.0." + std::to_string(at + 1) + ":7720"; }
    void partition(const std::string& one, const std::string& other) {
        partitioned.insert({one, other}), partitioned.insert({other, one});
    }
    void restart(const std::string& member) {
        down.erase(member), ++incarnations[member];
        monitors.insert_or_assign(member, leases::LeaseMonitor("list", {member, incarnations[member]}));
    }
    bool canReach(const std::string& one, const std::string& other) const {
        return one != other && !down.contains(one) && !down.contains(other) &&
               !partitioned.contains({one, other});
    }
    leases::Reachability reachabilityAt(const std::string& observer) const {
        leases::Reachability reachability;
        for (const auto& reporter : members)
            if (reporter == observer || canReach(observer, reporter))
                for (const auto& other : members)
                    if (canReach(reporter, other)) reachability[reporter].insert(other);
        return reachability;
    }
    leases::Lease currentLease() const {
        const auto all = leases::decodeLeases(registerValue);
        const auto at = all.find("list");
        return at == all.end() ? leases::Lease() : at->second;
    }
    // Steps of 50 ms. All candidates of a step decide on the state before it.
    void run(Nanos span) {
        for (const Nanos end = now + span; now < end; now += 50 * kMillisecond) {
            const auto before = currentLease();
            std::vector<std::string> candidates;
            for (const auto& member : members)
                if (!down.contains(member) &&
                    reachabilityAt(member)[member].size() + 1 >= members.size() / 2 + 1 &&
                    monitors.at(member).shouldAcquire(before, members, reachabilityAt(member), now))
                    candidates.push_back(member);
            maxCandidates = std::max(maxCandidates, candidates.size());
            for (const auto& member : candidates)
                registerValue = leases::acquireLease("list", {member, incarnations.at(member)},
                                                     before.term)(registerValue);
            if (currentLease().term != before.term)
                transcript += "  at " + std::to_string((now - phaseStart) / kMillisecond) +
                              " ms: " + currentLease().holder.substr(0, 8) + ", term " +
                              std::to_string(currentLease().term) + "\n";
        }
    }
    void beginPhase(const std::string& what) { transcript += what + "\n", phaseStart = now; }

    std::set<std::string> members, down;
    std::set<std::pair<std::string, std::string>> partitioned;
    std::map<std::string, std::uint64_t> incarnations;
    std::map<std::string, leases::LeaseMonitor> monitors;
    std::string registerValue, transcript;
    Nanos now = 100 * kSecond, phaseStart = 0;
    std::size_t maxCandidates = 0;
};

}  // namespace

class LeasesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeasesTest);
    CPPUNIT_TEST(candidatesAcquireInOrder);
    CPPUNIT_TEST(oneOfTwoCandidatesWins);
    CPPUNIT_TEST(lowerTermIsDropped);
    CPPUNIT_TEST(endpointMissingInAHigherTermIsSuspect);
    CPPUNIT_TEST(missedChangeIsRepairedWithinATerm);
    CPPUNIT_TEST(emptyCopiesSendTheSameFetchRequest);
    CPPUNIT_TEST(agesAreMeasuredWithSteadyClocks);
    CPPUNIT_TEST(earlierRolloutsAreRead);
    CPPUNIT_TEST(unconfirmedUpdatesAreAcceptedAfterAWait);
    CPPUNIT_TEST(nothingReadsAWallClock);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Which member acquires the lease, and when: at a first start and after kills, restarts and partitions,
    // in steps of 50 ms.
    void candidatesAcquireInOrder() {
        std::string transcript;
        for (const int size : {1, 3, 5}) {
            SimulatedMembers group(size);
            group.beginPhase(std::to_string(size) + " members, first start");
            group.run(2 * kSecond);
            group.beginPhase("idle for a minute");
            group.run(60 * kSecond);
            if (size > 1) {
                const auto holder = group.currentLease().holder;
                group.beginPhase("the holder is killed");
                group.down.insert(holder);
                group.run(2 * kSecond);
                CPPUNIT_ASSERT(group.currentLease().holder != holder);
                group.beginPhase("it restarts");
                group.restart(holder);
                group.run(10 * kSecond);
                group.beginPhase("the new holder restarts before its absence is noticed");
                group.restart(group.currentLease().holder);
                group.run(2 * kSecond);
                group.beginPhase("the holder and one other are partitioned for a minute: it keeps the lease");
                for (const auto& member : group.members)
                    if (member != group.currentLease().holder) {
                        group.partition(group.currentLease().holder, member);
                        break;
                    }
                group.run(60 * kSecond);
                group.partitioned.clear();
                group.beginPhase("the holder is partitioned from all, then reconnected");
                for (const auto& member : group.members)
                    if (member != group.currentLease().holder)
                        group.partition(group.currentLease().holder, member);
                group.run(5 * kSecond);
                group.partitioned.clear();
                group.run(5 * kSecond);
            }
            CPPUNIT_ASSERT(group.maxCandidates <= 1);
            transcript += group.transcript;
        }
        approve("leases-taken", transcript);
    }

    // Two candidates at once: the first proposal wins, the other changes nothing. With seeded kills and
    // restarts that leave a majority, the lease has a holder again within 1.5 seconds, and terms only rise.
    void oneOfTwoCandidatesWins() {
        const auto one = leases::acquireLease("list", {"a", 1}, 4);
        const auto other = leases::acquireLease("list", {"b", 2}, 4);
        const auto before = leases::encodeLeases({{"list", {"c", 3, 4}}, {"rollouts", {"c", 3, 9}}});
        const auto first = one(before);
        CPPUNIT_ASSERT_EQUAL(first, other(first));
        CPPUNIT_ASSERT_EQUAL(first, one(first));
        CPPUNIT_ASSERT(leases::decodeLeases(first).at("list") == (leases::Lease{"a", 1, 5}));
        CPPUNIT_ASSERT(leases::decodeLeases(first).at("rollouts") == (leases::Lease{"c", 3, 9}));
        for (unsigned seed = 1; seed <= 60; ++seed) {
            const std::string at = "seed " + std::to_string(seed);
            std::mt19937 random(seed);
            SimulatedMembers group(seed % 2 ? 3 : 5);
            group.run(2 * kSecond);
            std::uint64_t term = 0;
            for (int step = 0; step < 12; ++step) {
                const auto member = SimulatedMembers::name(static_cast<int>(random() % group.members.size()));
                const auto what = random() % 3;
                if (group.down.contains(member)) group.restart(member);
                else if (what == 0 && group.down.size() + 1 <= group.members.size() / 2)
                    group.down.insert(member);
                else if (what == 1) group.restart(member);
                group.run(1500 * kMillisecond);
                const auto currentLease = group.currentLease();
                CPPUNIT_ASSERT_MESSAGE(at, currentLease.term >= term);
                term = currentLease.term;
                CPPUNIT_ASSERT_MESSAGE(at, !group.down.contains(currentLease.holder));
                CPPUNIT_ASSERT_MESSAGE(
                    at, currentLease.incarnation == group.incarnations.at(currentLease.holder));
            }
        }
    }

    // Updates of a holder that has not noticed the loss of its lease are dropped.
    void lowerTermIsDropped() {
        ConfigurationCache old{{}};
        ConfigurationCache next{{}};
        ConfigurationCache proxy{{}};
        ConfigurationCache peer{{}};
        old.updateEndpoints({pod("a"), pod("b")}, 1);
        deliver(old, proxy, old.digestMessage());
        deliver(proxy, peer, proxy.digestMessage(), ConfigurationCache::MessageSource::peerProxy);
        next.updateEndpoints({pod("b", true), pod("c")}, 2);
        deliver(next, proxy, next.digestMessage());
        CPPUNIT_ASSERT(proxy.endpoints().endpoints() == next.endpoints().endpoints());
        for (int step = 0; step < 3; ++step) {  // however many changes, the lower term is lower
            deliver(old, proxy,
                    old.updateEndpoints({pod("a"), pod("b"), pod("d" + std::to_string(step))}, 1));
            deliver(old, proxy, old.digestMessage());
        }
        CPPUNIT_ASSERT(proxy.endpoints().endpoints() == next.endpoints().endpoints());
        CPPUNIT_ASSERT(proxy.endpointListVersion() == (subscription::EndpointListVersion{2, 1}));
        // It learns the higher term from a proxy's digest and publishes no list any more.
        CPPUNIT_ASSERT(!old.digestMessage().contains("edition"));
        CPPUNIT_ASSERT(old.updateEndpoints({pod("e")}, 1).is_null() &&
                       !old.digestMessage().contains("edition"));
        // Peer proxies compare terms in the same way, whichever sends first.
        deliver(peer, proxy, peer.digestMessage(), ConfigurationCache::MessageSource::peerProxy);
        CPPUNIT_ASSERT(peer.endpoints().endpoints() == next.endpoints().endpoints());
        CPPUNIT_ASSERT(proxy.endpoints().endpoints() == next.endpoints().endpoints());
    }

    // The list of a higher term may have been polled earlier than the last one of the term before. A pod that
    // only the latter contains is removed as suspect, not for good, and is back as soon as the new holder
    // lists it.
    void endpointMissingInAHigherTermIsSuspect() {
        ConfigurationCache old{{}};
        ConfigurationCache next{{}};
        ConfigurationCache proxy{{}};
        next.updateEndpoints({pod("a")}, 2);  // polled earlier, but delivered later
        old.updateEndpoints({pod("a"), pod("new")}, 1);
        deliver(old, proxy, old.digestMessage());
        CPPUNIT_ASSERT(proxy.endpoints().endpoints().contains("new"));
        deliver(next, proxy, next.digestMessage());
        CPPUNIT_ASSERT(!proxy.endpoints().endpoints().contains("new") && !proxy.endpoints().hasLeft("new"));
        deliver(next, proxy, next.updateEndpoints({pod("a"), pod("new")}, 2));
        CPPUNIT_ASSERT(proxy.endpoints().endpoints().contains("new"));
        deliver(next, proxy,
                next.updateEndpoints({pod("new")}, 2));  // removal observed by the holder: for good
        CPPUNIT_ASSERT(proxy.endpoints().hasLeft("a"));
    }

    // A proxy that has missed a change is repaired from the holder's list of the same term.
    void missedChangeIsRepairedWithinATerm() {
        ConfigurationCache holder{{}};
        ConfigurationCache proxy{{}};
        ConfigurationCache other{{}};
        holder.updateEndpoints({pod("a"), pod("b")}, 1);
        for (auto* one : {&proxy, &other}) deliver(holder, *one, holder.digestMessage());
        deliver(holder, other, holder.updateEndpoints({pod("b"), pod("c")}, 1));
        const auto last = holder.updateEndpoints({pod("b"), pod("d")}, 1);
        deliver(holder, proxy, last);  // the change before it was lost
        deliver(holder, other, last);
        for (const auto* one : {&proxy, &other}) {
            CPPUNIT_ASSERT(one->endpoints().endpoints() == holder.endpoints().endpoints());
            CPPUNIT_ASSERT(one->endpointListVersion() == holder.endpointListVersion());
        }
    }

    // All copies without pods send the same fetch request; other copies get individual responses.
    void emptyCopiesSendTheSameFetchRequest() {
        ConfigurationCache holder{{}};
        ConfigurationCache empty{{}};
        ConfigurationCache other{{}};
        holder.updateEndpoints({pod("a"), pod("b", true), pod("c")}, 3);
        Json request;
        empty.handleMessage(holder.digestMessage(), ConfigurationCache::MessageSource::controlNode, kSecond,
                            [&](Json reply) { request = reply; });
        CPPUNIT_ASSERT(holder.wantsFullList(request));
        empty.handleMessage(holder.fullEndpointsMessage(), ConfigurationCache::MessageSource::controlNode,
                            kSecond, [](const Json&) {});
        CPPUNIT_ASSERT(empty.endpoints().endpoints() == holder.endpoints().endpoints());
        CPPUNIT_ASSERT(empty.digestMessage() == holder.digestMessage());
        other.updateEndpoints({pod("z")}, 1);
        Json partialRequest;
        other.handleMessage(holder.digestMessage(), ConfigurationCache::MessageSource::controlNode, kSecond,
                            [&](Json reply) { partialRequest = reply; });
        CPPUNIT_ASSERT(!holder.wantsFullList(partialRequest));
        holder.updateEndpoints({pod("c")}, 3);
        CPPUNIT_ASSERT(!holder.wantsFullList(request));  // for an outdated list version
    }

    // A rollout's age is a duration: measured with steady clocks, passed between control nodes, stored every
    // second.
    void agesAreMeasuredWithSteadyClocks() {
        using verdict::OrderAge;
        verdict::OrderAges first;
        verdict::OrderAges another;
        first.merge("s\nv2", {0, 0, 0}, 50 * kSecond);
        CPPUNIT_ASSERT(first.ageOf("s\nv2", 53 * kSecond) == (OrderAge{3000, 0, 3000}));
        // The steady clocks of two control nodes are unrelated.
        another.merge("s\nv2", {0, 0, 0}, 7'000'000 * kSecond);
        another.merge("s\nv2", first.ageOf("s\nv2", 53 * kSecond), 7'000'001 * kSecond);
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'003 * kSecond) == (OrderAge{5000, 0, 5000}));
        another.merge("s\nv2", {1000, 0, 1000},
                      7'000'004 * kSecond);  // the register's age: lower, so ignored
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'004 * kSecond) == (OrderAge{6000, 0, 6000}));
        another.merge("s\nv2", {6100, 1, 0}, 7'000'004 * kSecond);  // the next stage begins
        another.merge("s\nv2", {6100, 0, 6100},
                      7'000'005 * kSecond);  // a late message about the previous stage
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'005 * kSecond) == (OrderAge{7100, 1, 1000}));
        another.retainOnly({});
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'009 * kSecond) == OrderAge{});
        another.merge("s\nv2", {std::numeric_limits<std::int64_t>::max(), 9, -5},
                      kSecond);  // out of range: limited
        CPPUNIT_ASSERT(another.ageOf("s\nv2", kSecond).order == 7 * 24 * 3600 * std::int64_t{1000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, another.ageOf("s\nv2", kSecond).inStage);
    }

    // The register may contain rollouts of an earlier version, with wall-clock times: their ages start at
    // zero when they are read.
    void earlierRolloutsAreRead() {
        const auto read = messages::decodeRollouts(
            R"([{"service":"s","target":"v2","state":"in_progress","stage":1,"number":4,"began":1764645000000,)"
            R"("term":12000,"moved":1764645002000}])");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.size());
        CPPUNIT_ASSERT(read[0].running() && read[0].stage == 1 && read[0].ageMs == 0 &&
                       read[0].stageAgeMs == 0);
        auto order = read[0];
        order.ageMs = 1234, order.stageAgeMs = 200;
        const auto again = messages::decodeRollouts(messages::encode({order}));
        CPPUNIT_ASSERT(again[0].ageMs == 1234 && again[0].stageAgeMs == 200 && again[0].number == 4);
    }

    // Which updates a proxy accepts from control nodes with and without quorum contact.
    void unconfirmedUpdatesAreAcceptedAfterAWait() {
        std::string transcript;
        Nanos now = 10 * kSecond;
        const auto describe = [](QuorumContact::Change change) {
            return std::string(change == QuorumContact::Change::none          ? ""
                               : change == QuorumContact::Change::unconfirmed ? ", reports unconfirmed"
                                                                              : ", reports confirmed");
        };
        bool hasConfiguration = false;
        const auto addLine = [&](QuorumContact& proxy, const std::string& what,
                                 QuorumContact::Change change) {
            const bool requestsAgain = proxy.waitElapsed(hasConfiguration, now);
            transcript += "  " + std::to_string(now / kMillisecond) + " ms, " + what + describe(change) +
                          ": accepts " +
                          (proxy.acceptsUpdates(false, hasConfiguration, now) ? "all updates"
                                                                              : "confirmed updates only") +
                          (requestsAgain ? ", requests the state again" : "") + "\n";
        };
        {
            QuorumContact proxy;
            transcript += "proxy without configuration, on the minority side of a partition\n";
            addLine(proxy, "c1 unconfirmed", proxy.onControlNodeMessage("c1", false, now));
            now += 1499 * kMillisecond;
            addLine(proxy, "c1 unconfirmed", proxy.onControlNodeMessage("c1", false, now));
            now += kMillisecond;
            addLine(proxy, "the wait is over", QuorumContact::Change::none);
            hasConfiguration = true, proxy.markConfirmed(false);
            addLine(proxy, "has c1's configuration", QuorumContact::Change::none);
            CPPUNIT_ASSERT(!proxy.isConfirmed());
            addLine(proxy, "c2 confirmed", proxy.onControlNodeMessage("c2", true, now));
            proxy.markConfirmed(true);
            CPPUNIT_ASSERT(proxy.isConfirmed());
            addLine(proxy, "c2 disconnected", proxy.onControlNodeDisconnected("c2", now));
            now += 10 * kSecond;
            addLine(proxy, "ten seconds later", QuorumContact::Change::none);
            addLine(proxy, "c1 confirmed", proxy.onControlNodeMessage("c1", true, now));
        }
        hasConfiguration = false;
        {
            QuorumContact proxy;
            transcript += "proxy without configuration, one control node partitioned, one not\n";
            addLine(proxy, "c1 unconfirmed", proxy.onControlNodeMessage("c1", false, now));
            now += kSecond;
            addLine(proxy, "c2 confirmed", proxy.onControlNodeMessage("c2", true, now));
            now += 5 * kSecond;
            addLine(proxy, "c2 sends nothing", QuorumContact::Change::none);
            addLine(proxy, "c2 disconnected", proxy.onControlNodeDisconnected("c2", now));
            now += 1400 * kMillisecond;
            addLine(proxy, "within a new wait", QuorumContact::Change::none);
            now += 100 * kMillisecond;
            addLine(proxy, "the new wait is over", QuorumContact::Change::none);
        }
        {
            QuorumContact proxy;
            transcript += "proxy without configuration that reaches only peer proxies\n";
            addLine(proxy, "unconfirmed message of a peer", QuorumContact::Change::none);
            now += 1500 * kMillisecond;
            addLine(proxy, "another one", QuorumContact::Change::none);
        }
        approve("leases-unsure", transcript);
    }

    // Only the log's timestamps read the wall clock, so a clock step cannot change anything else in the
    // gateway.
    void nothingReadsAWallClock() {
        namespace fs = std::filesystem;
        const fs::path sources = fs::path(TRANSCRIPTS) / "../../src";
        std::set<std::string> readers;
        std::size_t read = 0;
        for (const auto* module :
             {"admin", "config", "consensus", "control_plane", "discovery", "hashing", "leases", "membership",
              "messages", "proxy", "routing", "storage", "subscription", "transport", "verdict"}) {
            CPPUNIT_ASSERT_MESSAGE(module, fs::exists(sources / module));
            for (const auto& file : fs::directory_iterator(sources / module)) {
                std::ifstream stream(file.path());
                std::stringstream text;
                text << stream.rdbuf(), ++read;
                for (const auto* clock : {"system_clock", "CLOCK_REALTIME", "gettimeofday", "utc_clock",
                                          "time(nullptr)", "time(NULL)", "localtime", "gmtime", "wallMillis"})
                    if (text.str().find(clock) != std::string::npos)
                        readers.insert(std::string(module) + "/" + file.path().filename().string());
            }
        }
        CPPUNIT_ASSERT(read > 50);
        CPPUNIT_ASSERT(readers == std::set<std::string>{"transport/log.cpp"});
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeasesTest);
