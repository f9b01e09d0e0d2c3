#include <sys/resource.h>

#include "sidecar/discovery_client.hpp"
#include "sidecar/peer_transport.hpp"
#include "sidecar/platform_client.hpp"
#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

namespace {

// One call to a stand-in, by itself.
std::string endingOf(const HttpStandIn::Handler& serve, const std::string& body = {}, Nanos within = 0) {
    SidecarFixture fixture;
    HttpStandIn other(fixture.loop, serve);
    Connection connection(fixture.loop, other.address, kMaxBodyBytes);
    std::optional<CallResponse> back;
    const HttpRequest call{
        body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, "/read", {{"Host", "origin.svc"}}, body};
    connection.call(call, 5000 * kMs, within, [&](CallResponse came) { back = std::move(came); });
    fixture.runUntil([&] { return back.has_value(); });
    return std::string(nameOf(back->result)) + ", " + outcomeName(outcomeOf(back->result));
}

}  // namespace

TEST_CASE("each way a call can end has one ending and one outcome") {
    std::stringstream trace;
    const auto note = [&](const char* what, const std::string& ending) {
        trace << what << ": " << ending << '\n';
    };
    note("200 and a body", endingOf([](auto& at, auto* call) { at.respond(call, 200, "body"); }));
    note("200 and no body", endingOf([](auto& at, auto* call) { at.respond(call, 200, ""); }));
    note("500", endingOf([](auto& at, auto* call) { at.respond(call, 500, ""); }));
    note("404", endingOf([](auto& at, auto* call) { at.respond(call, 404, ""); }));
    note("503, plain", endingOf([](auto& at, auto* call) { at.respond(call, 503, ""); }));
    note("503, not run", endingOf([](auto& at, auto* call) {
             at.respond(call, 503, "", {{"X-Rejected", "1"}});
         }));
    note("504, not run", endingOf([](auto& at, auto* call) {
             at.respond(call, 504, "", {{"X-Rejected", "1"}});
         }));
    note("500, says not run", endingOf([](auto& at, auto* call) {
             at.respond(call, 500, "", {{"X-Rejected", "1"}});
         }));
    note("cut after the call", endingOf([](auto& at, auto* call) { at.disconnect(call); }));
    note("half an answer", endingOf([](auto& at, auto* call) {
             at.sendRaw(call, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
             at.disconnect(call);
         }));
    note("half a head", endingOf([](auto& at, auto* call) {
             at.sendRaw(call, "HTTP/1.1 200 OK\r\nContent-Le");
             at.disconnect(call);
         }));
    note("no HTTP", endingOf([](auto& at, auto* call) { at.sendRaw(call, "what?\r\n\r\n"); }));
    note("silence", endingOf([](auto&, auto*) {}, {}, 30 * kMs));
    {
        SidecarFixture fixture;
        const auto nobody = freePort();
        Connection connection(fixture.loop, {"127.0.0.1", nobody}, kMaxBodyBytes);
        std::optional<CallResponse> back;
        connection.call({}, 5000 * kMs, 0, [&](CallResponse came) { back = std::move(came); });
        fixture.runUntil([&] { return back.has_value(); });
        note("nobody listens",
             std::string(nameOf(back->result)) + ", " + outcomeName(outcomeOf(back->result)));
    }
    {
        SidecarFixture fixture;
        UnresponsiveListener deaf;
        Connection connection(fixture.loop, deaf.address, kMaxBodyBytes);
        std::optional<CallResponse> back;
        connection.call({}, 30 * kMs, 0, [&](CallResponse came) { back = std::move(came); });
        fixture.runUntil([&] { return back.has_value(); });
        note("never up", std::string(nameOf(back->result)) + ", " + outcomeName(outcomeOf(back->result)));
    }
    {
        SidecarFixture fixture;
        UnresponsiveListener closing(8);
        Connection connection(fixture.loop, closing.address, kMaxBodyBytes);
        std::optional<CallResponse> back;
        const HttpRequest call{EVHTTP_REQ_POST, "/", {{"Host", "h"}}, std::string(32 << 20, 'x')};
        connection.call(call, 5000 * kMs, 0, [&](CallResponse came) { back = std::move(came); });
        fixture.runUntil([&] { return closing.acceptAndReset(); });
        fixture.runUntil([&] { return back.has_value(); });
        note("cut before the last byte",
             std::string(nameOf(back->result)) + ", " + outcomeName(outcomeOf(back->result)));
    }
    note("called off", std::string("-, ") + outcomeName(outcomeOf(CallResult::cancelled)));
    note("no descriptor", std::string("-, ") + outcomeName(outcomeOf(CallResult::noDescriptor)));
    matchesTrace("endings", trace.str());
}

// evhttp's client took the end of the connection for the end of a body, the first of two lengths, and what
// followed a 103 for the next call's answer: clients were served what no pod had made for them.
TEST_CASE("an answer is whole and fits, or it is spoilt") {
    const std::string ok = "HTTP/1.1 200 OK\r\n", body = "Content-Length: 4\r\n\r\nbody";
    const std::pair<const char*, std::string> answers[] = {
        {"a length", ok + body},
        {"chunks, an extension, a trailer",
         ok + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n"},
        {"1xx ahead",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + body},
        {"204, no length", "HTTP/1.1 204 No Content\r\n\r\n"},
        {"a second copy behind", ok + body + ok + body},
        {"noise behind", ok + body + "\x01\xfe noise"},
        {"a report that cannot be read", ok + "X-Load-Report: inflight=-,,=\r\n" + body},
        {"two lengths", ok + "Content-Length: 4\r\n" + body},
        {"a length and chunks", ok + "Transfer-Encoding: chunked\r\n" + body},
        {"no length, and the end", ok + "\r\nbody"},
        {"a length below zero", ok + "Content-Length: -4\r\n\r\nbody"},
        {"a length of words", ok + "Content-Length: four\r\n\r\nbody"},
        {"a length of 3 GB", ok + "Content-Length: 3000000000\r\n\r\nbody"},
        {"chunks of no size", ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"},
        {"a chunk of 3 GB", ok + "Transfer-Encoding: chunked\r\n\r\nB2D05E00\r\nbody"},
        {"chunks that do not end where they say",
         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n"},
        {"another coding", ok + "Transfer-Encoding: gzip\r\n\r\nbody"},
        {"a line that is no header", ok + "what\r\n" + body},
        {"noise in a header", ok + "X-\x01: \x02\r\n" + body},
        {"no code", "HTTP/1.1 OK\r\n" + body},
        {"another protocol", "HTTP/7.1 200 OK\r\n" + body},
        {"a head without end", ok + "X-A: " + std::string(20000, 'a')},
        {"1xx without end", ok.substr(0, 9) + "103 Early\r\nX-A: " + std::string(9000, 'a') +
                                "\r\n\r\nHTTP/1.1 103 Early\r\nX-A: " + std::string(9000, 'a')}};
    std::stringstream trace;
    for (const auto& [what, bytes] : answers) {
        const auto serve = [&bytes = bytes](HttpStandIn& at, evhttp_request* call) {
            at.hold(call), at.sendRaw(call, bytes);
        };
        trace << what << ": " << endingOf(serve) << '\n';
    }
    matchesTrace("spoilt", trace.str());
}

// Days of bad pods: the copy behind an answer was given to the next client.
TEST_CASE("a connection on which more has come than belongs to it is not used again") {
    SidecarFixture fixture;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    bool later = false;
    HttpStandIn pod(fixture.loop, [&](auto& at, auto* call) {
        at.hold(call);
        at.sendRaw(call,
                   answer + (at.requestPaths.size() == 1 ? later ? "one" : "one" + answer + "one" : "two"));
    });
    UpstreamPool upstream(fixture.loop, 5000 * kMs, 60000 * kMs, 4);
    auto& host = upstream.host("s-1");
    upstream.setAddress(host, pod.address);
    std::string bodies;
    const auto send = [&] {
        const auto before = bodies.size();
        upstream.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                      [&](CallResponse back) { bodies += back.body; });
        fixture.runUntil([&] { return bodies.size() > before; });
    };
    SUBCASE("behind the answer") { send(); }
    SUBCASE("while it idles, seen by the loop or not yet") {
        later = true;
        send();
        CHECK(host.idle.size() == 1);
        pod.sendRaw(pod.pending[0], answer + "one");
    }
    send();
    CHECK(bodies == "onetwo");
}

TEST_CASE("connections to a pod are kept, the last used taken first, and closed when idle or moved") {
    SidecarFixture fixture;
    HttpStandIn pod(fixture.loop, [](auto& at, auto* call) { at.hold(call); });
    UpstreamPool upstream(fixture.loop, 5000 * kMs, 60000 * kMs, 2);
    auto& host = upstream.host("s-1");
    upstream.setAddress(host, pod.address);
    int ended = 0, noRoom = 0;
    const auto send = [&] {
        upstream.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0, [&](CallResponse back) {
            ++ended;
            noRoom += back.result == CallResult::noDescriptor;
        });
    };
    send(), send(), send();
    fixture.runUntil([&] { return pod.pending.size() == 2 && ended == 1; });
    CHECK(noRoom == 1);
    const auto second = pod.portOf(pod.pending[1]);
    pod.respondToPending(200, "x");
    fixture.runUntil([&] { return ended == 3; });
    CHECK(host.idle.size() == 2);
    send();
    fixture.runUntil([&] { return pod.pending.size() == 1; });
    CHECK(pod.portOf(pod.pending[0]) == second);
    pod.respondToPending(200, "x");
    fixture.runUntil([&] { return ended == 4; });
    SUBCASE("moved to another address") {
        HttpStandIn other(fixture.loop, [](auto& at, auto* call) { at.respond(call, 200, "y"); });
        upstream.setAddress(host, other.address);
        CHECK(upstream.connections() == 0);
        send();
        fixture.runUntil([&] { return ended == 5; });
        CHECK(other.requestPaths.size() == 1);
    }
    SUBCASE("in doubt once a call on another brings no answer") {
        upstream.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 10 * kMs,
                      [&](CallResponse) { ++ended; });
        fixture.runUntil([&] { return ended == 5; });
        CHECK(upstream.connections() == 0);
    }
    SUBCASE("closed by the pod") {
        pod.closeAll();
        fixture.runUntil([&] { return upstream.connections() == 0; });
    }
}

TEST_CASE("an idle connection is closed at half the time that the pod's machine allows") {
    SidecarFixture fixture;
    HttpStandIn pod(fixture.loop, [](auto& at, auto* call) { at.respond(call, 200, "x"); });
    UpstreamPool upstream(fixture.loop, 5000 * kMs, 60 * kMs, 2);
    auto& host = upstream.host("s-1");
    upstream.setAddress(host, pod.address);
    Nanos answered = 0;
    upstream.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                  [&](CallResponse) { answered = fixture.loop.now(); });
    CHECK(upstream.connections() == 1);
    fixture.runUntil([&] { return answered > 0 && upstream.connections() == 0; });
    CHECK(fixture.loop.now() - answered >= 30 * kMs);
    fixture.runUntil([&] { return pod.closed == 1; });
}

