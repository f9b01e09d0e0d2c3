#include <sys/resource.h>

#include "sidecar/discovery_client.hpp"
#include "sidecar/peer_transport.hpp"
#include "sidecar/platform_client.hpp"
#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::net;

namespace {

// One call to a stand-in, by itself.
std::string endingOf(const StandIn::Serve& serve, const std::string& body = {}, Nanos within = 0) {
    Town town;
    StandIn other(town.loop, serve);
    Connection connection(town.loop, other.address, longestBody);
    std::optional<Return> back;
    const Call call{body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, "/read", {{"Host", "origin.svc"}}, body};
    connection.call(call, 5000 * ms, within, [&](Return came) { back = std::move(came); });
    town.until([&] { return back.has_value(); });
    return std::string(nameOf(back->ending)) + ", " + outcomeName(outcomeOf(back->ending));
}

}  // namespace

TEST_CASE("each way a call can end has one ending and one outcome") {
    std::stringstream tape;
    const auto note = [&](const char* what, const std::string& ending) {
        tape << what << ": " << ending << '\n';
    };
    note("200 and a body", endingOf([](auto& at, auto* call) { at.answer(call, 200, "body"); }));
    note("200 and no body", endingOf([](auto& at, auto* call) { at.answer(call, 200, ""); }));
    note("500", endingOf([](auto& at, auto* call) { at.answer(call, 500, ""); }));
    note("404", endingOf([](auto& at, auto* call) { at.answer(call, 404, ""); }));
    note("503, plain", endingOf([](auto& at, auto* call) { at.answer(call, 503, ""); }));
    note("503, not run", endingOf([](auto& at, auto* call) {
             at.answer(call, 503, "", {{"X-Rejected", "1"}});
         }));
    note("504, not run", endingOf([](auto& at, auto* call) {
             at.answer(call, 504, "", {{"X-Rejected", "1"}});
         }));
    note("500, says not run", endingOf([](auto& at, auto* call) {
             at.answer(call, 500, "", {{"X-Rejected", "1"}});
         }));
    note("cut after the call", endingOf([](auto& at, auto* call) { at.cut(call); }));
    note("half an answer", endingOf([](auto& at, auto* call) {
             at.raw(call, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
             at.cut(call);
         }));
    note("half a head", endingOf([](auto& at, auto* call) {
             at.raw(call, "HTTP/1.1 200 OK\r\nContent-Le");
             at.cut(call);
         }));
    note("no HTTP", endingOf([](auto& at, auto* call) { at.raw(call, "what?\r\n\r\n"); }));
    note("silence", endingOf([](auto&, auto*) {}, {}, 30 * ms));
    {
        Town town;
        const auto nobody = freePort();
        Connection connection(town.loop, {"127.0.0.1", nobody}, longestBody);
        std::optional<Return> back;
        connection.call({}, 5000 * ms, 0, [&](Return came) { back = std::move(came); });
        town.until([&] { return back.has_value(); });
        note("nobody listens",
             std::string(nameOf(back->ending)) + ", " + outcomeName(outcomeOf(back->ending)));
    }
    {
        Town town;
        DeafListener deaf;
        Connection connection(town.loop, deaf.address, longestBody);
        std::optional<Return> back;
        connection.call({}, 30 * ms, 0, [&](Return came) { back = std::move(came); });
        town.until([&] { return back.has_value(); });
        note("never up", std::string(nameOf(back->ending)) + ", " + outcomeName(outcomeOf(back->ending)));
    }
    {
        Town town;
        DeafListener closing(8);
        Connection connection(town.loop, closing.address, longestBody);
        std::optional<Return> back;
        const Call call{EVHTTP_REQ_POST, "/", {{"Host", "h"}}, std::string(32 << 20, 'x')};
        connection.call(call, 5000 * ms, 0, [&](Return came) { back = std::move(came); });
        town.until([&] { return closing.acceptAndReset(); });
        town.until([&] { return back.has_value(); });
        note("cut before the last byte",
             std::string(nameOf(back->ending)) + ", " + outcomeName(outcomeOf(back->ending)));
    }
    note("called off", std::string("-, ") + outcomeName(outcomeOf(Ending::calledOff)));
    note("no descriptor", std::string("-, ") + outcomeName(outcomeOf(Ending::noRoom)));
    matchesTrace("endings", tape.str());
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
    std::stringstream tape;
    for (const auto& [what, bytes] : answers) {
        const auto serve = [&bytes = bytes](StandIn& at, evhttp_request* call) {
            at.hold(call), at.raw(call, bytes);
        };
        tape << what << ": " << endingOf(serve) << '\n';
    }
    matchesTrace("spoilt", tape.str());
}

// Days of bad pods: the copy behind an answer was given to the next client.
TEST_CASE("a connection on which more has come than belongs to it is not used again") {
    Town town;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    bool later = false;
    StandIn pod(town.loop, [&](auto& at, auto* call) {
        at.hold(call);
        at.raw(call, answer + (at.seen.size() == 1 ? later ? "one" : "one" + answer + "one" : "two"));
    });
    Upstream upstream(town.loop, 5000 * ms, 60000 * ms, 4);
    auto& place = upstream.place("s-1");
    upstream.moved(place, pod.address);
    std::string bodies;
    const auto send = [&] {
        const auto before = bodies.size();
        upstream.send(place, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                      [&](Return back) { bodies += back.body; });
        town.until([&] { return bodies.size() > before; });
    };
    SUBCASE("behind the answer") { send(); }
    SUBCASE("while it idles, seen by the loop or not yet") {
        later = true;
        send();
        CHECK(place.kept.size() == 1);
        pod.raw(pod.held[0], answer + "one");
    }
    send();
    CHECK(bodies == "onetwo");
}

TEST_CASE("connections to a pod are kept, the last used taken first, and closed when idle or moved") {
    Town town;
    StandIn pod(town.loop, [](auto& at, auto* call) { at.hold(call); });
    Upstream upstream(town.loop, 5000 * ms, 60000 * ms, 2);
    auto& place = upstream.place("s-1");
    upstream.moved(place, pod.address);
    int ended = 0, noRoom = 0;
    const auto send = [&] {
        upstream.send(place, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0, [&](Return back) {
            ++ended;
            noRoom += back.ending == Ending::noRoom;
        });
    };
    send(), send(), send();
    town.until([&] { return pod.held.size() == 2 && ended == 1; });
    CHECK(noRoom == 1);
    const auto second = pod.portOf(pod.held[1]);
    pod.answerHeld(200, "x");
    town.until([&] { return ended == 3; });
    CHECK(place.kept.size() == 2);
    send();
    town.until([&] { return pod.held.size() == 1; });
    CHECK(pod.portOf(pod.held[0]) == second);
    pod.answerHeld(200, "x");
    town.until([&] { return ended == 4; });
    SUBCASE("moved to another address") {
        StandIn other(town.loop, [](auto& at, auto* call) { at.answer(call, 200, "y"); });
        upstream.moved(place, other.address);
        CHECK(upstream.open() == 0);
        send();
        town.until([&] { return ended == 5; });
        CHECK(other.seen.size() == 1);
    }
    SUBCASE("in doubt once a call on another brings no answer") {
        upstream.send(place, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 10 * ms,
                      [&](Return) { ++ended; });
        town.until([&] { return ended == 5; });
        CHECK(upstream.open() == 0);
    }
    SUBCASE("closed by the pod") {
        pod.closeAll();
        town.until([&] { return upstream.open() == 0; });
    }
}

TEST_CASE("an idle connection is closed at half the time that the pod's machine allows") {
    Town town;
    StandIn pod(town.loop, [](auto& at, auto* call) { at.answer(call, 200, "x"); });
    Upstream upstream(town.loop, 5000 * ms, 60 * ms, 2);
    auto& place = upstream.place("s-1");
    upstream.moved(place, pod.address);
    Nanos answered = 0;
    upstream.send(place, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                  [&](Return) { answered = town.loop.now(); });
    CHECK(upstream.open() == 1);
    town.until([&] { return answered > 0 && upstream.open() == 0; });
    CHECK(town.loop.now() - answered >= 30 * ms);
    town.until([&] { return pod.closed == 1; });
}

TEST_CASE("a hit's life: forwards, the one answer, and what its path group lets happen") {
    Town town;
    town.serve = [&](StandIn& at, evhttp_request* call) {
        const auto script = town.script;
        if (script == "errs once" && town.forwards > 1) return at.answer(call, 200, "after all");
        if (script == "errs once" || script == "errs") return at.answer(call, 500, "");
        if (script == "full") return at.answer(call, 503, "", {{"X-Rejected", "1"}});
        if (script == "busy") return at.answer(call, 503, "");
        at.answer(call, 200, "register page", {{"Content-Type", "text/plain"}});
    };
    town.start(2);
    for (const char* group : {"read", "order", "certify"})
        for (const char* script : {"serves", "errs once", "full", "busy"}) {
            town.script = script;
            town.forwards = 0;
            auto back = town.ask(group);
            town.until([&] { return back->has_value(); });
            town.tape << group << ", pods: " << script << ": " << town.forwards << " forwards, answer "
                      << (*back)->code << " " << (*back)->type << " '" << (*back)->body << "'\n";
        }
    matchesTrace("passage", town.tape.str());
}

TEST_CASE("what a pod is sent") {
    Town town;
    std::string path, id, mark, host, body;
    std::optional<Nanos> budget;
    town.serve = [&](StandIn& at, evhttp_request* call) {
        const auto header = [&](const char* name) {
            const auto* value = evhttp_find_header(evhttp_request_get_input_headers(call), name);
            return std::string(value ? value : "-");
        };
        path = evhttp_request_get_uri(call), id = header("X-Call-Id"), mark = header("Idempotency-Key");
        host = header("Host"), budget = readBudget(header("X-Budget"));
        body = StandIn::bodyOf(call);
        at.answer(call, 200, "done");
    };
    town.start(1);
    auto back = town.call({EVHTTP_REQ_POST,
                           "/order?page=7&x=%20",
                           {{"Host", "origin.svc"},
                            {"X-Call-Id", "c-7"},
                            {"X-Call-Class", "order"},
                            {"X-Budget", "480m"},
                            {"Idempotency-Key", "k-1"}},
                           "extract 12"});
    town.until([&] { return back->has_value(); });
    CHECK(path == "/order?page=7&x=%20");
    CHECK(id == "c-7");
    CHECK(mark == "k-1");
    CHECK(host == "origin.svc");
    CHECK(body == "extract 12");
    REQUIRE(budget);
    CHECK(*budget <= 480 * ms);
    CHECK(*budget >= 240 * ms);
}

TEST_CASE("a hit that cannot be one is answered at once and never forwarded") {
    Town town;
    town.start(1);
    using Headers = std::vector<std::pair<std::string, std::string>>;
    const Headers whole = {{"Host", "h"},
                           {"X-Call-Id", "c"},
                           {"X-Call-Class", "order"},
                           {"X-Budget", "480m"},
                           {"Idempotency-Key", "k"}};
    const auto without = [&](const char* name, const char* instead = nullptr) {
        Headers headers;
        for (const auto& header : whole)
            if (header.first != name) headers.push_back(header);
        if (instead) headers.emplace_back(name, instead);
        return headers;
    };
    const std::pair<Call, int> cases[] = {
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
        std::optional<Return> back;
        Connection client(town.loop, town.sidecar->address(), longestBody);
        client.call(call, 5000 * ms, 0, [&](Return came) { back = std::move(came); });
        town.until([&] { return back.has_value(); });
        CHECK(back->code == code);
    }
    CHECK(town.forwards == 1);
    auto large = town.call({EVHTTP_REQ_POST, "/order", whole, std::string(longestBody + 1, 'x')});
    town.until([&] { return large->has_value(); });
    CHECK((*large)->code / 100 != 2);
    CHECK(town.forwards == 1);
}

// Days of bad clients. What is refused ends its connection: what follows on it may be a request that its body
// hid.
TEST_CASE("a request that can be read in two ways, or not at all, is refused and its connection ends") {
    Town town;
    town.start(1);
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
        RawClient client(town.sidecar->address());
        client.say(bytes);
        town.until([&] { return client.closed(); });
        town.tape << what << ": " << client.read().substr(0, client.read().find('\r')) << ", forwards "
                  << town.forwards << '\n';
    }
    matchesTrace("refused", town.tape.str());
}

