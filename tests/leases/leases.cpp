// Leases with terms: who acquires one and when, what receivers make of a holder of a lower term, how long a
// rollout has run, and what a proxy takes from a control node that is out of contact. All in virtual time.
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

// Members that hear each other unless cut, down or frozen; their words of it are as old as `told` says. One
// cell, changed by one ballot at a time, as the register sees to it.
class Members {
  public:
    explicit Members(int size) {
        for (int at = 0; at < size; ++at) {
            members.insert(name(at));
            incarnations[name(at)] = std::uint64_t{100} + static_cast<std::uint64_t>(at);
        }
        for (const auto& member : members)
            monitors.emplace(member, leases::LeaseMonitor("list", {member, incarnations[member]}));
    }
    static std::string name(int at) { return "10.1.0." + std::to_string(at + 1) + ":7720"; }
    void cutBetween(const std::string& one, const std::string& other) {
        cut.insert({one, other}), cut.insert({other, one});
    }
    void restart(const std::string& member) {
        down.erase(member), ++incarnations[member];
        monitors.insert_or_assign(member, leases::LeaseMonitor("list", {member, incarnations[member]}));
    }
    bool hear(const std::string& one, const std::string& other) const {
        return one != other && !down.contains(one) && !down.contains(other) && !cut.contains({one, other});
    }
    leases::Reachability rows(const std::string& of) const {
        leases::Reachability rows;
        for (const auto& from : members)
            if (from == of || hear(of, from))
                for (const auto& other : members)
                    if (hear(from, other)) rows[from].insert(other);
        return rows;
    }
    leases::Lease held() const {
        const auto all = leases::decodeLeases(cell);
        const auto at = all.find("list");
        return at == all.end() ? leases::Lease() : at->second;
    }
    // Steps of 50 ms; those that stand in one step all stand on what they knew before it.
    void run(Nanos span) {
        for (const Nanos end = now + span; now < end; now += 50 * kMillisecond) {
            const auto before = held();
            std::vector<std::string> standing;
            for (const auto& member : members)
                if (!down.contains(member) && rows(member)[member].size() + 1 >= members.size() / 2 + 1 &&
                    monitors.at(member).shouldAcquire(before, members, rows(member), now))
                    standing.push_back(member);
            most = std::max(most, standing.size());
            for (const auto& member : standing)
                cell = leases::acquireLease("list", {member, incarnations.at(member)}, before.term)(cell);
            if (held().term != before.term)
                seen += "  at " + std::to_string((now - from) / kMillisecond) +
                        " ms: " + held().holder.substr(0, 8) + ", term " + std::to_string(held().term) + "\n";
        }
    }
    void say(const std::string& what) { seen += what + "\n", from = now; }

    std::set<std::string> members, down;
    std::set<std::pair<std::string, std::string>> cut;
    std::map<std::string, std::uint64_t> incarnations;
    std::map<std::string, leases::LeaseMonitor> monitors;
    std::string cell, seen;
    Nanos now = 100 * kSecond, from = 0;
    std::size_t most = 0;
};

}  // namespace

class LeasesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeasesTest);
    CPPUNIT_TEST(candidatesAcquireInOrder);
    CPPUNIT_TEST(oneOfTwoCandidatesWins);
    CPPUNIT_TEST(lowerTermIsDropped);
    CPPUNIT_TEST(endpointMissingInAHigherTermIsSetAside);
    CPPUNIT_TEST(missedChangeIsMendedWithinATerm);
    CPPUNIT_TEST(emptyCopiesAskForTheSame);
    CPPUNIT_TEST(agesAreCountedOnBySteadyClocks);
    CPPUNIT_TEST(earlierRolloutsAreRead);
    CPPUNIT_TEST(unconfirmedStateIsTakenAfterAWait);
    CPPUNIT_TEST(nothingReadsAWallClock);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Who acquires the lease, and when: a first start, kills, restarts, cuts. Each fifty milliseconds are a
    // step.
    void candidatesAcquireInOrder() {
        std::string seen;
        for (const int size : {1, 3, 5}) {
            Members group(size);
            group.say(std::to_string(size) + " members, first start");
            group.run(2 * kSecond);
            group.say("quiet for a minute");
            group.run(60 * kSecond);
            if (size > 1) {
                const auto holder = group.held().holder;
                group.say("the holder is killed");
                group.down.insert(holder);
                group.run(2 * kSecond);
                CPPUNIT_ASSERT(group.held().holder != holder);
                group.say("it comes back");
                group.restart(holder);
                group.run(10 * kSecond);
                group.say("the new holder restarts, sooner than it is missed");
                group.restart(group.held().holder);
                group.run(2 * kSecond);
                group.say("the holder and one other don't hear each other: it stays, a minute");
                for (const auto& member : group.members)
                    if (member != group.held().holder) {
                        group.cutBetween(group.held().holder, member);
                        break;
                    }
                group.run(60 * kSecond);
                group.cut.clear();
                group.say("the holder is cut off from all, then joined");
                for (const auto& member : group.members)
                    if (member != group.held().holder) group.cutBetween(group.held().holder, member);
                group.run(5 * kSecond);
                group.cut.clear();
                group.run(5 * kSecond);
            }
            CPPUNIT_ASSERT(group.most <= 1);
            seen += group.seen;
        }
        approve("leases-taken", seen);
    }

    // Two that stand at once: one ballot is first, the other changes nothing. Seeded kills, cuts and restarts
    // with a majority left: the lease has a holder again within a second and a half, and terms only rise.
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
            std::mt19937 chance(seed);
            Members group(seed % 2 ? 3 : 5);
            group.run(2 * kSecond);
            std::uint64_t term = 0;
            for (int step = 0; step < 12; ++step) {
                const auto member = Members::name(static_cast<int>(chance() % group.members.size()));
                const auto what = chance() % 3;
                if (group.down.contains(member)) group.restart(member);
                else if (what == 0 && group.down.size() + 1 <= group.members.size() / 2)
                    group.down.insert(member);
                else if (what == 1) group.restart(member);
                group.run(1500 * kMillisecond);
                const auto held = group.held();
                CPPUNIT_ASSERT_MESSAGE(at, held.term >= term);
                term = held.term;
                CPPUNIT_ASSERT_MESSAGE(at, !group.down.contains(held.holder));
                CPPUNIT_ASSERT_MESSAGE(at, held.incarnation == group.incarnations.at(held.holder));
            }
        }
    }

    // A holder that has not noticed that its lease went to another: whatever it tells late changes nothing.
    void lowerTermIsDropped() {
        ConfigurationCache old{{}};
        ConfigurationCache next{{}};
        ConfigurationCache proxy{{}};
        ConfigurationCache neighbour{{}};
        old.updateEndpoints({pod("a"), pod("b")}, 1);
        tell(old, proxy, old.digestMessage());
        tell(proxy, neighbour, proxy.digestMessage(), ConfigurationCache::MessageSource::peerProxy);
        next.updateEndpoints({pod("b", true), pod("c")}, 2);
        tell(next, proxy, next.digestMessage());
        CPPUNIT_ASSERT(proxy.endpoints().endpoints() == next.endpoints().endpoints());
        for (int step = 0; step < 3; ++step) {  // many changes in a lower term are lower still
            tell(old, proxy, old.updateEndpoints({pod("a"), pod("b"), pod("d" + std::to_string(step))}, 1));
            tell(old, proxy, old.digestMessage());
        }
        CPPUNIT_ASSERT(proxy.endpoints().endpoints() == next.endpoints().endpoints());
        CPPUNIT_ASSERT(proxy.endpointListVersion() == (subscription::EndpointListVersion{2, 1}));
        // It hears of the higher term in a proxy's digest, and tells no list any more.
        CPPUNIT_ASSERT(!old.digestMessage().contains("edition"));
        CPPUNIT_ASSERT(old.updateEndpoints({pod("e")}, 1).is_null() &&
                       !old.digestMessage().contains("edition"));
        // Neighbours go by the same order, whichever of them speaks first.
        tell(neighbour, proxy, neighbour.digestMessage(), ConfigurationCache::MessageSource::peerProxy);
        CPPUNIT_ASSERT(neighbour.endpoints().endpoints() == next.endpoints().endpoints());
        CPPUNIT_ASSERT(proxy.endpoints().endpoints() == next.endpoints().endpoints());
    }

    // A copy of a higher term may be asked for sooner than one of the term before: a pod that only that one
    // knows is set aside, not taken for gone, and serves again as soon as the new holder lists it.
    void endpointMissingInAHigherTermIsSetAside() {
        ConfigurationCache old{{}};
        ConfigurationCache next{{}};
        ConfigurationCache proxy{{}};
        next.updateEndpoints({pod("a")}, 2);  // asked for, and late on its way
        old.updateEndpoints({pod("a"), pod("new")}, 1);
        tell(old, proxy, old.digestMessage());
        CPPUNIT_ASSERT(proxy.endpoints().endpoints().contains("new"));
        tell(next, proxy, next.digestMessage());
        CPPUNIT_ASSERT(!proxy.endpoints().endpoints().contains("new") && !proxy.endpoints().hasLeft("new"));
        tell(next, proxy, next.updateEndpoints({pod("a"), pod("new")}, 2));
        CPPUNIT_ASSERT(proxy.endpoints().endpoints().contains("new"));
        tell(next, proxy,
             next.updateEndpoints({pod("new")}, 2));  // seen to go by the holder itself: for good
        CPPUNIT_ASSERT(proxy.endpoints().hasLeft("a"));
    }

    // A proxy that has missed a change is mended from the holder's copy of the very edition it follows.
    void missedChangeIsMendedWithinATerm() {
        ConfigurationCache holder{{}};
        ConfigurationCache proxy{{}};
        ConfigurationCache other{{}};
        holder.updateEndpoints({pod("a"), pod("b")}, 1);
        for (auto* one : {&proxy, &other}) tell(holder, *one, holder.digestMessage());
        tell(holder, other, holder.updateEndpoints({pod("b"), pod("c")}, 1));
        const auto last = holder.updateEndpoints({pod("b"), pod("d")}, 1);
        tell(holder, proxy, last);  // the change before it never came
        tell(holder, other, last);
        for (const auto* one : {&proxy, &other}) {
            CPPUNIT_ASSERT(one->endpoints().endpoints() == holder.endpoints().endpoints());
            CPPUNIT_ASSERT(one->endpointListVersion() == holder.endpointListVersion());
        }
    }

    // What a copy without pods asks for is the same for all of them; any other is answered on its own.
    void emptyCopiesAskForTheSame() {
        ConfigurationCache holder{{}};
        ConfigurationCache empty{{}};
        ConfigurationCache other{{}};
        holder.updateEndpoints({pod("a"), pod("b", true), pod("c")}, 3);
        Json want;
        empty.handleMessage(holder.digestMessage(), ConfigurationCache::MessageSource::controlNode, kSecond,
                            [&](Json reply) { want = reply; });
        CPPUNIT_ASSERT(holder.wantsFullList(want));
        empty.handleMessage(holder.fullEndpointsMessage(), ConfigurationCache::MessageSource::controlNode,
                            kSecond, [](const Json&) {});
        CPPUNIT_ASSERT(empty.endpoints().endpoints() == holder.endpoints().endpoints());
        CPPUNIT_ASSERT(empty.digestMessage() == holder.digestMessage());
        other.updateEndpoints({pod("z")}, 1);
        Json partly;
        other.handleMessage(holder.digestMessage(), ConfigurationCache::MessageSource::controlNode, kSecond,
                            [&](Json reply) { partly = reply; });
        CPPUNIT_ASSERT(!holder.wantsFullList(partly));
        holder.updateEndpoints({pod("c")}, 3);
        CPPUNIT_ASSERT(!holder.wantsFullList(want));  // of an edition that has passed
    }

    // A rollout's age is a span: counted on by steady clocks, handed on between control nodes, written down
    // each second.
    void agesAreCountedOnBySteadyClocks() {
        using verdict::OrderAge;
        verdict::OrderAges first;
        verdict::OrderAges another;
        first.merge("s\nv2", {0, 0, 0}, 50 * kSecond);
        CPPUNIT_ASSERT(first.ageOf("s\nv2", 53 * kSecond) == (OrderAge{3000, 0, 3000}));
        // The other control node's steady clock has nothing to do with this one's.
        another.merge("s\nv2", {0, 0, 0}, 7'000'000 * kSecond);
        another.merge("s\nv2", first.ageOf("s\nv2", 53 * kSecond), 7'000'001 * kSecond);
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'003 * kSecond) == (OrderAge{5000, 0, 5000}));
        another.merge("s\nv2", {1000, 0, 1000},
                      7'000'004 * kSecond);  // what the register had: less, so no news
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'004 * kSecond) == (OrderAge{6000, 0, 6000}));
        another.merge("s\nv2", {6100, 1, 0}, 7'000'004 * kSecond);     // the next stage begins
        another.merge("s\nv2", {6100, 0, 6100}, 7'000'005 * kSecond);  // a late word of the stage before
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'005 * kSecond) == (OrderAge{7100, 1, 1000}));
        another.retainOnly({});
        CPPUNIT_ASSERT(another.ageOf("s\nv2", 7'000'009 * kSecond) == OrderAge{});
        another.merge("s\nv2", {std::numeric_limits<std::int64_t>::max(), 9, -5},
                      kSecond);  // absurd, and bounded
        CPPUNIT_ASSERT(another.ageOf("s\nv2", kSecond).order == 7 * 24 * 3600 * std::int64_t{1000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, another.ageOf("s\nv2", kSecond).inStage);
    }

    // The register may hold rollouts of an earlier version, with times of a wall clock: they count from their
    // reading.
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

    // A proxy's ways with control nodes in and out of contact.
    void unconfirmedStateIsTakenAfterAWait() {
        std::string seen;
        Nanos now = 10 * kSecond;
        const auto word = [](QuorumContact::Change change) {
            return std::string(change == QuorumContact::Change::none          ? ""
                               : change == QuorumContact::Change::unconfirmed ? ", logs news_unsure"
                                                                              : ", logs news_sure");
        };
        bool holding = false;
        const auto line = [&](QuorumContact& proxy, const std::string& what, QuorumContact::Change change) {
            const bool asks = proxy.waitElapsed(holding, now);
            seen += "  " + std::to_string(now / kMillisecond) + " ms, " + what + word(change) +
                    ": looks at " +
                    (proxy.acceptsUpdates(false, holding, now) ? "all news" : "sure news alone") +
                    (asks ? ", asks again" : "") + "\n";
        };
        {
            QuorumContact proxy;
            seen += "an empty proxy on the cut-off side\n";
            line(proxy, "c1 unsure", proxy.onControlNodeMessage("c1", false, now));
            now += 1499 * kMillisecond;
            line(proxy, "c1 unsure", proxy.onControlNodeMessage("c1", false, now));
            now += kMillisecond;
            line(proxy, "time", QuorumContact::Change::none);
            holding = true, proxy.markConfirmed(false);
            line(proxy, "holds c1's", QuorumContact::Change::none);
            CPPUNIT_ASSERT(!proxy.isConfirmed());
            line(proxy, "c2 sure", proxy.onControlNodeMessage("c2", true, now));
            proxy.markConfirmed(true);
            CPPUNIT_ASSERT(proxy.isConfirmed());
            line(proxy, "c2 parted", proxy.onControlNodeDisconnected("c2", now));
            now += 10 * kSecond;
            line(proxy, "ten seconds on", QuorumContact::Change::none);
            line(proxy, "c1 sure", proxy.onControlNodeMessage("c1", true, now));
        }
        holding = false;
        {
            QuorumContact proxy;
            seen += "an empty proxy, one control node cut off, one not\n";
            line(proxy, "c1 unsure", proxy.onControlNodeMessage("c1", false, now));
            now += kSecond;
            line(proxy, "c2 sure", proxy.onControlNodeMessage("c2", true, now));
            now += 5 * kSecond;
            line(proxy, "c2 has nothing to tell", QuorumContact::Change::none);
            line(proxy, "c2 parted", proxy.onControlNodeDisconnected("c2", now));
            now += 1400 * kMillisecond;
            line(proxy, "a wait anew", QuorumContact::Change::none);
            now += 100 * kMillisecond;
            line(proxy, "and its end", QuorumContact::Change::none);
        }
        {
            QuorumContact proxy;
            seen += "an empty proxy that only reaches neighbours\n";
            line(proxy, "a neighbour's unsure word", QuorumContact::Change::none);
            now += 1500 * kMillisecond;
            line(proxy, "again", QuorumContact::Change::none);
        }
        approve("leases-unsure", seen);
    }

    // Nothing of the gateway reads a wall clock but the log's stamp: one that steps can change nothing else.
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