TEST_CASE("a hit's life: forwards, the one answer, and what its path group lets happen") {
    SidecarFixture fixture;
    fixture.podHandler = [&](HttpStandIn& at, evhttp_request* call) {
        const auto script = fixture.script;
        if (script == "errs once" && fixture.attempts > 1) return at.respond(call, 200, "after all");
        if (script == "errs once" || script == "errs") return at.respond(call, 500, "");
        if (script == "full") return at.respond(call, 503, "", {{"X-Rejected", "1"}});
        if (script == "busy") return at.respond(call, 503, "");
        at.respond(call, 200, "register page", {{"Content-Type", "text/plain"}});
    };
    fixture.start(2);
    for (const char* group : {"read", "order", "certify"})
        for (const char* script : {"serves", "errs once", "full", "busy"}) {
            fixture.script = script;
            fixture.attempts = 0;
            auto back = fixture.sendRequest(group);
            fixture.runUntil([&] { return back->has_value(); });
            fixture.trace << group << ", pods: " << script << ": " << fixture.attempts << " forwards, answer "
                          << (*back)->statusCode << " " << (*back)->contentType << " '" << (*back)->body
                          << "'\n";
        }
    matchesTrace("passage", fixture.trace.str());
}

TEST_CASE("what a pod is sent") {
    SidecarFixture fixture;
    std::string path, id, mark, host, body;
    std::optional<Nanos> budget;
    fixture.podHandler = [&](HttpStandIn& at, evhttp_request* call) {
        const auto header = [&](const char* name) {
            const auto* value = evhttp_find_header(evhttp_request_get_input_headers(call), name);
            return std::string(value ? value : "-");
        };
        path = evhttp_request_get_uri(call), id = header("X-Call-Id"), mark = header("Idempotency-Key");
        host = header("Host"), budget = parseBudget(header("X-Budget"));
        body = HttpStandIn::bodyOf(call);
        at.respond(call, 200, "done");
    };
    fixture.start(1);
    auto back = fixture.call({EVHTTP_REQ_POST,
                              "/order?page=7&x=%20",
                              {{"Host", "origin.svc"},
                               {"X-Call-Id", "c-7"},
                               {"X-Call-Class", "order"},
                               {"X-Budget", "480m"},
                               {"Idempotency-Key", "k-1"}},
                              "extract 12"});
    fixture.runUntil([&] { return back->has_value(); });
    CHECK(path == "/order?page=7&x=%20");
    CHECK(id == "c-7");
    CHECK(mark == "k-1");
    CHECK(host == "origin.svc");
    CHECK(body == "extract 12");
    REQUIRE(budget);
    CHECK(*budget <= 480 * kMs);
    CHECK(*budget >= 240 * kMs);
}