TEST_CASE("an id is one open hit's: a second one is refused until that has ended") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: c-1\r\n\r\n";
    for (int turn = 1; turn <= 2; ++turn) {
        RawClient first(town.sidecar->address()), second(town.sidecar->address());
        first.say(get);
        town.until([&] { return town.pods[0]->held.size() == 1; });
        second.say(get);
        town.until([&] { return second.closed(); });
        CHECK(second.read().starts_with("HTTP/1.1 409"));
        town.pods[0]->answerHeld(200, "mine");
        town.until([&] { return first.read().ends_with("mine"); });
        town.until([&] { return town.sidecar->open() == 0; });
        CHECK(town.forwards == turn);
    }
}

// The churn day: clients that asked once and stayed took all descriptors, and the process ended on it.
TEST_CASE("silent clients and idle ones make room for new ones, and nobody may take for ever to ask") {
    Town town;
    town.start(1, 72);  // 36 connections of clients, 18 at ease
    std::vector<std::unique_ptr<RawClient>> others;
    const auto crowd = [&](const std::string& bytes) {
        others.clear();
        for (int turn = 0; turn < 50; ++turn) {
            others.push_back(std::make_unique<RawClient>(town.sidecar->address()));
            if (!bytes.empty()) others.back()->say(bytes);
            for (int pass = 0; pass < 3; ++pass) town.turn();
        }
        auto back = town.ask("read");
        town.until([&] { return back->has_value(); });
        CHECK((*back)->code == 200);
    };
    SUBCASE("silent") { crowd(""); }
    SUBCASE("asked once") {
        crowd("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto open = [&] {
            return std::count_if(others.begin(), others.end(), [](auto& one) { return !one->closed(); });
        };
        town.until([&] { return open() <= 18; });
    }
    SUBCASE("half a request") {
        others.push_back(std::make_unique<RawClient>(town.sidecar->address()));
        others.back()->say("GET /read HTTP/1.1\r\nHo");
        auto back = town.ask("read");
        town.until([&] { return back->has_value(); });
    }
    town.until([&] {
        return std::all_of(others.begin(), others.end(), [](auto& one) {
            return one->closed() || one->read().starts_with("HTTP/1.1 200");
        });
    });
}

