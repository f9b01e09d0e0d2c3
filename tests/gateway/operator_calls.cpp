// The operator's calls: what each comes to against a register that is out of contact, loses a majority midway
// or knows the order already.
#include "control_stage.hpp"
#include "orders/configuration.hpp"
#include "playbill/playbill.hpp"
#include "wings/pack.hpp"

using namespace control_stage;
using Fate = ScriptedRegister::Fate;

class OperatorCallsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorCallsTest);
    CPPUNIT_TEST(outOfContact);
    CPPUNIT_TEST(lostMidway);
    CPPUNIT_TEST(conflicts);
    CPPUNIT_TEST(earlierFormat);
    CPPUNIT_TEST(unreadable);
    CPPUNIT_TEST_SUITE_END();

  public:
    // 503 with Retry-After, and the register isn't asked: no caller waits for what can't come.
    void outOfContact() {
        ControlStage stage;
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", configuration("00000001")));
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("rollouts.begin", rollout("v2", "12s")));
        const auto asked = stage.reg.asked;
        const auto values = stage.reg.values;
        stage.reg.contact = false;
        for (const auto& [name, body] :
             std::vector<std::pair<std::string, std::string>>{{"config.replace", configuration("00000002")},
                                                              {"config.replace", configuration("00000001")},
                                                              {"config.replace", "not a configuration"},
                                                              {"config.read", ""},
                                                              {"rollouts.begin", rollout("v3", "12s")},
                                                              {"rollouts.begin", "{}"},
                                                              {"rollouts.read&of=s", ""}}) {
            const auto response = stage.call(name, body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 503u, response.result_int());
            CPPUNIT_ASSERT_MESSAGE(name, std::stod(std::string(response[http::field::retry_after])) > 0);
        }
        CPPUNIT_ASSERT_EQUAL(asked, stage.reg.asked);
        CPPUNIT_ASSERT(values == stage.reg.values);
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("status"));  // asks nobody
        CPPUNIT_ASSERT_EQUAL(404u, stage.status("config.other"));
    }

    // A majority lost before or after the value was in force: no clear answer, never a refusal; sent again,
    // it is acknowledged, whichever it was.
    void lostMidway() {
        for (const auto fate : {Fate::lostBefore, Fate::lostAfter}) {
            ControlStage stage;
            CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", configuration("00000001")));
            stage.reg.fates = {fate, Fate::answered, fate};
            const auto order = configuration("00000002");
            CPPUNIT_ASSERT_EQUAL(503u, stage.status("config.replace", order));
            CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", order));
            // A clash whose majority is lost is no refusal either.
            CPPUNIT_ASSERT_EQUAL(503u, stage.status("config.replace", configuration("00000002", "/b/")));
            CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", order));
            CPPUNIT_ASSERT_EQUAL(order, stage.call("config.read").body());
            stage.reg.fates = {fate};
            CPPUNIT_ASSERT_EQUAL(503u, stage.status("rollouts.begin", rollout("v2", "12s")));
            CPPUNIT_ASSERT_EQUAL(200u, stage.status("rollouts.begin", rollout("v2", "12000ms")));
            stage.reg.fates = {fate};
            CPPUNIT_ASSERT_EQUAL(503u, stage.status("rollouts.begin", rollout("v2", "15s")));
        }
        // The first was in force although nobody was told: the second one under its number is refused.
        ControlStage stage;
        stage.reg.fates = {Fate::lostAfter};
        CPPUNIT_ASSERT_EQUAL(503u, stage.status("config.replace", configuration("00000002")));
        CPPUNIT_ASSERT_EQUAL(409u, stage.status("config.replace", configuration("00000002", "/b/")));
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", configuration("00000002")));
    }

    // Same number, other body: 409 that names the number, before and after other changes; a number below the
    // one held is acknowledged and changes nothing; the same order is acknowledged again, always.
    void conflicts() {
        ControlStage stage;
        const auto say = [&](const std::string& name, const std::string& body) {
            const auto response = stage.call(name, body);
            return std::to_string(response.result_int()) + " " + response.body() + "\n";
        };
        std::string seen;
        for (const auto& [number, path] :
             std::vector<std::pair<std::string, std::string>>{{"00000007", "/a/"},
                                                              {"00000007", "/b/"},
                                                              {"00000007", "/a/"},
                                                              {"00000009", "/c/"},
                                                              {"00000007", "/a/"},
                                                              {"00000007", "/b/"},
                                                              {"00000005", "/d/"},
                                                              {"00000005", "/e/"},
                                                              {"00000005", "/d/"},
                                                              {"00000009", "/a/"},
                                                              {"00000009", "/c/"}})
            seen += number + " " + path + ": " + say("config.replace", configuration(number, path));
        CPPUNIT_ASSERT_EQUAL(configuration("00000009", "/c/"), stage.call("config.read").body());
        for (const auto& [target, deadline] : std::vector<std::pair<std::string, std::string>>{
                 {"v2", "12s"}, {"v2", "12s"}, {"v2", "15s"}, {"v3", "12s"}})
            seen += "rollout " + target + " " + deadline + ": " +
                    say("rollouts.begin", rollout(target, deadline));
        seen += "rollouts.read: " + say("rollouts.read&of=s", "");
        approve("operator-calls-conflicts", seen);
    }

    // A register written by an earlier text: read back, known again, told apart and replaced.
    void earlierFormat() {
        ControlStage stage;
        const auto order = configuration("0000000c");
        stage.reg.values[prompter::configurationKey] = "0000000c" + squeeze(order);
        CPPUNIT_ASSERT_EQUAL(order, stage.call("config.read").body());
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", order));
        CPPUNIT_ASSERT_EQUAL(409u, stage.status("config.replace", configuration("0000000c", "/b/")));
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", configuration("0000000d")));
        CPPUNIT_ASSERT_EQUAL(200u, stage.status("config.replace", order));
        CPPUNIT_ASSERT_EQUAL(409u, stage.status("config.replace", configuration("0000000c", "/b/")));
    }

    // A value of a later text: nothing is acknowledged over it, and it stays as it is.
    void unreadable() {
        ControlStage stage;
        for (const auto* key : {"configuration", "rollouts"}) stage.reg.values[key] = "o9 of a later text";
        const auto values = stage.reg.values;
        CPPUNIT_ASSERT_EQUAL(503u, stage.status("config.replace", configuration("00000002")));
        CPPUNIT_ASSERT_EQUAL(503u, stage.status("config.read"));
        CPPUNIT_ASSERT_EQUAL(503u, stage.status("rollouts.begin", rollout("v2", "12s")));
        CPPUNIT_ASSERT_EQUAL(503u, stage.status("rollouts.read&of=s"));
        CPPUNIT_ASSERT(values == stage.reg.values);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCallsTest);