TEST_CASE("a hit that cannot be one is answered at once and never forwarded") {
    SidecarFixture fixture;
    fixture.start(1);
    using Headers = std::vector<HttpHeader>;
    const Headers whole = {{"Host", "h"},
                           {"X-Call-Id", "c"},
                           {"X-Call-Class", "order"},
                           {"X-Budget", "480m"},
                           {"Idempotency-Key", "k"}};
    const auto without = [&](const char* name, const char* instead = nullptr) {
        Headers headers;
        for (const auto& header : whole)
            if (header.name != name) headers.push_back(header);
        if (instead) headers.push_back({name, instead});
        return headers;
    };
    const std::pair<HttpRequest, int> cases[] = {
        {{EVHTTP_REQ_POST, "/order", without("X-Call-Id"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("X-Call-Class"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("X-Call-Class", "nothing"), "x"}, 404},
        {{EVHTTP_REQ_POST, "/order", without("X-Budget"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("X-Budget", "soon"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("X-Budget", "-5m"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("X-Budget", "nanm"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("X-Budget", "1e9m"), "x"}, 400},
        {{EVHTTP_REQ_POST, "/order", without("Idempotency-Key"), "x"}, 400},
        {{EVHTTP_REQ_GET, "/order", whole, ""}, 405},
        {{EVHTTP_REQ_DELETE, "/order", whole, ""}, 405},
        {{EVHTTP_REQ_POST, "/order", whole, "x"}, 200}};
    for (const auto& [call, code] : cases) {
        std::optional<CallResponse> back;
        Connection client(fixture.loop, fixture.sidecar->address(), kMaxBodyBytes);
        client.call(call, 5000 * kMs, 0, [&](CallResponse came) { back = std::move(came); });
        fixture.runUntil([&] { return back.has_value(); });
        CHECK(back->statusCode == code);
    }
    CHECK(fixture.attempts == 1);
    auto large = fixture.call({EVHTTP_REQ_POST, "/order", whole, std::string(kMaxBodyBytes + 1, 'x')});
    fixture.runUntil([&] { return large->has_value(); });
    CHECK((*large)->statusCode / 100 != 2);
    CHECK(fixture.attempts == 1);
}

// Days of bad clients. What is refused ends its connection: what follows on it may be a request that its body
// hid.
TEST_CASE("a request that can be read in two ways, or not at all, is refused and its connection ends") {
    SidecarFixture fixture;
    fixture.start(1);
    const std::string
        get = "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: read\r\nX-Budget: 9000m\r\n",
        post =
            "POST /order HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: order\r\nX-Budget: 9000m\r\n"
            "Idempotency-Key: k\r\n",
        hidden = get + "\r\n";
    const std::pair<const char*, std::string> requests[] = {
        {"two framings", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
        {"two lengths", post + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + hidden},
        {"a length below zero", post + "Content-Length: -5\r\n\r\nhello"},
        {"a signed length", post + "Content-Length: +5\r\n\r\nhello"},
        {"a huge length", post + "Content-Length: 99999999999999999999\r\n\r\nhello"},
        {"a body too long", post + "Content-Length: 60000000\r\n\r\nhello"},
        {"a length too short", post + "Content-Length: 2\r\n\r\nhello"},
        {"another coding", post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"},
        {"a body where none can be", get + "Content-Length: 5\r\n\r\n" + hidden},
        {"two ids", get + "X-Call-Id: d\r\n\r\n"},
        {"a name with a blank", get + "Transfer-Encoding : chunked\r\n\r\n"},
        {"noise in a value", get + "Idempotency-Key: \x01\x02\r\n\r\n"},
        {"a head without end", get + "X-A: " + std::string(80000, 'a')},
        {"no HTTP", "\xfe\x01\x02\r\n\r\n"}};
    for (const auto& [what, bytes] : requests) {
        RawClient client(fixture.sidecar->address());
        client.write(bytes);
        fixture.runUntil([&] { return client.closed(); });
        fixture.trace << what << ": " << client.read().substr(0, client.read().find('\r')) << ", forwards "
                      << fixture.attempts << '\n';
    }
    matchesTrace("refused", fixture.trace.str());
}

TEST_CASE("an id is one open hit's: a second one is refused until that has ended") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: c-1\r\n\r\n";
    for (int turn = 1; turn <= 2; ++turn) {
        RawClient first(fixture.sidecar->address()), second(fixture.sidecar->address());
        first.write(get);
        fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
        second.write(get);
        fixture.runUntil([&] { return second.closed(); });
        CHECK(second.read().starts_with("HTTP/1.1 409"));
        fixture.pods[0]->respondToPending(200, "mine");
        fixture.runUntil([&] { return first.read().ends_with("mine"); });
        fixture.runUntil([&] { return fixture.sidecar->requestsInFlight() == 0; });
        CHECK(fixture.attempts == turn);
    }
}

// The churn day: clients that asked once and stayed took all descriptors, and the process ended on it.
TEST_CASE("silent clients and idle ones make room for new ones, and nobody may take for ever to ask") {
    SidecarFixture fixture;
    fixture.start(1, 72);  // 36 connections of clients, 18 at ease
    std::vector<std::unique_ptr<RawClient>> others;
    const auto crowd = [&](const std::string& bytes) {
        others.clear();
        for (int turn = 0; turn < 50; ++turn) {
            others.push_back(std::make_unique<RawClient>(fixture.sidecar->address()));
            if (!bytes.empty()) others.back()->write(bytes);
            for (int pass = 0; pass < 3; ++pass) fixture.runOnce();
        }
        auto back = fixture.sendRequest("read");
        fixture.runUntil([&] { return back->has_value(); });
        CHECK((*back)->statusCode == 200);
    };
    SUBCASE("silent") { crowd(""); }
    SUBCASE("asked once") {
        crowd("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto open = [&] {
            return std::count_if(others.begin(), others.end(), [](auto& one) { return !one->closed(); });
        };
        fixture.runUntil([&] { return open() <= 18; });
    }
    SUBCASE("half a request") {
        others.push_back(std::make_unique<RawClient>(fixture.sidecar->address()));
        others.back()->write("GET /read HTTP/1.1\r\nHo");
        auto back = fixture.sendRequest("read");
        fixture.runUntil([&] { return back->has_value(); });
    }
    fixture.runUntil([&] {
        return std::all_of(others.begin(), others.end(), [](auto& one) {
            return one->closed() || one->read().starts_with("HTTP/1.1 200");
        });
    });
}

TEST_CASE("broken HTTP and a client that does not wait for its answer do no harm") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    RawClient broken(fixture.sidecar->address()), hasty(fixture.sidecar->address());
    broken.write("no HTTP at all\r\n\r\n");
    hasty.write(get + "c-1\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    hasty.write(get + "c-2\r\n\r\n");
    fixture.runUntil([&] { return broken.closed(); });
    fixture.pods[0]->respondToPending(200, "one");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.pods[0]->respondToPending(200, "two");
    fixture.runUntil([&] { return hasty.read().find("two") != std::string::npos; });
    CHECK(hasty.read().find("one") < hasty.read().find("two"));
}

TEST_CASE("a client that leaves is told to the decisions while its forward is out") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(2);
    for (const bool leaves : {false, true}) {
        auto client = std::make_unique<RawClient>(fixture.sidecar->address());
        client->write(
            "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: read\r\nX-Budget: "
            "20000m\r\n\r\n");
        const auto before = fixture.attempts;
        const auto held = [&] { return fixture.pods[0]->pending.size() + fixture.pods[1]->pending.size(); };
        fixture.runUntil([&] { return held() == 1; });
        if (leaves) client->disconnect();
        if (leaves) fixture.runUntil([&] { return fixture.sidecar->clientDisconnects() == 1; });
        for (auto& pod : fixture.pods) pod->respondToPending(503, "", {{"X-Rejected", "1"}});
        // A hit still waited for goes to the other pod; one that nobody waits for ends.
        if (leaves) fixture.runUntil([&] { return fixture.sidecar->requestsInFlight() == 0; });
        else fixture.runUntil([&] { return held() == 1; });
        CHECK(fixture.attempts - before == (leaves ? 1 : 2));
        for (auto& pod : fixture.pods) pod->respondToPending(200, "x");
        fixture.runUntil([&] { return fixture.sidecar->requestsInFlight() == 0; });
    }
}

TEST_CASE("a forward without an answer ends with the client's wait, and the client has its error") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(1);
    for (const char* group : {"certify", "read"}) {
        auto back = fixture.sendRequest(group, "60m");
        fixture.runUntil([&] { return back->has_value(); });
        CHECK((*back)->statusCode == 500);  // it may run yet, and the client's wait is over: no bounce
    }
    fixture.runUntil([&] { return fixture.pods[0]->closed >= 1; });
}

TEST_CASE("a lost pod's hits go on, and no descriptor left ends no process") {
    SidecarFixture fixture;
    fixture.start(2, 70);  // 70 descriptors: three connections to pods
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    std::vector<std::shared_ptr<std::optional<CallResponse>>> asked;
    for (int turn = 0; turn < 6; ++turn) asked.push_back(fixture.sendRequest("certify"));
    const auto ended = [&] {
        return std::count_if(asked.begin(), asked.end(), [](auto& one) { return one->has_value(); });
    };
    fixture.runUntil([&] { return ended() >= 3; });
    for (auto& one : asked)
        if (*one) CHECK((*one)->statusCode == 503);  // it never ran anywhere: a bounce
    for (auto& pod : fixture.pods) pod->respondToPending(200, "x");
    fixture.runUntil([&] { return ended() == 6; });
    // And the process's own table: no socket can be opened for a while, on either side.
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.respond(call, 200, "x"); };
    for (auto& pod : fixture.pods) pod->closeAll();
    RawClient first(fixture.sidecar->address()), second(fixture.sidecar->address());
    const int lowestFree = dup(first.descriptor());
    close(lowestFree);
    const auto full = rlimit{static_cast<rlim_t>(lowestFree), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &full);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    first.write(get + "c-8\r\n\r\n");
    for (int turn = 0; turn < 200; ++turn) fixture.runOnce();
    CHECK(first.read().empty());  // not accepted, and the listener rests
    setrlimit(RLIMIT_NOFILE, &before);
    second.write(get + "c-9\r\n\r\n");
    fixture.runUntil([&] { return second.read().find("200 OK") != std::string::npos; });
    fixture.runUntil([&] { return !first.read().empty(); });
}

TEST_CASE("a sidecar that holds as many hits as it may takes no more until one ends") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(1, 1024, 2);
    std::vector<SidecarFixture::PendingResponse> asked;
    for (int turn = 0; turn < 3; ++turn) asked.push_back(fixture.sendRequest("read"));
    const auto answered = [&] {
        return std::count_if(asked.begin(), asked.end(), [](auto& one) { return one->has_value(); });
    };
    fixture.runUntil([&] { return answered() == 1; });
    for (auto& one : asked)
        if (*one) CHECK((*one)->statusCode == 503);
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 2; });
    fixture.pods[0]->respondToPending(200, "x");
    fixture.runUntil([&] { return answered() == 3 && fixture.sidecar->requestsInFlight() == 0; });
    auto next = fixture.sendRequest("read");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.pods[0]->respondToPending(200, "x");
    fixture.runUntil([&] { return next->has_value(); });
    CHECK((*next)->statusCode == 200);
}

TEST_CASE("a pod that is listed with another start or build, or gone, loses its idle connections") {
    SidecarFixture fixture;
    HttpStandIn registry(fixture.loop, [](auto& at, auto* call) { at.hold(call); });
    HttpStandIn pod(fixture.loop, [](auto& at, auto* call) { at.respond(call, 200, "x"); });
    UpstreamPool upstream(fixture.loop, 5000 * kMs, 15000 * kMs, 10);
    const std::vector<std::string> zones = {"a"};
    std::map<int, Build> builds;
    DiscoveryClient discovery(fixture.loop, registry.address, 5000 * kMs,
                              limits::Reopening(DiscoveryClient::kIdleTimeout, 1), zones, upstream,
                              [&](bool, std::vector<EndpointUpdate> lines) {
                                  for (auto& line : lines) {  // as the decisions do
                                      line.pod->startedAt = line.startedAt;
                                      line.pod->build = &(builds[line.build] = {line.build, {}});
                                  }
                              });
    const auto list = [&](const char* phase, const char* since, const char* build) {
        return parseEndpointList(R"({"revision":41,"complete":true,"members":[{"id":"s-1","host_port":")" +
                                 pod.address.text() + R"(","locality":"a","phase":")" + phase +
                                 R"(","up_since_ms":)" + since + R"(,"image_id":)" + build + "}]}");
    };
    const std::tuple<const char*, const char*, const char*, std::size_t> listings[] = {
        {"up", "0", "41", 0},
        {"up", "0", "41", 1},
        {"up", "0", "42", 0},
        {"up", "1700000000000", "42", 0},
        {"draining", "1700000000000", "42", 1},
        {"removed", "1700000000000", "42", 0}};
    for (const auto& [phase, since, build, kept] : listings) {
        discovery.start(list(phase, since, build));
        CHECK(upstream.connections() == kept);
        bool ended = false;
        upstream.send(upstream.host("s-1"), {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                      [&](CallResponse) { ended = true; });
        fixture.runUntil([&] { return ended; });
    }
}

