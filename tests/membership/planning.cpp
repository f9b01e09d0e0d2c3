// Which machines become members, and which losses a set of members survives.
#include <cppunit/extensions/HelperMacros.h>

#include "membership/membership.hpp"

using namespace lichenlanding;
using membership::Candidate;
using membership::FaultTolerance;

namespace {

consensus::Member machine(const std::string& name, const std::string& zone, const std::string& region = "r") {
    return {name, "d-" + name, zone, region};
}
std::vector<Candidate> candidatesOf(const std::vector<consensus::Member>& members) {
    std::vector<Candidate> candidates;
    for (const auto& member : members) candidates.push_back({member, true, true});
    return candidates;
}
std::string names(const std::vector<consensus::Member>& members) {
    std::string text;
    for (const auto& member : members) text += (text.empty() ? "" : " ") + member.address;
    return text;
}

}  // namespace

class MembershipPlanningTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipPlanningTest);
    CPPUNIT_TEST(choosesFewestMembersThatSurviveTheLosses);
    CPPUNIT_TEST(keepsMembersUntilCompleteOnesReplaceThem);
    CPPUNIT_TEST_SUITE_END();

  public:
    void choosesFewestMembersThatSurviveTheLosses() {
        const std::vector<consensus::Member> five{machine("a", "1"), machine("b", "1"), machine("c", "2"),
                                                  machine("d", "2"), machine("e", "3")};
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             membership::planMembers({}, candidatesOf(five), {1, 0, 0}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                             membership::planMembers({}, candidatesOf(five), {2, 0, 0}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             membership::planMembers({}, candidatesOf(five), {0, 0, 0}).size());
        // One zone: three members, one in each.
        const auto spread = membership::planMembers({}, candidatesOf(five), {0, 1, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), spread.size());
        CPPUNIT_ASSERT(membership::unmetTolerance(spread, {1, 1, 0}).empty());
        // Two zones of two machines can't survive the loss of a zone: the loss of a machine has priority, and
        // the zone is reported as unmet.
        const std::vector<consensus::Member> two{machine("a", "1"), machine("b", "1"), machine("c", "2"),
                                                 machine("d", "2")};
        const auto chosen = membership::planMembers({}, candidatesOf(two), {1, 1, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), chosen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1 zone"), membership::unmetTolerance(chosen, {1, 1, 0}).front());
        // Regions: five members over three regions survive the loss of a region with two machines.
        const std::vector<consensus::Member> wide{machine("a", "1", "x"), machine("b", "2", "x"),
                                                  machine("c", "3", "y"), machine("d", "4", "y"),
                                                  machine("e", "5", "z"), machine("f", "6", "z")};
        const auto regions = membership::planMembers({}, candidatesOf(wide), {2, 1, 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), regions.size());
        CPPUNIT_ASSERT(membership::unmetTolerance(regions, {2, 1, 1}).empty());
        CPPUNIT_ASSERT(!membership::unmetTolerance(five, {2, 2, 0}).empty());
    }

    // A complete candidate replaces an absent member. Without one the member stays, and members that are
    // present are not replaced.
    void keepsMembersUntilCompleteOnesReplaceThem() {
        const auto a = machine("a", "1");
        const auto b = machine("b", "2");
        const auto c = machine("c", "3");
        const auto d = machine("d", "3");
        const auto replacedDisk = consensus::Member{"c", "d-new", "3", "r"};
        const FaultTolerance one{1, 0, 0};
        const std::vector<consensus::Member> current{a, b, c};
        CPPUNIT_ASSERT_EQUAL(std::string("a b c"),
                             names(membership::planMembers(current, candidatesOf({a, b, c, d}), one)));
        CPPUNIT_ASSERT_EQUAL(std::string("a b d"),
                             names(membership::planMembers(current, candidatesOf({a, b, d}), one)));
        CPPUNIT_ASSERT_EQUAL(std::string("a b c"),
                             names(membership::planMembers(current, candidatesOf({a, b}), one)));
        CPPUNIT_ASSERT(membership::planMembers(current, candidatesOf({a, b}), one) == current);
        // An incomplete candidate does not replace a member.
        auto incomplete = candidatesOf({a, b, d});
        incomplete[2].complete = false;
        CPPUNIT_ASSERT(membership::planMembers(current, incomplete, one) == current);
        // The same machine with another disk is another member.
        CPPUNIT_ASSERT(membership::planMembers(current, candidatesOf({a, b, replacedDisk}), one).back() ==
                       replacedDisk);
        // Two of three absent: there is no majority that could decide a change, so the members stay.
        CPPUNIT_ASSERT(membership::planMembers(current, candidatesOf({a}), one) == current);
        // A member that is leaving counts as absent.
        auto leaving = candidatesOf({a, b, c, d});
        leaving[2].present = false;
        CPPUNIT_ASSERT_EQUAL(std::string("a b d"), names(membership::planMembers(current, leaving, one)));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPlanningTest);
