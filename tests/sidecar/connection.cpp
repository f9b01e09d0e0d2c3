#include "sidecar/upstream_pool.hpp"
#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

namespace {

// The result and outcome of one call to a server with the given handler.
std::string resultOf(const HttpStandIn::Handler& handler, const std::string& body = {}, Nanos timeout = 0) {
    SidecarFixture fixture;
    HttpStandIn server(fixture.loop, handler);
    Connection connection(fixture.loop, server.address, kMaxBodyBytes);
    std::optional<CallResponse> response;
    const HttpRequest request{
        body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, "/read", {{"Host", "origin.svc"}}, body};
    connection.call(request, 5000 * kMs, timeout,
                    [&](CallResponse received) { response = std::move(received); });
    fixture.runUntil([&] { return response.has_value(); });
    return std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result));
}

}  // namespace

TEST_CASE("each way a call can end maps to one result and one outcome") {
    std::stringstream trace;
    const auto record = [&](const char* label, const std::string& result) {
        trace << label << ": " << result << '\n';
    };
    record("200 and a body",
           resultOf([](auto& standIn, auto* request) { standIn.respond(request, 200, "body"); }));
    record("200 and no body",
           resultOf([](auto& standIn, auto* request) { standIn.respond(request, 200, ""); }));
    record("500", resultOf([](auto& standIn, auto* request) { standIn.respond(request, 500, ""); }));
    record("404", resultOf([](auto& standIn, auto* request) { standIn.respond(request, 404, ""); }));
    record("503, no header",
           resultOf([](auto& standIn, auto* request) { standIn.respond(request, 503, ""); }));
    record("503, not executed", resultOf([](auto& standIn, auto* request) {
               standIn.respond(request, 503, "", {{"X-Rejected", "1"}});
           }));
    record("504, not executed", resultOf([](auto& standIn, auto* request) {
               standIn.respond(request, 504, "", {{"X-Rejected", "1"}});
           }));
    record("500, claims not executed", resultOf([](auto& standIn, auto* request) {
               standIn.respond(request, 500, "", {{"X-Rejected", "1"}});
           }));
    record("disconnected after the request",
           resultOf([](auto& standIn, auto* request) { standIn.disconnect(request); }));
    record("part of a body", resultOf([](auto& standIn, auto* request) {
               standIn.sendRaw(request, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
               standIn.disconnect(request);
           }));
    record("part of the headers", resultOf([](auto& standIn, auto* request) {
               standIn.sendRaw(request, "HTTP/1.1 200 OK\r\nContent-Le");
               standIn.disconnect(request);
           }));
    record("not HTTP",
           resultOf([](auto& standIn, auto* request) { standIn.sendRaw(request, "what?\r\n\r\n"); }));
    record("no response", resultOf([](auto&, auto*) {}, {}, 30 * kMs));
    {
        SidecarFixture fixture;
        const auto closedPort = freePort();
        Connection connection(fixture.loop, {"127.0.0.1", closedPort}, kMaxBodyBytes);
        std::optional<CallResponse> response;
        connection.call({}, 5000 * kMs, 0, [&](CallResponse received) { response = std::move(received); });
        fixture.runUntil([&] { return response.has_value(); });
        record("port without a listener",
               std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result)));
    }
    {
        SidecarFixture fixture;
        UnresponsiveListener unresponsive;
        Connection connection(fixture.loop, unresponsive.address, kMaxBodyBytes);
        std::optional<CallResponse> response;
        connection.call({}, 30 * kMs, 0, [&](CallResponse received) { response = std::move(received); });
        fixture.runUntil([&] { return response.has_value(); });
        record("connection not established",
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
        record("reset before the last byte was written",
               std::string(nameOf(response->result)) + ", " + outcomeName(outcomeOf(response->result)));
    }
    record("cancelled", std::string("-, ") + outcomeName(outcomeOf(CallResult::cancelled)));
    record("no descriptor", std::string("-, ") + outcomeName(outcomeOf(CallResult::noDescriptor)));
    matchesTrace("call-results", trace.str());
}

// evhttp's client accepts the end of the connection as the end of a body, and the first of two lengths, and
// takes what follows a 103 for the response to the next call. Clients would receive responses that no pod
// sent to them.
TEST_CASE("a response is complete and consistent, or it is malformed") {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 4\r\n\r\nbody";
    const std::pair<const char*, std::string> responses[] = {
        {"Content-Length", ok + body},
        {"chunks with an extension and a trailer",
         ok + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n"},
        {"1xx before the response",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + body},
        {"204 without Content-Length", "HTTP/1.1 204 No Content\r\n\r\n"},
        {"followed by a second copy", ok + body + ok + body},
        {"followed by noise", ok + body + "\x01\xfe noise"},
        {"malformed load report", ok + "X-Load-Report: inflight=-,,=\r\n" + body},
        {"two Content-Length headers", ok + "Content-Length: 4\r\n" + body},
        {"Content-Length and chunks", ok + "Transfer-Encoding: chunked\r\n" + body},
        {"no length, then the end of the connection", ok + "\r\nbody"},
        {"negative Content-Length", ok + "Content-Length: -4\r\n\r\nbody"},
        {"Content-Length that is not a number", ok + "Content-Length: four\r\n\r\nbody"},
        {"Content-Length of 3 GB", ok + "Content-Length: 3000000000\r\n\r\nbody"},
        {"chunk size that is not a number", ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"},
        {"chunk size of 3 GB", ok + "Transfer-Encoding: chunked\r\n\r\nB2D05E00\r\nbody"},
        {"chunk longer than its size", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n"},
        {"unsupported transfer coding", ok + "Transfer-Encoding: gzip\r\n\r\nbody"},
        {"header line without a colon", ok + "what\r\n" + body},
        {"control characters in a header", ok + "X-\x01: \x02\r\n" + body},
        {"no status code", "HTTP/1.1 OK\r\n" + body},
        {"unsupported protocol version", "HTTP/7.1 200 OK\r\n" + body},
        {"headers over the size limit", ok + "X-A: " + std::string(20000, 'a')},
        {"1xx headers over the size limit",
         ok.substr(0, 9) + "103 Early\r\nX-A: " + std::string(9000, 'a') +
             "\r\n\r\nHTTP/1.1 103 Early\r\nX-A: " + std::string(9000, 'a')}};
    std::stringstream trace;
    for (const auto& [label, bytes] : responses) {
        const auto handler = [&bytes = bytes](HttpStandIn& standIn, evhttp_request* request) {
            standIn.hold(request);
            standIn.sendRaw(request, bytes);
        };
        trace << label << ": " << resultOf(handler) << '\n';
    }
    matchesTrace("malformed-responses", trace.str());
}

// Guards against a fault seen with faulty pods that send a response twice: the next client received the
// second copy.
TEST_CASE("a connection with unexpected bytes on it is not reused") {
    SidecarFixture fixture;
    const std::string responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    bool extraWhileIdle = false;
    HttpStandIn pod(fixture.loop, [&](auto& standIn, auto* request) {
        standIn.hold(request);
        standIn.sendRaw(request, responseHead + (standIn.requestPaths.size() == 1
                                                     ? extraWhileIdle ? "one" : "one" + responseHead + "one"
                                                     : "two"));
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
    SUBCASE("after the response") { send(); }
    SUBCASE("while it is idle, whether or not the loop has read them") {
        extraWhileIdle = true;
        send();
        CHECK(host.idle.size() == 1);
        pod.sendRaw(pod.pending[0], responseHead + "one");
    }
    send();
    CHECK(bodies == "onetwo");
}
