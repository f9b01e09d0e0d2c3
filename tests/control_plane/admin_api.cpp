// The operator's calls: what each comes to against a register that is out of contact, loses a majority midway
// or knows the order already; and callers on loopback that go, cut, wait, or crowd in.
#include "admin/configuration_record.hpp"
#include "config/configuration.hpp"
#include "support/admin_api_fixture.hpp"
#include "transport/compression.hpp"

using namespace control_stage;
using Fate = ScriptedRegister::Fate;

class OperatorCallsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorCallsTest);
    CPPUNIT_TEST(outOfContact);
    CPPUNIT_TEST(lostMidway);
    CPPUNIT_TEST(conflicts);
    CPPUNIT_TEST(earlierFormat);
    CPPUNIT_TEST(unreadable);
    CPPUNIT_TEST(ownAnswers);
    CPPUNIT_TEST(goneBeforeTheAnswer);
    CPPUNIT_TEST(cutAtEveryByte);
    CPPUNIT_TEST(tooSlow);
    CPPUNIT_TEST(placesBounded);
    CPPUNIT_TEST(noRequest);
    CPPUNIT_TEST_SUITE_END();

    // Rollouts of two services, so that each read has an answer of its own.
    static void twoServices(ControlStage& stage) {
        for (const auto* service : {"a", "b"}) {
            const auto body = std::string(R"({"service_name":")") + service + R"(","target_version":"of-)" +
                              service + R"(","deadline":"9s"})";
            CPPUNIT_ASSERT_EQUAL(200u, stage.status("rollouts.begin", body));
        }
    }
    static std::string reads(const std::string& service) {
        return R"(200 {"state":"in_progress","target_version":"of-)" + service + "\"}\n";
    }

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
        approve("admin-api-conflicts", seen);
    }

    // A register written by an earlier text: read back, known again, told apart and replaced.
    void earlierFormat() {
        ControlStage stage;
        const auto order = configuration("0000000c");
        stage.reg.values[control_plane::kConfigurationKey] = "0000000c" + compress(order);
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

    // Two callers on reused connections, at once and pipelined, some while the register is slow: each gets
    // the answers to its own calls, in their order.
    void ownAnswers() {
        ControlStage stage;
        twoServices(stage);
        const auto one = stage.connect(), other = stage.connect();
        const auto a = ControlStage::bytes("rollouts.read&of=a"),
                   b = ControlStage::bytes("rollouts.read&of=b");
        for (int turn = 0; turn < 3; ++turn) {
            stage.send(one, a), stage.send(other, b);
            CPPUNIT_ASSERT_EQUAL(reads("a"), stage.answers(one, 1));
            CPPUNIT_ASSERT_EQUAL(reads("b"), stage.answers(other, 1));
        }
        stage.reg.held = true;
        stage.send(one, a + b + a + b), stage.send(other, b + ControlStage::bytes("status") + a);
        const auto asked = stage.reg.asked;
        stage.until([&] { return stage.reg.asked == asked + 2; });  // the first of each, no further
        stage.reg.release();
        CPPUNIT_ASSERT_EQUAL(reads("a") + reads("b") + reads("a") + reads("b"), stage.answers(one, 4));
        control_plane::StatusReport scripted;
        scripted.node = "scripted";
        const auto status = control_plane::encodeStatus(scripted).dump();
        CPPUNIT_ASSERT_EQUAL(reads("b") + "200 " + status + "\n" + reads("a"), stage.answers(other, 3));
    }

    // A caller resets, closes, or ends its side while the register is at its order: the order goes on, nobody
    // else gets its answer, and its place is free again. One that only ended its side is answered.
    void goneBeforeTheAnswer() {
        for (const auto* way : {"reset", "close", "half"}) {
            ControlStage stage;
            twoServices(stage);
            stage.reg.held = true;
            const auto gone = stage.connect(), stays = stage.connect();
            const auto order = configuration("00000002");
            const auto asked = stage.reg.asked;
            stage.send(gone, ControlStage::bytes("config.replace", order));
            stage.send(stays, ControlStage::bytes("rollouts.read&of=b"));
            stage.until([&] { return stage.reg.asked == asked + 2; });
            if (std::string(way) == "reset") gone->socket.set_option(tcp::socket::linger(true, 0));
            if (std::string(way) == "half") gone->socket.shutdown(tcp::socket::shutdown_send);
            else gone->socket.close();
            const auto after = stage.connect();  // perhaps with the same descriptor
            stage.send(after, ControlStage::bytes("rollouts.read&of=a"));
            stage.until([&] { return stage.reg.asked == asked + 3; });
            stage.reg.release();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(way, reads("b"), stage.answers(stays, 1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(way, reads("a"), stage.answers(after, 1));
            if (std::string(way) == "half")
                CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\nend\n"),
                                     stage.answers(gone, 2));
            stage.until([&] { return stage.server.connections() == 2; });
            stage.send(stays, ControlStage::bytes("config.read"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(way, "200 " + order + "\n", stage.answers(stays, 1));
            stage.send(after, ControlStage::bytes("config.replace", order));
            CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\n"),
                                 stage.answers(after, 1));
        }
    }

    // An order cut at any byte of its head or body is no order, with a length and in chunks; sent in two
    // parts at any byte it is one.
    void cutAtEveryByte() {
        ControlStage stage;
        const auto body = configuration("00000002");
        const auto half = body.size() / 2;
        const auto chunk = [](const std::string& part) {
            std::stringstream size;
            size << std::hex << part.size();
            return size.str() + "\r\n" + part + "\r\n";
        };
        const auto chunked =
            "POST /api/rpc?call=config.replace HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunk(body.substr(0, half)) + chunk(body.substr(half)) + "0\r\n\r\n";
        for (const auto& whole : {ControlStage::bytes("config.replace", body), chunked}) {
            const auto asked = stage.reg.asked;
            for (std::size_t at = 1; at < whole.size(); ++at) {
                const auto cut = stage.connect();
                stage.send(cut, whole.substr(0, at));
                stage.until([&] { return stage.server.connections() == 1; });
                cut->socket.shutdown(tcp::socket::shutdown_send);
                CPPUNIT_ASSERT_EQUAL(std::string("end\n"), stage.answers(cut, 1));
                stage.until([&] { return stage.server.connections() == 0; });
            }
            CPPUNIT_ASSERT_EQUAL(asked, stage.reg.asked);
            const auto caller = stage.connect();
            for (std::size_t at = 1; at < whole.size(); ++at) {
                stage.send(caller, whole.substr(0, at));
                while (stage.io.poll() > 0) {
                }
                stage.send(caller, whole.substr(at));
                CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\n"),
                                     stage.answers(caller, 1));
            }
            CPPUNIT_ASSERT_EQUAL(asked + whole.size() - 1, stage.reg.asked);
            caller->socket.close();
            stage.until([&] { return stage.server.connections() == 0; });
        }
    }

    // Callers that say nothing, stop within a head or a body, or don't take their answer: each bound ends
    // just those, without an answer. The others' bounds are long, so that it can't be one of them that did.
    void tooSlow() {
        const auto order = ControlStage::bytes("config.replace", configuration("00000002"));
        const auto ends = [](control_plane::AdminServerLimits bounds, const std::string& sent) {
            ControlStage stage(false, bounds);
            const auto caller = stage.connect();
            stage.send(caller, sent);
            CPPUNIT_ASSERT_EQUAL(std::string("end\n"), stage.answers(caller, 1));
            stage.until([&] { return stage.server.connections() == 0; });
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stage.reg.asked);
        };
        control_plane::AdminServerLimits idle, header, body, response;
        idle.idle = header.header = body.body = response.response = 30 * kMillisecond;
        ends(idle, "");
        ends(header, order.substr(0, 20));
        ends(body, order.substr(0, order.size() - 20));
        ControlStage stage(false, response);
        stage.reg.values[control_plane::kConfigurationKey] =
            "0000000c" + compress(std::string(32 << 20, 'x'));
        const auto deaf = stage.connect(4096);
        stage.send(deaf, ControlStage::bytes("config.read"));
        stage.until([&] { return stage.reg.asked == 1; });
        stage.until([&] { return stage.server.connections() == 0; });
    }

    // Where all places are taken, the caller that has been idle longest gives way, then one that is slow to
    // send; one that is being answered never does, and a new one waits for it.
    void placesBounded() {
        control_plane::AdminServerLimits bounds;
        bounds.connections = 3;
        ControlStage stage(false, bounds);
        twoServices(stage);
        const auto slow = stage.connect();
        stage.send(slow, "POST /api/rpc?call=st");
        const auto seen = [&](std::size_t callers) {
            stage.until([&] { return stage.server.connections() == callers; });
        };
        seen(1);
        const auto first = stage.connect();
        seen(2);
        const auto second_ = stage.connect();
        seen(3);
        const auto asks = [&](const char* service) {
            const auto caller = stage.connect();
            stage.send(caller, ControlStage::bytes(std::string("rollouts.read&of=") + service));
            return caller;
        };
        stage.reg.held = true;
        const auto asked = stage.reg.asked;
        std::vector<std::shared_ptr<Caller>> busy;
        for (const auto& dropped : {first, second_, slow}) {
            busy.push_back(asks("a"));
            CPPUNIT_ASSERT_EQUAL(std::string("end\n"), stage.answers(dropped, 1));
            stage.until([&] { return stage.reg.asked == asked + busy.size(); });
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stage.server.connections());
        }
        const auto waits = asks("b");
        while (stage.io.poll() > 0) {
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stage.server.connections());
        CPPUNIT_ASSERT_EQUAL(asked + 3, stage.reg.asked);
        stage.reg.release();
        for (const auto& caller : busy) CPPUNIT_ASSERT_EQUAL(reads("a"), stage.answers(caller, 1));
        CPPUNIT_ASSERT_EQUAL(reads("b"), stage.answers(waits, 1));
    }

    // What is no request, or too large, is told so, and the connection ends with the answer on it; a caller
    // that waits for leave to send a body gets it.
    void noRequest() {
        ControlStage stage;
        const std::string head = "POST /api/rpc?call=status HTTP/1.1\r\nHost: c\r\n";
        for (const auto& [sent, status] : std::vector<std::pair<std::string, std::string>>{
                 {"no request at all\r\n\r\n", "400"},
                 {head + "Content-Length: many\r\n\r\n", "400"},
                 {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
                 {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
                 {head + "Content-Length: 104857600\r\n\r\n" + std::string(200'000, 'x'), "413"},
                 {head + "Expect: 100-continue\r\nContent-Length: 104857600\r\n\r\n", "413"},
                 {head + "X: " + std::string(70'000, 'x') + "\r\n\r\n", "431"}}) {
            const auto caller = stage.connect();
            stage.send(caller, sent);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(sent.substr(0, 90), status, stage.answers(caller, 1).substr(0, 3));
            CPPUNIT_ASSERT_EQUAL(std::string("end\n"), stage.answers(caller, 1));
            caller->socket.close();
            stage.until([&] { return stage.server.connections() == 0; });
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, stage.server.requests());
        const auto caller = stage.connect();
        const auto order =
            ControlStage::bytes("config.replace", configuration("00000002"), "Expect: 100-continue\r\n");
        const auto body = order.find("\r\n\r\n") + 4;
        stage.send(caller, order.substr(0, body));
        CPPUNIT_ASSERT_EQUAL(std::string("100 \n"), stage.answers(caller, 1));
        stage.send(caller, order.substr(body));
        CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\n"),
                             stage.answers(caller, 1));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCallsTest);