TEST_CASE("the list: a watch cut anywhere, resumed from its revision, and asked whole when unreadable") {
    SidecarFixture fixture;
    HttpStandIn registry(fixture.loop, [&](auto& at, auto* call) { at.hold(call); });
    UpstreamPool upstream(fixture.loop, 5000 * kMs, 15000 * kMs, 10);
    const std::vector<std::string> zones = {"a", "b"};
    DiscoveryClient discovery(
        fixture.loop, registry.address, 5000 * kMs, limits::Reopening(DiscoveryClient::kIdleTimeout, 1),
        zones, upstream, [&](bool whole, std::vector<EndpointUpdate> lines) {
            fixture.trace << (whole ? "whole:" : "changes:");
            for (const auto& line : lines)
                fixture.trace << ' ' << static_cast<UpstreamHost*>(line.pod)->name << " zone " << line.zone
                              << " build " << line.build << " state " << static_cast<int>(line.availability);
            fixture.trace << '\n';
        });
    const auto entry = [](const char* id, const char* zone, const char* phase) {
        return std::string(R"({"id":")") + id + R"(","host_port":"127.0.0.1:9","locality":")" + zone +
               R"(","cell":3,"phase":")" + phase + R"(","up_since_ms":0,"image_id":41,"odd":[1]})";
    };
    discovery.start(
        parseEndpointList(R"({"revision":41,"complete":true,"members":[)" + entry("s-1", "a", "up") + "]}"));
    const auto opened = [&](std::size_t count) {
        fixture.runUntil([&] { return registry.requestPaths.size() == count; });
        fixture.trace << "asked: " << registry.requestPaths.back() << '\n';
        registry.beginStream(registry.pending.back());
    };
    opened(1);
    const auto change =
        R"({"revision":43,"complete":false,"members":[)" + entry("s-2", "b", "draining") + "]}\n";
    for (const char letter : change) registry.sendChunk(registry.pending.back(), {&letter, 1});
    fixture.runUntil([&] { return fixture.trace.str().find("s-2") != std::string::npos; });
    registry.closeAll();
    opened(2);
    registry.sendChunk(registry.pending.back(), "\n{\"revision\":44,\"members\":\"all\"}\n");
    fixture.runUntil([&] { return registry.requestPaths.size() == 3; });
    fixture.trace << "asked: " << registry.requestPaths.back() << '\n';
    registry.respond(registry.pending.back(), 200,
                     R"({"revision":50,"complete":true,"members":[)" + entry("s-2", "b", "up") + "]}");
    opened(4);
    // A refusal is no line, whatever comes with it, and its advice to wait is kept.
    registry.closeAll();
    fixture.runUntil([&] { return registry.requestPaths.size() == 5; });
    const auto refused = fixture.loop.now();
    registry.respond(registry.pending.back(), 429, "{\"error\":\"BUSY\"}\n", {{"Retry-After", "0.3"}});
    opened(6);
    CHECK(fixture.loop.now() - refused >= 300 * kMs);
    matchesTrace("list", fixture.trace.str());
    CHECK(upstream.host("s-1").id == podId("s-1"));
}

