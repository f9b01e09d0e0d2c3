// The wire format of messages between the gateway's processes.
#include "control_plane/link_messages.hpp"

#include "support/transcript.hpp"

using namespace lichenlanding::control_plane;
using lichenlanding::Verdict;

class LinkMessagesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkMessagesTest);
    CPPUNIT_TEST(helloNamesItsKind);
    CPPUNIT_TEST(decodesItsOwnStateReport);
    CPPUNIT_TEST(decodesStateReportOfEarlierVersion);
    CPPUNIT_TEST(voteKeepsReceivedMessage);
    CPPUNIT_TEST(addsContactAndClock);
    CPPUNIT_TEST(recognizesTypes);
    CPPUNIT_TEST_SUITE_END();

  public:
    void helloNamesItsKind() {
        const auto message = encodeHello({{"members", {"a:1", "b:1"}}}, "c1", "a:1");
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"at":"a:1","kind":"prompter","members":["a:1","b:1"],"name":"c1","t":"hello"})"),
            message.dump());
        const auto hello = decodeHello(message);
        CPPUNIT_ASSERT(hello.fromControlPlane());
        CPPUNIT_ASSERT(hello.address == "a:1" && hello.members == std::vector<std::string>({"a:1", "b:1"}));
        const auto proxy =
            decodeHello(Json::parse(R"({"t":"hello","kind":"foyer","name":"p1","at":"c:1","life":7})"));
        CPPUNIT_ASSERT(!proxy.fromControlPlane() && proxy.kind == kProxyKind);
        CPPUNIT_ASSERT(proxy.name == "p1" && proxy.address == "c:1" && proxy.incarnation == 7);
        CPPUNIT_ASSERT_THROW(decodeHello(Json::parse(R"({"t":"hello","kind":"foyer","at":"c:1"})")),
                             Json::exception);
    }

    void decodesItsOwnStateReport() {
        StateReport report;
        report.proposalNumbers["configuration"] = {3, 1};
        report.reachable = {"b:1", "a:1"};
        report.ages = {{"s\nv2\n12000", {6000, 1, 400}}};
        const auto message = encodeStateReport(report);
        CPPUNIT_ASSERT_EQUAL(std::string("known"), message.at("t").get<std::string>());
        CPPUNIT_ASSERT(message.at("ballots").contains("configuration"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(["a:1","b:1"])"), message.at("hears").dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"([["s\nv2\n12000",6000,1,400]])"), message.at("ages").dump());
        CPPUNIT_ASSERT(decodeReachable(message) == report.reachable);
        const auto ages = decodeAges(message);
        CPPUNIT_ASSERT(ages && ages->size() == 1);
        CPPUNIT_ASSERT(ages->front().rollout == report.ages[0].rollout &&
                       ages->front().age == report.ages[0].age);
    }

    void decodesStateReportOfEarlierVersion() {
        const auto message = Json::parse(R"({"t":"known","ballots":{}})");
        CPPUNIT_ASSERT(!decodeReachable(message) && !decodeAges(message));
    }

    void voteKeepsReceivedMessage() {
        const auto message = Json::parse(
            R"({"t":"vote","from":"p1","service":"s","target":"v2","stage":1,"verdict":1,"fresh":40})");
        const auto vote = decodeVote(message);
        CPPUNIT_ASSERT(vote.voter == "p1" && vote.service == "s" && vote.target == "v2");
        CPPUNIT_ASSERT(vote.verdict == Verdict::advance && vote.stage == 1 && vote.message == message);
        CPPUNIT_ASSERT(!vote.stable);  // as of a proxy of an earlier version
        auto stable = message;
        stable["stable"] = true, stable["generation"] = 2;
        CPPUNIT_ASSERT(decodeVote(stable).stable && decodeVote(stable).generation == std::int64_t{2});
        CPPUNIT_ASSERT(!vote.generation);  // counts for whichever rollout of the version is running
    }

    void addsContactAndClock() {
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"sure":false,"t":"digest"})"),
                             withContact({{"t", "digest"}}, false, 5).dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"clock":5,"sums":[],"sure":true,"t":"digest"})"),
                             withContact({{"t", "digest"}, {"sums", Json::array()}}, true, 5).dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"foyers":{"p1":"c:1"},"t":"roster"})"),
                             encodeRoster({{"p1", "c:1"}}).dump());
    }

    void recognizesTypes() {
        using Type = MessageType;
        for (const auto& [name, type] : std::map<std::string, Type>{{"hello", Type::hello},
                                                                    {"known", Type::known},
                                                                    {"want", Type::want},
                                                                    {"digest", Type::digest},
                                                                    {"lost", Type::lost},
                                                                    {"ack", Type::acknowledgement},
                                                                    {"vote", Type::vote},
                                                                    {"of a later version", Type::other}})
            CPPUNIT_ASSERT_MESSAGE(name, messageType({{"t", name}}) == type);
        CPPUNIT_ASSERT_EQUAL(7U, decodeAcknowledgement({{"t", "ack"}, {"configuration", 7}}));
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), decodeLostProxy({{"t", "lost"}, {"name", "p1"}}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkMessagesTest);
