// Specific cases of proposals and reconfigurations that the explorer reaches only rarely.
#include <cppunit/extensions/HelperMacros.h>

#include "consensus/consensus.hpp"

using namespace lichenlanding::consensus;

class ProposalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProposalTest);
    CPPUNIT_TEST(agreesOnOneOfThreeDifferentStates);
    CPPUNIT_TEST(transferRaisesNumbersAboveStrayAccepts);
    CPPUNIT_TEST(ignoresASealOfTheEpochBefore);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A read whose acceptors have three different states returns one value, and every later read returns the
    // same value.
    void agreesOnOneOfThreeDifferentStates() {
        Epoch epoch{1, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        const Change unchanged = [](const std::string& value) { return value; };
        for (std::uint32_t first = 0; first < 3; ++first) {
            std::vector<Acceptor> acceptors;
            for (std::uint32_t index = 0; index < 3; ++index) {
                acceptors.emplace_back(std::string(1, static_cast<char>('a' + index)), "1");
                acceptors[index].apply({{{"k", {{3, 9}, {index + 1, 9}, std::to_string(index + 1)}}},
                                        EpochState{epoch, true, {}, {}}});
            }
            const auto read = [&](std::uint32_t from, std::uint64_t highestKnownRound) {
                Proposal proposal("k", epoch, 1, highestKnownRound, unchanged, true);
                while (proposal.step() != Proposal::Step::done) {
                    if (proposal.step() == Proposal::Step::lost)
                        proposal = Proposal("k", epoch, 1, proposal.highestRound(), unchanged, false);
                    const auto request = proposal.request();
                    const auto step = proposal.step();
                    for (std::uint32_t index = 0; index < 3; ++index) {
                        std::optional<Update> update;
                        const auto reply = acceptors[(from + index) % 3].evaluate(request, update);
                        if (update) acceptors[(from + index) % 3].apply(*update);
                        proposal.handleReply((from + index) % 3, step, reply);
                    }
                }
                return proposal.value();
            };
            const auto value = read(first, 0);
            CPPUNIT_ASSERT(value >=
                           "2");  // the higher of the first two replies (every acceptor has promised round 3)
            for (std::uint32_t again = 0; again < 3; ++again) CPPUNIT_ASSERT_EQUAL(value, read(again, 9));
        }
    }

    // A value that a single disk accepted in an old epoch, and that no proposal completed with, must not
    // outrank a later value once that disk is a member again. So the transfer raises a key's proposal numbers
    // even if it finds only promises.
    void transferRaisesNumbersAboveStrayAccepts() {
        const Epoch one{1, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        const Epoch two{2, {{"c", "1", "", ""}, {"d", "1", "", ""}, {"e", "1", "", ""}}};
        std::map<std::string, Acceptor> acceptors;
        for (const auto* name : {"a", "b", "c", "d", "e"}) {
            acceptors.emplace(name, Acceptor(name, "1"));
            if (name[0] < 'd') acceptors.at(name).apply({{}, EpochState{one, true, {}, {}}});
        }
        const auto deliver = [&](const std::string& name, const Request& request) {
            std::optional<Update> update;
            auto& acceptor = acceptors.at(name);
            const auto reply = acceptor.evaluate(request, update);
            if (update) acceptor.apply(*update);
            return reply;
        };
        Request request;
        request.epoch = 1, request.key = "k", request.proposalNumber = {100, 1};
        request.kind = Request::Kind::prepare;
        for (const auto* name : {"a", "b", "c"}) CPPUNIT_ASSERT(deliver(name, request).accepted);
        request.kind = Request::Kind::accept, request.value = "old";
        CPPUNIT_ASSERT(deliver("a", request).accepted);  // no other acceptor receives it
        Reconfiguration reconfiguration(one, two, 2);
        for (int turn = 0; turn < 20 && reconfiguration.step() != Reconfiguration::Step::done; ++turn) {
            const auto requests = reconfiguration.requests();
            const auto step = reconfiguration.step();
            const auto targets = reconfiguration.targetEpoch();
            for (const auto& stepRequest : requests) {
                const auto proposal = reconfiguration.proposals().find(stepRequest.key);
                const auto proposalStep = proposal == reconfiguration.proposals().end()
                                              ? Proposal::Step::read
                                              : proposal->second.step();
                for (std::uint32_t index = 0; index < targets.members.size(); ++index) {
                    const auto& name = targets.members[index].address;
                    if (name == "a" || (name == "c" && step != Reconfiguration::Step::seal))
                        continue;  // partitioned
                    reconfiguration.handleReply(index, step, stepRequest.key, proposalStep,
                                                deliver(name, stepRequest));
                }
            }
        }
        CPPUNIT_ASSERT(reconfiguration.step() == Reconfiguration::Step::done);
        Proposal later(
            "k", two, 3, 0, [](const std::string&) { return "new"; }, false);
        for (int turn = 0; turn < 9 && later.step() != Proposal::Step::done; ++turn) {
            if (later.step() == Proposal::Step::lost)
                later = Proposal(
                    "k", two, 3, later.highestRound(), [](const std::string&) { return "new"; }, false);
            const auto step = later.step();
            const auto laterRequest = later.request();
            for (std::uint32_t index = 1; index < 3; ++index)
                later.handleReply(index, step, deliver(two.members[index].address, laterRequest));
        }
        CPPUNIT_ASSERT(later.step() == Proposal::Step::done);
        CPPUNIT_ASSERT(later.proposalNumber() > acceptors.at("a").state("k").accepted);
    }

    // A member of the new epoch that has only received the seal of the old one rejects requests, and does so
    // before the others reply. The others still form a majority.
    void ignoresASealOfTheEpochBefore() {
        const Epoch two{2, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        Proposal proposal(
            "k", two, 1, 0, [](const std::string&) { return "new"; }, false);
        const auto rejection = [](std::uint64_t epoch, bool sealed) {
            Reply reply;
            reply.rejected = true, reply.epoch = epoch, reply.sealed = sealed;
            return reply;
        };
        Reply acceptance;
        acceptance.accepted = true;
        while (proposal.step() != Proposal::Step::done) {
            const auto step = proposal.step();
            CPPUNIT_ASSERT(!proposal.handleReply(0, step, rejection(1, true)));
            CPPUNIT_ASSERT(!proposal.handleReply(1, step, acceptance));
            CPPUNIT_ASSERT(proposal.handleReply(2, step, acceptance));
        }
        // The acceptor has sealed this epoch or is in a later one: the proposal cannot succeed any more.
        for (const auto& reply : {rejection(2, true), rejection(3, false)}) {
            Proposal other(
                "k", two, 1, 0, [](const std::string&) { return "new"; }, false);
            CPPUNIT_ASSERT(other.handleReply(0, Proposal::Step::prepare, reply));
            CPPUNIT_ASSERT(other.step() == Proposal::Step::lost);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ProposalTest);
