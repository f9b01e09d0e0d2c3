// Who keeps the register: founded once, changed by agreement, through kills at each step, lost disks, disks
// put back from an old image, cuts, and machines that leave. Real keepers and links, scripted disks, no
// bench.
#include "membership/membership.hpp"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "membership/codec.hpp"
#include "support/replica_node_fixture.hpp"

using namespace keeper_stage;
using membership::Candidate;
using membership::FaultTolerance;

namespace {

consensus::Member machine(const std::string& name, const std::string& zone, const std::string& region = "r") {
    return {name, "d-" + name, zone, region};
}
std::vector<Candidate> all(const std::vector<consensus::Member>& members) {
    std::vector<Candidate> told;
    for (const auto& member : members) told.push_back({member, true, true});
    return told;
}
std::string names(const std::vector<consensus::Member>& members) {
    std::string text;
    for (const auto& member : members) text += (text.empty() ? "" : " ") + member.address;
    return text;
}

}  // namespace

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(howManyAndWhich);
    CPPUNIT_TEST(seats);
    CPPUNIT_TEST(oneRegisterOfFive);
    CPPUNIT_TEST(oneRegisterForZones);
    CPPUNIT_TEST(foundedBeyondTheSeeds);
    CPPUNIT_TEST(foundedThroughKills);
    CPPUNIT_TEST(seedsWithNothing);
    CPPUNIT_TEST(cutOff);
    CPPUNIT_TEST(replacedAndLostAgain);
    CPPUNIT_TEST(fullThroughAChange);
    CPPUNIT_TEST(backAfterTheOthersWent);
    CPPUNIT_TEST(lateIsNotAbsent);
    CPPUNIT_TEST(leftHalfway);
    CPPUNIT_TEST(oldImage);
    CPPUNIT_TEST(leaves);
    CPPUNIT_TEST(bookOfBefore);
    CPPUNIT_TEST(majorityLost);
    CPPUNIT_TEST_SUITE_END();

  public:
    void howManyAndWhich() {
        const std::vector<consensus::Member> five{machine("a", "1"), machine("b", "1"), machine("c", "2"),
                                                  machine("d", "2"), machine("e", "3")};
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), membership::planMembers({}, all(five), {1, 0, 0}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), membership::planMembers({}, all(five), {2, 0, 0}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership::planMembers({}, all(five), {0, 0, 0}).size());
        // One zone: three members, one in each.
        const auto spread = membership::planMembers({}, all(five), {0, 1, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), spread.size());
        CPPUNIT_ASSERT(membership::unmetTolerance(spread, {1, 1, 0}).empty());
        // Two zones of two can't bear the loss of one of them; machines go first, and what isn't borne is
        // said.
        const std::vector<consensus::Member> two{machine("a", "1"), machine("b", "1"), machine("c", "2"),
                                                 machine("d", "2")};
        const auto chosen = membership::planMembers({}, all(two), {1, 1, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), chosen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1 zone"), membership::unmetTolerance(chosen, {1, 1, 0}).front());
        // Regions: five over three of them bear one region of two machines.
        const std::vector<consensus::Member> wide{machine("a", "1", "x"), machine("b", "2", "x"),
                                                  machine("c", "3", "y"), machine("d", "4", "y"),
                                                  machine("e", "5", "z"), machine("f", "6", "z")};
        const auto regions = membership::planMembers({}, all(wide), {2, 1, 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), regions.size());
        CPPUNIT_ASSERT(membership::unmetTolerance(regions, {2, 1, 1}).empty());
        CPPUNIT_ASSERT(!membership::unmetTolerance(five, {2, 2, 0}).empty());
    }

    // A seat goes from one that is absent to one that is whole; it is never given up for nothing, nor moved
    // between machines that are both there.
    void seats() {
        const auto a = machine("a", "1"), b = machine("b", "2"), c = machine("c", "3"), d = machine("d", "3"),
                   again = consensus::Member{"c", "d-new", "3", "r"};
        const FaultTolerance one{1, 0, 0};
        const std::vector<consensus::Member> now{a, b, c};
        CPPUNIT_ASSERT_EQUAL(std::string("a b c"),
                             names(membership::planMembers(now, all({a, b, c, d}), one)));
        CPPUNIT_ASSERT_EQUAL(std::string("a b d"), names(membership::planMembers(now, all({a, b, d}), one)));
        CPPUNIT_ASSERT_EQUAL(std::string("a b c"), names(membership::planMembers(now, all({a, b}), one)));
        CPPUNIT_ASSERT(membership::planMembers(now, all({a, b}), one) == now);
        // Not whole: it waits.
        auto half = all({a, b, d});
        half[2].complete = false;
        CPPUNIT_ASSERT(membership::planMembers(now, half, one) == now);
        // The same machine with another disk is another member.
        CPPUNIT_ASSERT(membership::planMembers(now, all({a, b, again}), one).back() == again);
        // Two absent of three: there is no majority to decide anything, and none is pretended.
        CPPUNIT_ASSERT(membership::planMembers(now, all({a}), one) == now);
        // One that is about to leave is absent.
        auto leaving = all({a, b, c, d});
        leaving[2].present = false;
        CPPUNIT_ASSERT_EQUAL(std::string("a b d"), names(membership::planMembers(now, leaving, one)));
    }

    // Five machines, one to be lost: one register of three, whoever hears of whom first.
    void oneRegisterOfFive() {
        Cast cast(5);
        for (const int at : {3, 0, 4, 2, 1}) cast.launch(at, true);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3, 4}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cast.registers().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cast.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(4, "one"));
        for (int at = 0; at < 5; ++at) CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(at));
        // Those that stand by count for nothing.
        int votes = 0;
        for (int at = 0; at < 5; ++at) votes += cast.replica(at).isVotingMember();
        CPPUNIT_ASSERT_EQUAL(3, votes);
    }

    // No machine but a zone to be lost: still one register, not one for each.
    void oneRegisterForZones() {
        Cast cast(3);
        cast.tolerance = [](config::BootstrapSettings& boot) { boot.machinesLost = 0, boot.zonesLost = 1; };
        for (int at = 0; at < 3; ++at) cast.launch(at, true);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cast.registers().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cast.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        cast.members[0]->kill();
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(1));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.write(2, "two"));
    }

    // The founders decide on three machines that are no seeds: these have linked to the seeds alone, and
    // nobody was told to link to them. Whom the plan takes depends on the port, so it is looked for.
    void foundedBeyondTheSeeds() {
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
        Cast cast(6);
        cast.port = port, cast.zone = zone;
        // Seeds of one zone don't bear its loss: they wait until the others are heard of.
        cast.tolerance = [](config::BootstrapSettings& boot) { boot.machinesLost = 1, boot.zonesLost = 1; };
        for (const int at : {3, 4, 5, 0, 1, 2}) cast.launch(at, true);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cast.registers().size());
        for (const int at : {3, 4, 5}) CPPUNIT_ASSERT(cast.replica(at).isVotingMember());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(1, "one"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(4));
    }

    // A founder is killed after each of its first writes to disk, and comes back as one that isn't told it is
    // the first start: there is one register all the same, and its epoch is agreed.
    void foundedThroughKills() {
        for (int victim = 0; victim < 3; ++victim)
            for (int writes = 0; writes < 6; ++writes) {
                Cast cast(3, 3);
                cast.until("as many writes", [&] {
                    return cast.disks[victim].written() >= writes || cast.replica(victim).hasQuorumContact();
                });
                cast.members[victim]->kill();
                cast.launch(victim, false);
                cast.until("all are in contact again", [&] { return cast.hasQuorumContact({0, 1, 2}); });
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), cast.registers().size());
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(victim, "one"));
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read((victim + 1) % 3));
            }
        // All of them, once what makes them founders is on their disks.
        Cast cast(3, 3);
        cast.until("each has written", [&] {
            return std::all_of(cast.disks.begin(), cast.disks.end(),
                               [](Disk& disk) { return disk.written() >= 1; });
        });
        for (auto& member : cast.members) member->kill();
        for (int at = 0; at < 3; ++at) cast.launch(at, false);
        cast.until("all are in contact again", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cast.registers().size());
    }

    // Two of three seeds with nothing on their disks and no word that it is the first start: nothing is
    // guessed.
    void seedsWithNothing() {
        Cast cast(3);
        cast.launch(0, true), cast.launch(1, false), cast.launch(2, false);
        int pings = 0;
        cast.until("they have met and talked",
                   [&] { return ++pings > 3000 && cast.replica(0).connectedPeerCount() == 2; });
        for (int at = 0; at < 3; ++at) CPPUNIT_ASSERT(!cast.replica(at).isFounded());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cast.write(0, "one", 3600 * kSecond));
    }

    // Cut off: a write and a read end at once, whatever time they have; the others go on; what is read after
    // the cut is what they did meanwhile.
    void cutOff() {
        Cast cast(3, 3);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        cast.members[0]->cut = true;
        cast.until("it knows", [&] { return !cast.replica(0).hasQuorumContact(); });
        // So do the others, long before its links are given up.
        const auto silent = cast.members[0]->at();
        cast.until("it is heard no more",
                   [&] { return !cast.replica(1).hearsPeer(silent) && !cast.replica(2).hearsPeer(silent); });
        CPPUNIT_ASSERT(cast.replica(1).hearsPeer(cast.members[2]->at()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cast.replica(1).connectedPeerCount());
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cast.write(0, "lost", 3600 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("-"),
                             cast.change(
                                 0, [](const std::string& held) { return held; }, 3600 * kSecond));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.write(1, "two"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"),
                             cast.replica(0).known(control_plane::kConfigurationKey).value);
        cast.members[0]->cut = false;
        cast.until("contact is back", [&] { return cast.replica(0).hasQuorumContact(); });
        // In contact means read from a majority since.
        CPPUNIT_ASSERT_EQUAL(std::string("two"),
                             cast.replica(0).known(control_plane::kConfigurationKey).value);
    }

    // A member dies and one that stands by takes its seat, whole; then a second dies, then the last of the
    // first three: each loss alone, and what was written first is still read.
    void replacedAndLostAgain() {
        Cast cast(6, 6);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3, 4, 5}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        const auto first = cast.replica(0).members();
        for (int at = 0; at < 6; ++at) {
            if (!first.contains(cast.members[at]->at())) continue;
            const auto epoch = cast.replica(at).epoch().number;
            const auto gone = cast.members[at]->at();
            cast.members[at]->kill();
            int witness = -1;
            for (int other = 0; other < 6; ++other)
                if (!cast.members[other]->gone) witness = other;
            cast.until("its seat is taken", [&] {
                return cast.replica(witness).epoch().number > epoch &&
                       !cast.replica(witness).members().contains(gone) &&
                       cast.replica(witness).hasQuorumContact();
            });
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), cast.replica(witness).members().size());
            CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(witness));
        }
        cast.until("all know the same members", [&] { return cast.registers().size() == 1; });
        // Two of the first come back with their disks: they stand by, and are told so.
        for (int at = 0; at < 2; ++at)
            if (cast.members[at]->gone) {
                cast.launch(at, false);
                cast.until("it knows its place", [&] {
                    return cast.replica(at).hasQuorumContact() && !cast.replica(at).isVotingMember() &&
                           !cast.replica(at).members().contains(cast.members[at]->at());
                });
                CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(at));
            }
    }

    // A member's disk takes the seal of the old epoch and is full from then on. The new one opens without it;
    // with room again it is part of majorities, so that the next loss is borne.
    void fullThroughAChange() {
        Cast cast(4, 4);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        std::vector<int> seated;
        int spare = 0;
        for (int at = 0; at < 4; ++at)
            if (cast.replica(at).isVotingMember()) seated.push_back(at);
            else spare = at;
        const int gone = seated[0], full = seated[1], other = seated[2];
        cast.members[gone]->kill();
        cast.until("it has sealed", [&] {
            return cast.disks[full].image().second["standing"].find("\"next\"") != std::string::npos;
        });
        cast.disks[full].set(cast.disks[full].full, true);
        cast.until("the seat is taken", [&] {
            return cast.replica(other).hasQuorumContact() && cast.replica(spare).isVotingMember();
        });
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.write(other, "two"));
        CPPUNIT_ASSERT(!cast.replica(full).isVotingMember());
        cast.disks[full].set(cast.disks[full].full, false);
        cast.until("it counts again", [&] { return cast.replica(full).isVotingMember(); });
        cast.members[spare]->kill();
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.read(other));
        CPPUNIT_ASSERT_EQUAL(std::string("three"), cast.write(full, "three"));
    }

    // While a member was away all others of its epoch were replaced, one after the other. None of them is
    // left to tell what they saw of its disk; it stands by all the same, and takes a seat when one is free.
    void backAfterTheOthersWent() {
        Cast cast(7, 7);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3, 4, 5, 6}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        const auto takesOver = [&](const std::string& gone, int witness) {
            cast.until("a seat is taken", [&] {
                return cast.replica(witness).hasQuorumContact() &&
                       !cast.replica(witness).members().contains(gone);
            });
        };
        std::vector<int> first;
        for (int at = 0; at < 7; ++at)
            if (cast.replica(at).isVotingMember()) first.push_back(at);
        int witness = 0;
        while (cast.replica(witness).isVotingMember()) ++witness;
        for (const int at : first) {
            cast.members[at]->kill();
            takesOver(cast.members[at]->at(), witness);
        }
        cast.launch(first[0], false);
        const auto back = cast.members[first[0]]->at();
        cast.until("it stands by", [&] { return cast.replica(first[0]).hasQuorumContact(); });
        // Members go on falling, one at a time and never one that stands by (a second loss that nobody knows
        // of yet), until it is needed.
        while (!cast.replica(witness).members().contains(back)) {
            int next = 0;
            while (next == witness || !cast.replica(witness).members().contains(cast.members[next]->at()))
                ++next;
            cast.members[next]->kill();
            takesOver(cast.members[next]->at(), witness);
        }
        CPPUNIT_ASSERT(cast.replica(witness).members().contains(back));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(first[0]));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.write(witness, "two"));
    }

    // All fall at once, and one member is later to come back than the others and one that stands by: it is
    // not absent before it was given the time that any member is given.
    void lateIsNotAbsent() {
        Cast cast(4);
        cast.tolerance = [](config::BootstrapSettings& boot) {
            boot.machinesLost = 1;
            boot.controlReplaceAfter = 5 * kSecond;  // also on a machine that is busy with other things
        };
        for (int at = 0; at < 4; ++at) cast.launch(at, true);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        int late = 0;
        while (!cast.replica(late).isVotingMember()) ++late;
        std::vector<int> others;
        for (int at = 0; at < 4; ++at)
            if (at != late) others.push_back(at);
        cast.until("all hold it", [&] {
            return std::all_of(cast.disks.begin(), cast.disks.end(), [](Disk& disk) {
                return disk.image().first[control_plane::kConfigurationKey].value == "one";
            });
        });
        for (auto& member : cast.members) member->kill();
        for (const int at : others) cast.launch(at, false);
        cast.until("they are in contact", [&] { return cast.hasQuorumContact(others); });
        const Nanos since = now();
        cast.until("they have looked around", [&] { return now() - since > 300 * kMillisecond; });
        cast.launch(late, false);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3}); });
        for (int at = 0; at < 4; ++at)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cast.replica(at).epoch().number);
    }

    // A change of the members was accepted by one disk, and whoever asked for it is gone: it is ended soon by
    // the others, not when somebody happens to need another change.
    void leftHalfway() {
        Cast cast(4, 4);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        int holds = 0, spare = 0;
        while (!cast.replica(holds).isVotingMember()) ++holds;
        while (cast.replica(spare).isVotingMember()) ++spare;
        auto next = cast.replica(holds).epoch();
        next.number = 2;
        for (int at = 0; at < 4; ++at)
            if (cast.replica(at).isVotingMember() && at != holds) {
                // In the place of the other member that comes first, as if it had been thought absent.
                const auto disk = cast.disks[spare].image().second.at("disk");
                std::erase_if(next.members,
                              [&](const auto& one) { return one.address == cast.members[at]->at(); });
                next.members.push_back({cast.members[spare]->at(), disk, cast.zone(spare), "r"});
                std::sort(next.members.begin(), next.members.end());
                break;
            }
        cast.members[holds]->kill();
        auto image = cast.disks[holds].image();
        image.first["epoch/2"] = {{1, 77}, {1, 77}, membership::encode(next).dump()};
        cast.disks[holds].restore(image);
        cast.launch(holds, false);
        cast.until("it is ended", [&] {
            return cast.replica(spare).epoch().number >= 2 && cast.hasQuorumContact({0, 1, 2, 3});
        });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(spare));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.write(holds, "two"));
    }

    // A disk is put back as it was before it had answered: it counts as lost, and joins as another.
    void oldImage() {
        Cast cast(3, 3);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        const auto image = cast.disks[1].image();
        for (const auto* value : {"two", "three", "four"})
            CPPUNIT_ASSERT_EQUAL(std::string(value), cast.write(0, value));
        cast.until("it has them", [&] {
            return cast.disks[1].image().first[control_plane::kConfigurationKey].value == "four";
        });
        const auto disk = image.second.at("disk");
        cast.members[1]->kill();
        cast.disks[1].restore(image);
        cast.launch(1, false);
        cast.until("it votes again",
                   [&] { return cast.replica(1).isVotingMember() && cast.replica(1).hasQuorumContact(); });
        CPPUNIT_ASSERT(cast.disks[1].image().second.at("disk") != disk);
        cast.until("the others know",
                   [&] { return !cast.replica(0).epoch().find(cast.members[1]->at(), disk); });
        CPPUNIT_ASSERT_EQUAL(std::string("four"), cast.read(1));
    }

    // One that is told to go hands its seat to one that stands by, and then is no member; where none stands
    // by it keeps the seat, and the only copy is never left out.
    void leaves() {
        Cast cast(4, 4);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2, 3}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        int leaver = 0;
        while (!cast.replica(leaver).isVotingMember()) ++leaver;
        const auto leave = [&](Cast& of, int at) {
            bool left = false;
            spawn(of.io, "leave", [](ReplicaNode& replica, bool& left_) -> Task<> {
                co_await replica.stepDown();
                left_ = true;
            }(of.replica(at), left));
            of.until("it has left", [&] { return left; });
        };
        leave(cast, leaver);
        CPPUNIT_ASSERT(!cast.replica(leaver).members().contains(cast.members[leaver]->at()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cast.replica(leaver).members().size());
        cast.members[leaver]->kill();
        const int other = (leaver + 1) % 4;
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(other));
        leave(cast, other);  // nobody stands by now
        CPPUNIT_ASSERT(cast.replica(other).members().contains(cast.members[other]->at()));
        Cast alone(1);
        alone.tolerance = [](config::BootstrapSettings&) {};
        alone.launch(0, true);
        alone.until("it is in contact with itself", [&] { return alone.hasQuorumContact({0}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), alone.write(0, "one"));
        leave(alone, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), alone.replica(0).members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), alone.read(0));
    }

    // A majority is gone for good: the disk that is left decides nothing by itself; by the operator's command
    // it is a register of one, to which others are added.
    void majorityLost() {
        Cast cast(3, 3);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(0, "one"));
        cast.until("it holds it", [&] {
            return cast.disks[0].image().first[control_plane::kConfigurationKey].value == "one";
        });
        for (auto& member : cast.members) member->kill();
        for (int lost : {1, 2}) cast.disks[lost].restore({});
        cast.launch(0, false), cast.launch(1, false), cast.launch(2, false);
        int turns = 0;
        cast.until("they have met",
                   [&] { return ++turns > 3000 && cast.replica(0).connectedPeerCount() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("-"), cast.write(0, "two", 3600 * kSecond));
        cast.members[0]->kill();

        const auto folder = std::filesystem::temp_directory_path() / ("found-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        const auto image = cast.disks[0].image();
        const auto command = [&](const std::string& more) {
            return std::string(GATEWAY) + " promptbook found " + folder.string() + " --address " +
                   cast.members[0]->at() + more + " > /dev/null";
        };
        {
            storage::LmdbReplicaStore book(folder.string(), 8 << 20);
            // Not a configuration in the operators' sense, so the command is shown another key.
            book.write({{"k", image.first.at(control_plane::kConfigurationKey)}}, image.second);
        }
        CPPUNIT_ASSERT_EQUAL(0, std::system(command("").c_str()));
        CPPUNIT_ASSERT_EQUAL(
            image.second.at("standing"),
            storage::LmdbReplicaStore(folder.string(), 8 << 20).note("standing"));  // only told
        CPPUNIT_ASSERT_EQUAL(0, std::system(command(" --yes").c_str()));
        auto founded = image;
        founded.second["standing"] = storage::LmdbReplicaStore(folder.string(), 8 << 20).note("standing");
        std::filesystem::remove_all(folder);
        cast.disks[0].restore(founded);
        cast.launch(0, false);
        cast.until("there is a register of three again", [&] {
            return cast.replica(0).hasQuorumContact() && cast.replica(0).members().size() == 3 &&
                   cast.registers().size() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(2));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), cast.write(1, "two"));
    }

    // Books from before there were epochs: their members are the first epoch.
    void bookOfBefore() {
        Cast cast(3);
        std::string members;
        for (int at = 0; at < 3; ++at)
            members +=
                (at ? "," : "") + ("127.0.3." + std::to_string(at + 1)) + ":" + std::to_string(cast.port);
        for (auto& disk : cast.disks) {
            disk.notes["members"] = members;
            disk.cells[control_plane::kConfigurationKey] = {{3, 7}, {3, 7}, "kept"};
        }
        for (int at = 0; at < 3; ++at) cast.launch(at, false);
        cast.until("all are in contact", [&] { return cast.hasQuorumContact({0, 1, 2}); });
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), cast.read(0));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.write(1, "one"));
        cast.until("zones are known", [&] { return cast.replica(2).epoch().members[0].zone == "z0"; });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cast.read(2));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