TEST_CASE("broken HTTP and a client that does not wait for its answer do no harm") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    RawClient broken(town.sidecar->address()), hasty(town.sidecar->address());
    broken.say("no HTTP at all\r\n\r\n");
    hasty.say(get + "c-1\r\n\r\n");
    town.until([&] { return town.pods[0]->held.size() == 1; });
    hasty.say(get + "c-2\r\n\r\n");
    town.until([&] { return broken.closed(); });
    town.pods[0]->answerHeld(200, "one");
    town.until([&] { return town.pods[0]->held.size() == 1; });
    town.pods[0]->answerHeld(200, "two");
    town.until([&] { return hasty.read().find("two") != std::string::npos; });
    CHECK(hasty.read().find("one") < hasty.read().find("two"));
}

TEST_CASE("a client that leaves is told to the decisions while its forward is out") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(2);
    for (const bool leaves : {false, true}) {
        auto client = std::make_unique<RawClient>(town.sidecar->address());
        client->say(
            "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: read\r\nX-Budget: "
            "20000m\r\n\r\n");
        const auto before = town.forwards;
        const auto held = [&] { return town.pods[0]->held.size() + town.pods[1]->held.size(); };
        town.until([&] { return held() == 1; });
        if (leaves) client->leave();
        if (leaves) town.until([&] { return town.sidecar->gone() == 1; });
        for (auto& pod : town.pods) pod->answerHeld(503, "", {{"X-Rejected", "1"}});
        // A hit still waited for goes to the other pod; one that nobody waits for ends.
        if (leaves) town.until([&] { return town.sidecar->open() == 0; });
        else town.until([&] { return held() == 1; });
        CHECK(town.forwards - before == (leaves ? 1 : 2));
        for (auto& pod : town.pods) pod->answerHeld(200, "x");
        town.until([&] { return town.sidecar->open() == 0; });
    }
}