TEST_CASE("votes and their answers, and what the platform tells by itself") {
    SidecarFixture fixture;
    std::string answer;
    int code = 200;
    HttpStandIn platform(fixture.loop, [&](auto& at, auto* call) {
        if (std::string(evhttp_request_get_uri(call)) == paths::kRolloutWatch) return at.hold(call);
        fixture.trace << HttpStandIn::bodyOf(call) << " -> ";
        if (code == 0) at.disconnect(call);
        else if (code > 0) at.respond(call, code, answer);
    });
    int heard = 0;
    PlatformClient desk(
        fixture.loop, platform.address, 5000 * kMs, 1500 * kMs,
        limits::Reopening(PlatformClient::kIdleTimeout, 1),
        [&](const RolloutUpdate& news, bool isAnswer, Outcome outcome) {
            ++heard;
            fixture.trace << (isAnswer ? "answer " : "news ") << outcomeName(outcome) << " build "
                          << news.build << " stage " << news.stage << " standing "
                          << static_cast<int>(news.state) << " cap " << news.cap << " age " << news.age / kMs
                          << '\n';
        },
        [&](const Dispute& dispute) {
            ++heard;
            fixture.trace << "dispute " << dispute.pod << " " << dispute.group << " " << dispute.age / kMs
                          << '\n';
        });
    const std::string state = R"({"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310})";
    const std::tuple<int, std::string, Verdict> votes[] = {{200, state, Verdict::on},
                                                           {200, "{}", Verdict::on},
                                                           {429, R"({"error":"BUSY"})", Verdict::back},
                                                           {409, R"({"error":"STALE"})", Verdict::back},
                                                           {500, R"({"error":"FAILED"})", Verdict::hold},
                                                           {400, R"({"error":"SYNTAX"})", Verdict::none},
                                                           {0, "", Verdict::on},
                                                           {-1, "", Verdict::on}};
    for (const auto& [with, body, verdict] : votes) {
        code = with, answer = body;
        const auto before = heard;
        desk.vote(verdict, 42, 1);
        fixture.runUntil([&] { return heard > before; });
    }
    desk.start();
    fixture.runUntil([&] { return platform.pending.size() == 1; });
    platform.beginStream(platform.pending[0]);
    platform.sendChunk(platform.pending[0], "{}\n{\"type\":\"ROLLOUT\",\"object\":" + state + "}\n{\"ty");
    platform.sendChunk(
        platform.pending[0],
        "pe\":\"DISPUTE\",\"object\":{\"host\":\"s-5\",\"type\":\"read\",\"lag_ms\":1200}}\nnonsense\n");
    platform.sendChunk(platform.pending[0], R"({"type":"NEWER","object":{}})"
                                            "\n");
    platform.sendChunk(platform.pending[0], "{\"type\":\"ROLLOUT\",\"object\":" + state + "}\n");
    const auto before = heard;
    // What comes behind a line that cannot be read is not taken: a new watch tells anew.
    fixture.runUntil([&] { return heard == before + 2 && platform.requestPaths.size() == 10; });
    matchesTrace("desk", fixture.trace.str());
}

