// The operator's calls: what each comes to against a register that is out of contact, loses a majority midway
// or knows the order already; and callers on loopback that go, cut, wait, or crowd in.
#include "admin/configuration_record.hpp"
#include "config/configuration.hpp"
#include "support/admin_api_fixture.hpp"
#include "transport/compression.hpp"

using namespace admin_api_fixture;
using Fate = ScriptedRegister::Fate;

class AdminApiTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdminApiTest);
    CPPUNIT_TEST(outOfContactIsAnsweredAtOnce);
    CPPUNIT_TEST(lostMajorityIsNoRejection);
    CPPUNIT_TEST(conflictsAreRejected);
    CPPUNIT_TEST(earlierFormatIsRead);
    CPPUNIT_TEST(unreadableValueIsKept);
    CPPUNIT_TEST(eachConnectionGetsItsOwnResponses);
    CPPUNIT_TEST(requestGoesOnWithoutItsCaller);
    CPPUNIT_TEST(requestCutAtAnyByteIsNone);
    CPPUNIT_TEST(slowConnectionsAreClosed);
    CPPUNIT_TEST(idleAndSlowConnectionsGiveWay);
    CPPUNIT_TEST(malformedRequestIsRejected);
    CPPUNIT_TEST_SUITE_END();

    // Rollouts of two services, so that each read has an answer of its own.
    static void twoServices(AdminApiFixture& fixture) {
        for (const auto* service : {"a", "b"}) {
            const auto body = std::string(R"({"service_name":")") + service + R"(","target_version":"of-)" +
                              service + R"(","deadline":"9s"})";
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("rollouts.begin", body));
        }
    }
    static std::string reads(const std::string& service) {
        return R"(200 {"state":"in_progress","target_version":"of-)" + service + "\"}\n";
    }

  public:
    // 503 with Retry-After, and the register isn't asked: no caller waits for what can't come.
    void outOfContactIsAnsweredAtOnce() {
        AdminApiFixture fixture;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", configuration("00000001")));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("rollouts.begin", rollout("v2", "12s")));
        const auto asked = fixture.reg.asked;
        const auto values = fixture.reg.values;
        fixture.reg.contact = false;
        for (const auto& [name, body] :
             std::vector<std::pair<std::string, std::string>>{{"config.replace", configuration("00000002")},
                                                              {"config.replace", configuration("00000001")},
                                                              {"config.replace", "not a configuration"},
                                                              {"config.read", ""},
                                                              {"rollouts.begin", rollout("v3", "12s")},
                                                              {"rollouts.begin", "{}"},
                                                              {"rollouts.read&of=s", ""}}) {
            const auto response = fixture.call(name, body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 503U, response.result_int());
            CPPUNIT_ASSERT_MESSAGE(name, std::stod(std::string(response[http::field::retry_after])) > 0);
        }
        CPPUNIT_ASSERT_EQUAL(asked, fixture.reg.asked);
        CPPUNIT_ASSERT(values == fixture.reg.values);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("status"));  // asks nobody
        CPPUNIT_ASSERT_EQUAL(404U, fixture.status("config.other"));
    }

    // A majority lost before or after the value was in force: no clear answer, never a refusal; sent again,
    // it is acknowledged, whichever it was.
    void lostMajorityIsNoRejection() {
        for (const auto fate : {Fate::lostBefore, Fate::lostAfter}) {
            AdminApiFixture fixture;
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", configuration("00000001")));
            fixture.reg.fates = {fate, Fate::answered, fate};
            const auto order = configuration("00000002");
            CPPUNIT_ASSERT_EQUAL(503U, fixture.status("config.replace", order));
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", order));
            // A clash whose majority is lost is no refusal either.
            CPPUNIT_ASSERT_EQUAL(503U, fixture.status("config.replace", configuration("00000002", "/b/")));
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", order));
            CPPUNIT_ASSERT_EQUAL(order, fixture.call("config.read").body());
            fixture.reg.fates = {fate};
            CPPUNIT_ASSERT_EQUAL(503U, fixture.status("rollouts.begin", rollout("v2", "12s")));
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("rollouts.begin", rollout("v2", "12000ms")));
            fixture.reg.fates = {fate};
            CPPUNIT_ASSERT_EQUAL(503U, fixture.status("rollouts.begin", rollout("v2", "15s")));
        }
        // The first was in force although nobody was told: the second one under its number is refused.
        AdminApiFixture fixture;
        fixture.reg.fates = {Fate::lostAfter};
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("config.replace", configuration("00000002")));
        CPPUNIT_ASSERT_EQUAL(409U, fixture.status("config.replace", configuration("00000002", "/b/")));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", configuration("00000002")));
    }

    // Same number, other body: 409 that names the number, before and after other changes; a number below the
    // one held is acknowledged and changes nothing; the same order is acknowledged again, always.
    void conflictsAreRejected() {
        AdminApiFixture fixture;
        const auto say = [&](const std::string& name, const std::string& body) {
            const auto response = fixture.call(name, body);
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
        CPPUNIT_ASSERT_EQUAL(configuration("00000009", "/c/"), fixture.call("config.read").body());
        for (const auto& [target, deadline] : std::vector<std::pair<std::string, std::string>>{
                 {"v2", "12s"}, {"v2", "12s"}, {"v2", "15s"}, {"v3", "12s"}})
            seen += "rollout " + target + " " + deadline + ": " +
                    say("rollouts.begin", rollout(target, deadline));
        seen += "rollouts.read: " + say("rollouts.read&of=s", "");
        approve("admin-api-conflicts", seen);
    }

    // A register written by an earlier text: read back, known again, told apart and replaced.
    void earlierFormatIsRead() {
        AdminApiFixture fixture;
        const auto order = configuration("0000000c");
        fixture.reg.values[control_plane::kConfigurationKey] = "0000000c" + compress(order);
        CPPUNIT_ASSERT_EQUAL(order, fixture.call("config.read").body());
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", order));
        CPPUNIT_ASSERT_EQUAL(409U, fixture.status("config.replace", configuration("0000000c", "/b/")));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", configuration("0000000d")));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("config.replace", order));
        CPPUNIT_ASSERT_EQUAL(409U, fixture.status("config.replace", configuration("0000000c", "/b/")));
    }

    // A value of a later text: nothing is acknowledged over it, and it stays as it is.
    void unreadableValueIsKept() {
        AdminApiFixture fixture;
        for (const auto* key : {"configuration", "rollouts"}) fixture.reg.values[key] = "o9 of a later text";
        const auto values = fixture.reg.values;
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("config.replace", configuration("00000002")));
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("config.read"));
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("rollouts.begin", rollout("v2", "12s")));
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("rollouts.read&of=s"));
        CPPUNIT_ASSERT(values == fixture.reg.values);
    }

    // Two callers on reused connections, at once and pipelined, some while the register is slow: each gets
    // the answers to its own calls, in their order.
    void eachConnectionGetsItsOwnResponses() {
        AdminApiFixture fixture;
        twoServices(fixture);
        const auto one = fixture.connect();
        const auto other = fixture.connect();
        const auto a = AdminApiFixture::bytes("rollouts.read&of=a");
        const auto b = AdminApiFixture::bytes("rollouts.read&of=b");
        for (int turn = 0; turn < 3; ++turn) {
            fixture.send(one, a), fixture.send(other, b);
            CPPUNIT_ASSERT_EQUAL(reads("a"), fixture.answers(one, 1));
            CPPUNIT_ASSERT_EQUAL(reads("b"), fixture.answers(other, 1));
        }
        fixture.reg.held = true;
        fixture.send(one, a + b + a + b), fixture.send(other, b + AdminApiFixture::bytes("status") + a);
        const auto asked = fixture.reg.asked;
        fixture.until([&] { return fixture.reg.asked == asked + 2; });  // the first of each, no further
        fixture.reg.release();
        CPPUNIT_ASSERT_EQUAL(reads("a") + reads("b") + reads("a") + reads("b"), fixture.answers(one, 4));
        control_plane::StatusReport scripted;
        scripted.node = "scripted";
        const auto status = control_plane::encodeStatus(scripted).dump();
        CPPUNIT_ASSERT_EQUAL(reads("b") + "200 " + status + "\n" + reads("a"), fixture.answers(other, 3));
    }

    // A caller resets, closes, or ends its side while the register is at its order: the order goes on, nobody
    // else gets its answer, and its place is free again. One that only ended its side is answered.
    void requestGoesOnWithoutItsCaller() {
        for (const auto* way : {"reset", "close", "half"}) {
            AdminApiFixture fixture;
            twoServices(fixture);
            fixture.reg.held = true;
            const auto gone = fixture.connect();
            const auto stays = fixture.connect();
            const auto order = configuration("00000002");
            const auto asked = fixture.reg.asked;
            fixture.send(gone, AdminApiFixture::bytes("config.replace", order));
            fixture.send(stays, AdminApiFixture::bytes("rollouts.read&of=b"));
            fixture.until([&] { return fixture.reg.asked == asked + 2; });
            if (std::string(way) == "reset") gone->socket.set_option(tcp::socket::linger(true, 0));
            if (std::string(way) == "half") gone->socket.shutdown(tcp::socket::shutdown_send);
            else gone->socket.close();
            const auto after = fixture.connect();  // perhaps with the same descriptor
            fixture.send(after, AdminApiFixture::bytes("rollouts.read&of=a"));
            fixture.until([&] { return fixture.reg.asked == asked + 3; });
            fixture.reg.release();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(way, reads("b"), fixture.answers(stays, 1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(way, reads("a"), fixture.answers(after, 1));
            if (std::string(way) == "half")
                CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\nend\n"),
                                     fixture.answers(gone, 2));
            fixture.until([&] { return fixture.server.connections() == 2; });
            fixture.send(stays, AdminApiFixture::bytes("config.read"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(way, "200 " + order + "\n", fixture.answers(stays, 1));
            fixture.send(after, AdminApiFixture::bytes("config.replace", order));
            CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\n"),
                                 fixture.answers(after, 1));
        }
    }

    // An order cut at any byte of its head or body is no order, with a length and in chunks; sent in two
    // parts at any byte it is one.
    void requestCutAtAnyByteIsNone() {
        AdminApiFixture fixture;
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
        for (const auto& whole : {AdminApiFixture::bytes("config.replace", body), chunked}) {
            const auto asked = fixture.reg.asked;
            for (std::size_t at = 1; at < whole.size(); ++at) {
                const auto cut = fixture.connect();
                fixture.send(cut, whole.substr(0, at));
                fixture.until([&] { return fixture.server.connections() == 1; });
                cut->socket.shutdown(tcp::socket::shutdown_send);
                CPPUNIT_ASSERT_EQUAL(std::string("end\n"), fixture.answers(cut, 1));
                fixture.until([&] { return fixture.server.connections() == 0; });
            }
            CPPUNIT_ASSERT_EQUAL(asked, fixture.reg.asked);
            const auto caller = fixture.connect();
            for (std::size_t at = 1; at < whole.size(); ++at) {
                fixture.send(caller, whole.substr(0, at));
                while (fixture.io.poll() > 0) {
                }
                fixture.send(caller, whole.substr(at));
                CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\n"),
                                     fixture.answers(caller, 1));
            }
            CPPUNIT_ASSERT_EQUAL(asked + whole.size() - 1, fixture.reg.asked);
            caller->socket.close();
            fixture.until([&] { return fixture.server.connections() == 0; });
        }
    }

    // Callers that say nothing, stop within a head or a body, or don't take their answer: each bound ends
    // just those, without an answer. The others' bounds are long, so that it can't be one of them that did.
    void slowConnectionsAreClosed() {
        const auto order = AdminApiFixture::bytes("config.replace", configuration("00000002"));
        const auto ends = [](control_plane::AdminServerLimits bounds, const std::string& sent) {
            AdminApiFixture fixture(false, bounds);
            const auto caller = fixture.connect();
            fixture.send(caller, sent);
            CPPUNIT_ASSERT_EQUAL(std::string("end\n"), fixture.answers(caller, 1));
            fixture.until([&] { return fixture.server.connections() == 0; });
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.reg.asked);
        };
        control_plane::AdminServerLimits idle;
        control_plane::AdminServerLimits header;
        control_plane::AdminServerLimits body;
        control_plane::AdminServerLimits response;
        idle.idle = header.header = body.body = response.response = 30 * kMillisecond;
        ends(idle, "");
        ends(header, order.substr(0, 20));
        ends(body, order.substr(0, order.size() - 20));
        AdminApiFixture fixture(false, response);
        fixture.reg.values[control_plane::kConfigurationKey] =
            "0000000c" + compress(std::string(32 << 20, 'x'));
        const auto deaf = fixture.connect(4096);
        fixture.send(deaf, AdminApiFixture::bytes("config.read"));
        fixture.until([&] { return fixture.reg.asked == 1; });
        fixture.until([&] { return fixture.server.connections() == 0; });
    }

    // Where all places are taken, the caller that has been idle longest gives way, then one that is slow to
    // send; one that is being answered never does, and a new one waits for it.
    void idleAndSlowConnectionsGiveWay() {
        control_plane::AdminServerLimits bounds;
        bounds.connections = 3;
        AdminApiFixture fixture(false, bounds);
        twoServices(fixture);
        const auto slow = fixture.connect();
        fixture.send(slow, "POST /api/rpc?call=st");
        const auto seen = [&](std::size_t callers) {
            fixture.until([&] { return fixture.server.connections() == callers; });
        };
        seen(1);
        const auto first = fixture.connect();
        seen(2);
        const auto second = fixture.connect();
        seen(3);
        const auto asks = [&](const char* service) {
            const auto caller = fixture.connect();
            fixture.send(caller, AdminApiFixture::bytes(std::string("rollouts.read&of=") + service));
            return caller;
        };
        fixture.reg.held = true;
        const auto asked = fixture.reg.asked;
        std::vector<std::shared_ptr<Caller>> busy;
        for (const auto& dropped : {first, second, slow}) {
            busy.push_back(asks("a"));
            CPPUNIT_ASSERT_EQUAL(std::string("end\n"), fixture.answers(dropped, 1));
            fixture.until([&] { return fixture.reg.asked == asked + busy.size(); });
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.server.connections());
        }
        const auto waits = asks("b");
        while (fixture.io.poll() > 0) {
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.server.connections());
        CPPUNIT_ASSERT_EQUAL(asked + 3, fixture.reg.asked);
        fixture.reg.release();
        for (const auto& caller : busy) CPPUNIT_ASSERT_EQUAL(reads("a"), fixture.answers(caller, 1));
        CPPUNIT_ASSERT_EQUAL(reads("b"), fixture.answers(waits, 1));
    }

    // What is no request, or too large, is told so, and the connection ends with the answer on it; a caller
    // that waits for leave to send a body gets it.
    void malformedRequestIsRejected() {
        AdminApiFixture fixture;
        const std::string head = "POST /api/rpc?call=status HTTP/1.1\r\nHost: c\r\n";
        for (const auto& [sent, status] : std::vector<std::pair<std::string, std::string>>{
                 {"no request at all\r\n\r\n", "400"},
                 {head + "Content-Length: many\r\n\r\n", "400"},
                 {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
                 {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
                 {head + "Content-Length: 104857600\r\n\r\n" + std::string(200'000, 'x'), "413"},
                 {head + "Expect: 100-continue\r\nContent-Length: 104857600\r\n\r\n", "413"},
                 {head + "X: " + std::string(70'000, 'x') + "\r\n\r\n", "431"}}) {
            const auto caller = fixture.connect();
            fixture.send(caller, sent);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(sent.substr(0, 90), status, fixture.answers(caller, 1).substr(0, 3));
            CPPUNIT_ASSERT_EQUAL(std::string("end\n"), fixture.answers(caller, 1));
            caller->socket.close();
            fixture.until([&] { return fixture.server.connections() == 0; });
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.server.requests());
        const auto caller = fixture.connect();
        const auto order =
            AdminApiFixture::bytes("config.replace", configuration("00000002"), "Expect: 100-continue\r\n");
        const auto body = order.find("\r\n\r\n") + 4;
        fixture.send(caller, order.substr(0, body));
        CPPUNIT_ASSERT_EQUAL(std::string("100 \n"), fixture.answers(caller, 1));
        fixture.send(caller, order.substr(body));
        CPPUNIT_ASSERT_EQUAL(std::string("200 {\"config_version\":\"00000002\"}\n"),
                             fixture.answers(caller, 1));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdminApiTest);