TEST_CASE("a forward without an answer ends with the client's wait, and the client has its error") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(1);
    for (const char* group : {"certify", "read"}) {
        auto back = town.ask(group, "60m");
        town.until([&] { return back->has_value(); });
        CHECK((*back)->code == 500);  // it may run yet, and the client's wait is over: no bounce
    }
    town.until([&] { return town.pods[0]->closed >= 1; });
}

TEST_CASE("a lost pod's hits go on, and no descriptor left ends no process") {
    Town town;
    town.start(2, 70);  // 70 descriptors: three connections to pods
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    std::vector<std::shared_ptr<std::optional<Return>>> asked;
    for (int turn = 0; turn < 6; ++turn) asked.push_back(town.ask("certify"));
    const auto ended = [&] {
        return std::count_if(asked.begin(), asked.end(), [](auto& one) { return one->has_value(); });
    };
    town.until([&] { return ended() >= 3; });
    for (auto& one : asked)
        if (*one) CHECK((*one)->code == 503);  // it never ran anywhere: a bounce
    for (auto& pod : town.pods) pod->answerHeld(200, "x");
    town.until([&] { return ended() == 6; });
    // And the process's own table: no socket can be opened for a while, on either side.
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    town.serve = [](StandIn& at, evhttp_request* call) { at.answer(call, 200, "x"); };
    for (auto& pod : town.pods) pod->closeAll();
    RawClient first(town.sidecar->address()), second(town.sidecar->address());
    const int lowestFree = dup(first.descriptor());
    close(lowestFree);
    const auto full = rlimit{static_cast<rlim_t>(lowestFree), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &full);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    first.say(get + "c-8\r\n\r\n");
    for (int turn = 0; turn < 200; ++turn) town.turn();
    CHECK(first.read().empty());  // not accepted, and the listener rests
    setrlimit(RLIMIT_NOFILE, &before);
    second.say(get + "c-9\r\n\r\n");
    town.until([&] { return second.read().find("200 OK") != std::string::npos; });
    town.until([&] { return !first.read().empty(); });
}