TEST_CASE("datagrams: known senders only, none too long") {
    SidecarFixture fixture;
    std::vector<Address> addresses;
    for (int peer = 0; peer < 3; ++peer) addresses.push_back({"127.0.0.1", freePort(SOCK_DGRAM)});
    std::vector<std::string> heard;
    const auto listen = [&](int peer, std::vector<Address> known) {
        return std::make_unique<PeerTransport>(fixture.loop, addresses[static_cast<std::size_t>(peer)], known,
                                               std::nullopt, [&, peer](int from, const std::string& bytes) {
                                                   heard.push_back(std::to_string(from) + ">" +
                                                                   std::to_string(peer) + " " +
                                                                   std::to_string(bytes.size()));
                                               });
    };
    auto zero = listen(0, addresses);
    auto one = listen(1, {addresses[0], addresses[1]});
    auto two = listen(2, addresses);
    two->send(1, "from a stranger");
    zero->send(1, std::string(kMaxMessageBytes + 1, 'x'));
    zero->send(7, "nobody");
    zero->send(1, std::string(kMaxMessageBytes, 'x'));
    one->send(0, "back");
    fixture.runUntil([&] { return heard.size() == 2; });
    std::sort(heard.begin(), heard.end());
    CHECK(heard == std::vector<std::string>{"0>1 256", "1>0 4"});
}

