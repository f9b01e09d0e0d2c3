#include "sidecar/upstream_pool.hpp"
#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

namespace {

// The result of one call to a stand-in.
std::string resultOf(const HttpStandIn::Handler& serve, const std::string& body = {}, Nanos timeout = 0) {
    SidecarFixture fixture;
    HttpStandIn other(fixture.loop, serve);
    Connection connection(fixture.loop, other.address, kMaxBodyBytes);
    std::optional<CallResponse> response;
    const HttpRequest request{
        body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, "/read", {{"Host", "origin.svc"}}, body};
    connection.call(request, 5000 * kMs, timeout,
                    [&](CallResponse received) { response = std::move(received); });
    fixture.runUntil([&] { return response.has_value(); });
    return std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result));
}

}  // namespace

TEST_CASE("each way a call can end has one result and one outcome") {
    std::stringstream trace;
    const auto note = [&](const char* what, const std::string& result) {
        trace << what << ": " << result << '\n';
    };
    note("200 and a body",
         resultOf([](auto& standIn, auto* request) { standIn.respond(request, 200, "body"); }));
    note("200 and no body",
         resultOf([](auto& standIn, auto* request) { standIn.respond(request, 200, ""); }));
    note("500", resultOf([](auto& standIn, auto* request) { standIn.respond(request, 500, ""); }));
    note("404", resultOf([](auto& standIn, auto* request) { standIn.respond(request, 404, ""); }));
    note("503, plain", resultOf([](auto& standIn, auto* request) { standIn.respond(request, 503, ""); }));
    note("503, not run", resultOf([](auto& standIn, auto* request) {
             standIn.respond(request, 503, "", {{"X-Rejected", "1"}});
         }));
    note("504, not run", resultOf([](auto& standIn, auto* request) {
             standIn.respond(request, 504, "", {{"X-Rejected", "1"}});
         }));
    note("500, says not run", resultOf([](auto& standIn, auto* request) {
             standIn.respond(request, 500, "", {{"X-Rejected", "1"}});
         }));
    note("cut after the call", resultOf([](auto& standIn, auto* request) { standIn.disconnect(request); }));
    note("half an answer", resultOf([](auto& standIn, auto* request) {
             standIn.sendRaw(request, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
             standIn.disconnect(request);
         }));
    note("half a head", resultOf([](auto& standIn, auto* request) {
             standIn.sendRaw(request, "HTTP/1.1 200 OK\r\nContent-Le");
             standIn.disconnect(request);
         }));
    note("no HTTP",
         resultOf([](auto& standIn, auto* request) { standIn.sendRaw(request, "what?\r\n\r\n"); }));
    note("silence", resultOf([](auto&, auto*) {}, {}, 30 * kMs));
    {
        SidecarFixture fixture;
        const auto nobody = freePort();
        Connection connection(fixture.loop, {"127.0.0.1", nobody}, kMaxBodyBytes);
        std::optional<CallResponse> response;
        connection.call({}, 5000 * kMs, 0, [&](CallResponse received) { response = std::move(received); });
        fixture.runUntil([&] { return response.has_value(); });
        note("nobody listens",
             std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result)));
    }
    {
        SidecarFixture fixture;
        UnresponsiveListener deaf;
        Connection connection(fixture.loop, deaf.address, kMaxBodyBytes);
        std::optional<CallResponse> response;
        connection.call({}, 30 * kMs, 0, [&](CallResponse received) { response = std::move(received); });
        fixture.runUntil([&] { return response.has_value(); });
        note("never up",
             std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result)));
    }
    {
        SidecarFixture fixture;
        UnresponsiveListener closing(8);
        Connection connection(fixture.loop, closing.address, kMaxBodyBytes);
        std::optional<CallResponse> response;
        const HttpRequest request{EVHTTP_REQ_POST, "/", {{"Host", "h"}}, std::string(32 << 20, 'x')};
        connection.call(request, 5000 * kMs, 0,
                        [&](CallResponse received) { response = std::move(received); });
        fixture.runUntil([&] { return closing.acceptAndReset(); });
        fixture.runUntil([&] { return response.has_value(); });
        note("cut before the last byte",
             std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result)));
    }
    note("called off", std::string("-, ") + outcomeName(outcomeOf(CallResult::cancelled)));
    note("no descriptor", std::string("-, ") + outcomeName(outcomeOf(CallResult::noDescriptor)));
    matchesTrace("call-results", trace.str());
}

// evhttp's client took the end of the connection for the end of a body, the first of two lengths, and what
// followed a 103 for the next call's response: clients were served what no pod had made for them.
TEST_CASE("a response is complete and consistent, or it is malformed") {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 4\r\n\r\nbody";
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
        const auto serve = [&bytes = bytes](HttpStandIn& standIn, evhttp_request* request) {
            standIn.hold(request);
            standIn.sendRaw(request, bytes);
        };
        trace << what << ": " << resultOf(serve) << '\n';
    }
    matchesTrace("malformed-responses", trace.str());
}

// Seen with faulty pods: the second copy behind a response was given to the next client.
TEST_CASE("a connection with unasked bytes on it is not reused") {
    SidecarFixture fixture;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    bool later = false;
    HttpStandIn pod(fixture.loop, [&](auto& standIn, auto* request) {
        standIn.hold(request);
        standIn.sendRaw(
            request,
            answer + (standIn.requestPaths.size() == 1 ? later ? "one" : "one" + answer + "one" : "two"));
    });
    UpstreamPool pool(fixture.loop, 5000 * kMs, 60000 * kMs, 4);
    auto& host = pool.host("s-1");
    pool.setAddress(host, pod.address);
    std::string bodies;
    const auto send = [&] {
        const auto before = bodies.size();
        pool.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                  [&](CallResponse response) { bodies += response.body; });
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