TEST_CASE("a sidecar that holds as many hits as it may takes no more until one ends") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(1, 1024, 2);
    std::vector<Town::Asked> asked;
    for (int turn = 0; turn < 3; ++turn) asked.push_back(town.ask("read"));
    const auto answered = [&] {
        return std::count_if(asked.begin(), asked.end(), [](auto& one) { return one->has_value(); });
    };
    town.until([&] { return answered() == 1; });
    for (auto& one : asked)
        if (*one) CHECK((*one)->code == 503);
    town.until([&] { return town.pods[0]->held.size() == 2; });
    town.pods[0]->answerHeld(200, "x");
    town.until([&] { return answered() == 3 && town.sidecar->open() == 0; });
    auto next = town.ask("read");
    town.until([&] { return town.pods[0]->held.size() == 1; });
    town.pods[0]->answerHeld(200, "x");
    town.until([&] { return next->has_value(); });
    CHECK((*next)->code == 200);
}

TEST_CASE("a pod that is listed with another start or build, or gone, loses its idle connections") {
    Town town;
    StandIn registry(town.loop, [](auto& at, auto* call) { at.hold(call); });
    StandIn pod(town.loop, [](auto& at, auto* call) { at.answer(call, 200, "x"); });
    Upstream upstream(town.loop, 5000 * ms, 15000 * ms, 10);
    const std::vector<std::string> zones = {"a"};
    std::map<int, Build> builds;
    Discovery discovery(town.loop, registry.address, 5000 * ms, limits::Reopening(Discovery::silence, 1),
                        zones, upstream, [&](bool, std::vector<Listing> lines) {
                            for (auto& line : lines) {  // as the decisions do
                                line.pod->started = line.started;
                                line.pod->build = &(builds[line.build] = {line.build, {}});
                            }
                        });
    const auto list = [&](const char* phase, const char* since, const char* build) {
        return readPodList(R"({"revision":41,"complete":true,"members":[{"id":"s-1","host_port":")" +
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
        CHECK(upstream.open() == kept);
        bool ended = false;
        upstream.send(upstream.place("s-1"), {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                      [&](Return) { ended = true; });
        town.until([&] { return ended; });
    }
}

TEST_CASE("the list: a watch cut anywhere, resumed from its revision, and asked whole when unreadable") {
    Town town;
    StandIn registry(town.loop, [&](auto& at, auto* call) { at.hold(call); });
    Upstream upstream(town.loop, 5000 * ms, 15000 * ms, 10);
    const std::vector<std::string> zones = {"a", "b"};
    Discovery discovery(town.loop, registry.address, 5000 * ms, limits::Reopening(Discovery::silence, 1),
                        zones, upstream, [&](bool whole, std::vector<Listing> lines) {
                            town.tape << (whole ? "whole:" : "changes:");
                            for (const auto& line : lines)
                                town.tape << ' ' << static_cast<Place*>(line.pod)->name << " zone "
                                          << line.zone << " build " << line.build << " state "
                                          << static_cast<int>(line.availability);
                            town.tape << '\n';
                        });
    const auto entry = [](const char* id, const char* zone, const char* phase) {
        return std::string(R"({"id":")") + id + R"(","host_port":"127.0.0.1:9","locality":")" + zone +
               R"(","cell":3,"phase":")" + phase + R"(","up_since_ms":0,"image_id":41,"odd":[1]})";
    };
    discovery.start(
        readPodList(R"({"revision":41,"complete":true,"members":[)" + entry("s-1", "a", "up") + "]}"));
    const auto opened = [&](std::size_t count) {
        town.until([&] { return registry.seen.size() == count; });
        town.tape << "asked: " << registry.seen.back() << '\n';
        registry.begin(registry.held.back());
    };
    opened(1);
    const auto change =
        R"({"revision":43,"complete":false,"members":[)" + entry("s-2", "b", "draining") + "]}\n";
    for (const char letter : change) registry.piece(registry.held.back(), {&letter, 1});
    town.until([&] { return town.tape.str().find("s-2") != std::string::npos; });
    registry.closeAll();
    opened(2);
    registry.piece(registry.held.back(), "\n{\"revision\":44,\"members\":\"all\"}\n");
    town.until([&] { return registry.seen.size() == 3; });
    town.tape << "asked: " << registry.seen.back() << '\n';
    registry.answer(registry.held.back(), 200,
                    R"({"revision":50,"complete":true,"members":[)" + entry("s-2", "b", "up") + "]}");
    opened(4);
    // A refusal is no line, whatever comes with it, and its advice to wait is kept.
    registry.closeAll();
    town.until([&] { return registry.seen.size() == 5; });
    const auto refused = town.loop.now();
    registry.answer(registry.held.back(), 429, "{\"error\":\"BUSY\"}\n", {{"Retry-After", "0.3"}});
    opened(6);
    CHECK(town.loop.now() - refused >= 300 * ms);
    matchesTrace("list", town.tape.str());
    CHECK(upstream.place("s-1").id == podNumber("s-1"));
}