// The reload days: SIGHUP ended the process.
TEST_CASE("a new configuration: discovery and platform are asked at their new addresses, hits go on") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(1);
    auto back = fixture.sendRequest("certify");
    fixture.runUntil(
        [&] { return fixture.pods[0]->pending.size() == 1 && fixture.discovery->pending.size() == 1; });
    HttpStandIn registry(fixture.loop, [&](auto& at, auto* call) { at.hold(call); });
    HttpStandIn platform(fixture.loop, [&](auto& at, auto* call) { at.hold(call); });
    Config config;
    config.discovery = registry.address, config.platform = platform.address;
    fixture.sidecar->reload(config);
    fixture.sidecar->reload(config);  // twice in a row
    fixture.runUntil([&] { return !registry.pending.empty() && !platform.pending.empty(); });
    CHECK(registry.requestPaths.back() ==
          "/registry/instances");  // whole, not what changed since another's revision
    CHECK(platform.requestPaths.back() == paths::kRolloutWatch);
    fixture.runUntil([&] { return fixture.discovery->closed == 1 && fixture.platform->closed == 1; });
    fixture.pods[0]->respondToPending(200, "x");
    fixture.runUntil([&] { return back->has_value(); });
    CHECK((*back)->statusCode == 200);
}

TEST_CASE("a stop: not ready, what is taken is answered, connections end with their answers") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& at, evhttp_request* call) { at.hold(call); };
    fixture.start(1);
    const auto ready = [&] {
        auto back = fixture.call({EVHTTP_REQ_GET, paths::kReady, {{"Host", "h"}}, {}});
        fixture.runUntil([&] { return back->has_value(); });
        return (*back)->statusCode;
    };
    CHECK(ready() == 200);
    RawClient open(fixture.sidecar->address()), idle(fixture.sidecar->address()),
        slow(fixture.sidecar->address());
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    idle.write("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runUntil([&] { return idle.read().find("200 OK") != std::string::npos; });
    slow.write("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runUntil([&] { return slow.read().find("200 OK") != std::string::npos; });
    slow.write(get);  // half of a hit, when the stop comes
    open.write(get + "c-1\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.sidecar->stop();
    fixture.runUntil([&] { return idle.closed(); });
    CHECK(!slow.closed());
    slow.write("c-3\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 2; });
    CHECK(ready() == 503);
    RawClient newcomer(fixture.sidecar->address()), late(fixture.sidecar->address());
    newcomer.write(get + "c-2\r\n\r\n");
    late.write(get);
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 3; });
    CHECK(!fixture.sidecar->loop().stopped());
    fixture.pods[0]->respondToPending(200, "in time");
    fixture.runUntil([&] { return open.closed() && newcomer.closed() && slow.closed(); });
    for (auto* client : {&open, &newcomer, &slow}) {
        CHECK(client->read().find("Connection: close") != std::string::npos);
        CHECK(client->read().find("in time") != std::string::npos);
    }
    const auto past = fixture.loop.now() + 700 * kMs;  // newcomers are over
    fixture.runUntil([&] { return fixture.loop.now() > past; });
    CHECK(!fixture.sidecar->loop().stopped());
    late.write("c-4\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.pods[0]->respondToPending(200, std::string(kMaxBodyBytes, 'z'));
    fixture.runUntil([&] { return fixture.sidecar->loop().stopped(); });
    CHECK(late.read().ends_with("zzz"));
}

// Seen on the first days on sockets: after a turn that took long, the decisions' tick came early and was the
// last one, so that a sidecar pooled and voted no more.
TEST_CASE("a timer never fires before its time, however long the turn that set it") {
    SidecarFixture fixture;
    int fired = 0;
    Nanos set = 0;
    Timer timer(fixture.loop, [&] {
        CHECK(fixture.loop.now() - set >= 5 * kMs);
        ++fired;
    });
    for (int turn = 1; turn <= 3; ++turn) {
        fixture.loop.post([&] {
            const auto begun = fixture.loop.now();
            while (fixture.loop.now() - begun < 8 * kMs) continue;
            set = fixture.loop.now();
            timer.start(5 * kMs);
        });
        fixture.runUntil([&] { return fired == turn; });
    }
}
