// Proposals and reconfigurations in single cases that the explorer would meet seldom.
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
    // A read that meets three different acceptors ends with one value, and every later read ends with the
    // same.
    void agreesOnOneOfThreeDifferentStates() {
        Epoch epoch{1, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        const Change asItIs = [](const std::string& held) { return held; };
        for (std::uint32_t first = 0; first < 3; ++first) {
            std::vector<Acceptor> acceptors;
            for (std::uint32_t at = 0; at < 3; ++at) {
                acceptors.emplace_back(std::string(1, static_cast<char>('a' + at)), "1");
                acceptors[at].apply({{{"k", {{3, 9}, {at + 1, 9}, std::to_string(at + 1)}}},
                                     EpochState{epoch, true, {}, {}}});
            }
            const auto read = [&](std::uint32_t from, std::uint64_t above) {
                Proposal run("k", epoch, 1, above, asItIs, true);
                while (run.step() != Proposal::Step::done) {
                    if (run.step() == Proposal::Step::lost)
                        run = Proposal("k", epoch, 1, run.highestRound(), asItIs, false);
                    const auto request = run.request();
                    const auto step = run.step();
                    for (std::uint32_t at = 0; at < 3; ++at) {
                        std::optional<Update> update;
                        const auto reply = acceptors[(from + at) % 3].evaluate(request, update);
                        if (update) acceptors[(from + at) % 3].apply(*update);
                        run.handleReply((from + at) % 3, step, reply);
                    }
                }
                return run.value();
            };
            const auto value = read(first, 0);
            CPPUNIT_ASSERT(
                value >=
                "2");  // of the two acceptors it met first, the higher (all have promised the highest)
            for (std::uint32_t again = 0; again < 3; ++again) CPPUNIT_ASSERT_EQUAL(value, read(again, 9));
        }
    }

    // A body that one disk took in an old epoch, and nobody ended with, does not come back above a later one
    // when its disk is a member again: the transfer lifts a key's ballots also where it finds only promises.
    void transferRaisesNumbersAboveStrayAccepts() {
        const Epoch one{1, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        const Epoch two{2, {{"c", "1", "", ""}, {"d", "1", "", ""}, {"e", "1", "", ""}}};
        std::map<std::string, Acceptor> acceptors;
        for (const auto* name : {"a", "b", "c", "d", "e"}) {
            acceptors.emplace(name, Acceptor(name, "1"));
            if (name[0] < 'd') acceptors.at(name).apply({{}, EpochState{one, true, {}, {}}});
        }
        const auto ask = [&](const std::string& name, const Request& request) {
            std::optional<Update> update;
            auto& acceptor = acceptors.at(name);
            const auto reply = acceptor.evaluate(request, update);
            if (update) acceptor.apply(*update);
            return reply;
        };
        Request request;
        request.epoch = 1, request.key = "k", request.proposalNumber = {100, 1};
        request.kind = Request::Kind::prepare;
        for (const auto* name : {"a", "b", "c"}) CPPUNIT_ASSERT(ask(name, request).accepted);
        request.kind = Request::Kind::accept, request.value = "old";
        CPPUNIT_ASSERT(ask("a", request).accepted);  // and nobody else hears of it
        Reconfiguration reconfiguration(one, two, 2);
        for (int turn = 0; turn < 20 && reconfiguration.step() != Reconfiguration::Step::done; ++turn) {
            const auto requests = reconfiguration.requests();
            const auto step = reconfiguration.step();
            const auto asked = reconfiguration.targetEpoch();
            for (const auto& each : requests) {
                const auto run = reconfiguration.proposals().find(each.key);
                const auto proposalStep =
                    run == reconfiguration.proposals().end() ? Proposal::Step::read : run->second.step();
                for (std::uint32_t at = 0; at < asked.members.size(); ++at) {
                    const auto& name = asked.members[at].address;
                    if (name == "a" || (name == "c" && step != Reconfiguration::Step::seal))
                        continue;  // cut off
                    reconfiguration.handleReply(at, step, each.key, proposalStep, ask(name, each));
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
            const auto asked = later.request();
            for (std::uint32_t at = 1; at < 3; ++at)
                later.handleReply(at, step, ask(two.members[at].address, asked));
        }
        CPPUNIT_ASSERT(later.step() == Proposal::Step::done);
        CPPUNIT_ASSERT(later.proposalNumber() > acceptors.at("a").state("k").accepted);
    }

    // A member of the new epoch whose disk took the seal of the old one and then no more refuses at once, as
    // the first to answer: the others are a majority all the same.
    void ignoresASealOfTheEpochBefore() {
        const Epoch two{2, {{"a", "1", "", ""}, {"b", "1", "", ""}, {"c", "1", "", ""}}};
        Proposal run(
            "k", two, 1, 0, [](const std::string&) { return "new"; }, false);
        const auto refusal = [](std::uint64_t epoch, bool sealed) {
            Reply reply;
            reply.rejected = true, reply.epoch = epoch, reply.sealed = sealed;
            return reply;
        };
        Reply taken;
        taken.accepted = true;
        while (run.step() != Proposal::Step::done) {
            const auto step = run.step();
            CPPUNIT_ASSERT(!run.handleReply(0, step, refusal(1, true)));
            CPPUNIT_ASSERT(!run.handleReply(1, step, taken));
            CPPUNIT_ASSERT(run.handleReply(2, step, taken));
        }
        // Sealed in its own epoch, or further on: nothing more to win.
        for (const auto& reply : {refusal(2, true), refusal(3, false)}) {
            Proposal other(
                "k", two, 1, 0, [](const std::string&) { return "new"; }, false);
            CPPUNIT_ASSERT(other.handleReply(0, Proposal::Step::prepare, reply));
            CPPUNIT_ASSERT(other.step() == Proposal::Step::lost);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ProposalTest);