TEST_CASE("votes and their answers, and what the platform tells by itself") {
    Town town;
    std::string answer;
    int code = 200;
    StandIn platform(town.loop, [&](auto& at, auto* call) {
        if (std::string(evhttp_request_get_uri(call)) == paths::news) return at.hold(call);
        town.tape << StandIn::bodyOf(call) << " -> ";
        if (code == 0) at.cut(call);
        else if (code > 0) at.answer(call, code, answer);
    });
    int heard = 0;
    Desk desk(
        town.loop, platform.address, 5000 * ms, 1500 * ms, limits::Reopening(Desk::silence, 1),
        [&](const StageNews& news, bool isAnswer, Outcome outcome) {
            ++heard;
            town.tape << (isAnswer ? "answer " : "news ") << outcomeName(outcome) << " build " << news.build
                      << " stage " << news.stage << " standing " << static_cast<int>(news.standing) << " cap "
                      << news.cap << " age " << news.age / ms << '\n';
        },
        [&](const Dispute& dispute) {
            ++heard;
            town.tape << "dispute " << dispute.pod << " " << dispute.group << " " << dispute.age / ms << '\n';
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
        town.until([&] { return heard > before; });
    }
    desk.start();
    town.until([&] { return platform.held.size() == 1; });
    platform.begin(platform.held[0]);
    platform.piece(platform.held[0], "{}\n{\"type\":\"ROLLOUT\",\"object\":" + state + "}\n{\"ty");
    platform.piece(
        platform.held[0],
        "pe\":\"DISPUTE\",\"object\":{\"host\":\"s-5\",\"type\":\"read\",\"lag_ms\":1200}}\nnonsense\n");
    platform.piece(platform.held[0], R"({"type":"NEWER","object":{}})"
                                     "\n");
    platform.piece(platform.held[0], "{\"type\":\"ROLLOUT\",\"object\":" + state + "}\n");
    const auto before = heard;
    // What comes behind a line that cannot be read is not taken: a new watch tells anew.
    town.until([&] { return heard == before + 2 && platform.seen.size() == 10; });
    matchesTrace("desk", town.tape.str());
}

TEST_CASE("datagrams: known senders only, none too long") {
    Town town;
    std::vector<Address> addresses;
    for (int peer = 0; peer < 3; ++peer) addresses.push_back({"127.0.0.1", freePort(SOCK_DGRAM)});
    std::vector<std::string> heard;
    const auto listen = [&](int peer, std::vector<Address> known) {
        return std::make_unique<Peers>(town.loop, addresses[static_cast<std::size_t>(peer)], known,
                                       std::nullopt, [&, peer](int from, const std::string& bytes) {
                                           heard.push_back(std::to_string(from) + ">" + std::to_string(peer) +
                                                           " " + std::to_string(bytes.size()));
                                       });
    };
    auto zero = listen(0, addresses);
    auto one = listen(1, {addresses[0], addresses[1]});
    auto two = listen(2, addresses);
    two->tell(1, "from a stranger");
    zero->tell(1, std::string(maxMessage + 1, 'x'));
    zero->tell(7, "nobody");
    zero->tell(1, std::string(maxMessage, 'x'));
    one->tell(0, "back");
    town.until([&] { return heard.size() == 2; });
    std::sort(heard.begin(), heard.end());
    CHECK(heard == std::vector<std::string>{"0>1 256", "1>0 4"});
}

// The reload days: SIGHUP ended the process.
TEST_CASE("a new configuration: discovery and platform are asked at their new addresses, hits go on") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(1);
    auto back = town.ask("certify");
    town.until([&] { return town.pods[0]->held.size() == 1 && town.registry->held.size() == 1; });
    StandIn registry(town.loop, [&](auto& at, auto* call) { at.hold(call); });
    StandIn platform(town.loop, [&](auto& at, auto* call) { at.hold(call); });
    Config config;
    config.discovery = registry.address, config.platform = platform.address;
    town.sidecar->reload(config);
    town.sidecar->reload(config);  // twice in a row
    town.until([&] { return !registry.held.empty() && !platform.held.empty(); });
    CHECK(registry.seen.back() == "/registry/instances");  // whole, not what changed since another's revision
    CHECK(platform.seen.back() == paths::news);
    town.until([&] { return town.registry->closed == 1 && town.platform->closed == 1; });
    town.pods[0]->answerHeld(200, "x");
    town.until([&] { return back->has_value(); });
    CHECK((*back)->code == 200);
}

TEST_CASE("a stop: not ready, what is taken is answered, connections end with their answers") {
    Town town;
    town.serve = [](StandIn& at, evhttp_request* call) { at.hold(call); };
    town.start(1);
    const auto ready = [&] {
        auto back = town.call({EVHTTP_REQ_GET, paths::ready, {{"Host", "h"}}, {}});
        town.until([&] { return back->has_value(); });
        return (*back)->code;
    };
    CHECK(ready() == 200);
    RawClient open(town.sidecar->address()), idle(town.sidecar->address()), slow(town.sidecar->address());
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    idle.say("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    town.until([&] { return idle.read().find("200 OK") != std::string::npos; });
    slow.say("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    town.until([&] { return slow.read().find("200 OK") != std::string::npos; });
    slow.say(get);  // half of a hit, when the stop comes
    open.say(get + "c-1\r\n\r\n");
    town.until([&] { return town.pods[0]->held.size() == 1; });
    town.sidecar->stop();
    town.until([&] { return idle.closed(); });
    CHECK(!slow.closed());
    slow.say("c-3\r\n\r\n");
    town.until([&] { return town.pods[0]->held.size() == 2; });
    CHECK(ready() == 503);
    RawClient newcomer(town.sidecar->address()), late(town.sidecar->address());
    newcomer.say(get + "c-2\r\n\r\n");
    late.say(get);
    town.until([&] { return town.pods[0]->held.size() == 3; });
    CHECK(!town.sidecar->loop().stopped());
    town.pods[0]->answerHeld(200, "in time");
    town.until([&] { return open.closed() && newcomer.closed() && slow.closed(); });
    for (auto* client : {&open, &newcomer, &slow}) {
        CHECK(client->read().find("Connection: close") != std::string::npos);
        CHECK(client->read().find("in time") != std::string::npos);
    }
    const auto past = town.loop.now() + 700 * ms;  // newcomers are over
    town.until([&] { return town.loop.now() > past; });
    CHECK(!town.sidecar->loop().stopped());
    late.say("c-4\r\n\r\n");
    town.until([&] { return town.pods[0]->held.size() == 1; });
    town.pods[0]->answerHeld(200, std::string(longestBody, 'z'));
    town.until([&] { return town.sidecar->loop().stopped(); });
    CHECK(late.read().ends_with("zzz"));
}

// Seen on the first days on sockets: after a turn that took long, the decisions' tick came early and was the
// last one, so that a sidecar pooled and voted no more.
TEST_CASE("a timer never fires before its time, however long the turn that set it") {
    Town town;
    int fired = 0;
    Nanos set = 0;
    Timer timer(town.loop, [&] {
        CHECK(town.loop.now() - set >= 5 * ms);
        ++fired;
    });
    for (int turn = 1; turn <= 3; ++turn) {
        town.loop.later([&] {
            const auto begun = town.loop.now();
            while (town.loop.now() - begun < 8 * ms) continue;
            set = town.loop.now();
            timer.in(5 * ms);
        });
        town.until([&] { return fired == turn; });
    }
}
