#include <sys/resource.h>

#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

TEST_CASE("a request gets attempts and one response, as its path group allows") {
    SidecarFixture fixture;
    fixture.podHandler = [&](HttpStandIn& standIn, evhttp_request* request) {
        const auto podBehavior = fixture.podBehavior;
        if (podBehavior == "fails once" && fixture.attempts > 1)
            return standIn.respond(request, 200, "after all");
        if (podBehavior == "fails once" || podBehavior == "fails") return standIn.respond(request, 500, "");
        if (podBehavior == "rejects") return standIn.respond(request, 503, "", {{"X-Rejected", "1"}});
        if (podBehavior == "is busy") return standIn.respond(request, 503, "");
        standIn.respond(request, 200, "register page", {{"Content-Type", "text/plain"}});
    };
    fixture.start(2);
    for (const char* group : {"read", "order", "certify"})
        for (const char* podBehavior : {"responds", "fails once", "rejects", "is busy"}) {
            fixture.podBehavior = podBehavior;
            fixture.attempts = 0;
            auto response = fixture.sendRequest(group);
            fixture.runUntil([&] { return response->has_value(); });
            fixture.trace << group << ", pods: " << podBehavior << ": " << fixture.attempts
                          << " attempts, response " << (*response)->statusCode << " "
                          << (*response)->contentType << " '" << (*response)->body << "'\n";
        }
    matchesTrace("request-handling", fixture.trace.str());
}

TEST_CASE("a pod receives the client's request with its remaining budget") {
    SidecarFixture fixture;
    std::string path;
    std::string id;
    std::string key;
    std::string host;
    std::string body;
    std::optional<Nanos> budget;
    fixture.podHandler = [&](HttpStandIn& standIn, evhttp_request* request) {
        const auto header = [&](const char* name) {
            const auto* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
            return std::string(value ? value : "-");
        };
        path = evhttp_request_get_uri(request);
        id = header("X-Call-Id");
        key = header("Idempotency-Key");
        host = header("Host");
        budget = parseBudget(header("X-Budget"));
        body = HttpStandIn::bodyOf(request);
        standIn.respond(request, 200, "done");
    };
    fixture.start(1);
    auto response = fixture.call({EVHTTP_REQ_POST,
                                  "/order?page=7&x=%20",
                                  {{"Host", "origin.svc"},
                                   {"X-Call-Id", "c-7"},
                                   {"X-Call-Class", "order"},
                                   {"X-Budget", "480m"},
                                   {"Idempotency-Key", "k-1"}},
                                  "extract 12"});
    fixture.runUntil([&] { return response->has_value(); });
    CHECK(path == "/order?page=7&x=%20");
    CHECK(id == "c-7");
    CHECK(key == "k-1");
    CHECK(host == "origin.svc");
    CHECK(body == "extract 12");
    REQUIRE(budget);
    CHECK(*budget <= 480 * kMs);
    CHECK(*budget >= 240 * kMs);
}

TEST_CASE("an invalid request is refused at once and never forwarded") {
    SidecarFixture fixture;
    fixture.start(1);
    using Headers = std::vector<HttpHeader>;
    const Headers validHeaders = {{"Host", "h"},
                                  {"X-Call-Id", "c"},
                                  {"X-Call-Class", "order"},
                                  {"X-Budget", "480m"},
                                  {"Idempotency-Key", "k"}};
    const auto without = [&](const char* name, const char* instead = nullptr) {
        Headers headers;
        for (const auto& header : validHeaders)
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
        {{EVHTTP_REQ_GET, "/order", validHeaders, ""}, 405},
        {{EVHTTP_REQ_DELETE, "/order", validHeaders, ""}, 405},
        {{EVHTTP_REQ_POST, "/order", validHeaders, "x"}, 200}};
    for (const auto& [request, code] : cases) {
        std::optional<CallResponse> response;
        Connection client(fixture.loop, fixture.sidecar->address(), kMaxBodyBytes);
        client.call(request, 5000 * kMs, 0, [&](CallResponse received) { response = std::move(received); });
        fixture.runUntil([&] { return response.has_value(); });
        CHECK(response->statusCode == code);
    }
    CHECK(fixture.attempts == 1);
    auto large = fixture.call({EVHTTP_REQ_POST, "/order", validHeaders, std::string(kMaxBodyBytes + 1, 'x')});
    fixture.runUntil([&] { return large->has_value(); });
    CHECK((*large)->statusCode / 100 != 2);
    CHECK(fixture.attempts == 1);
}

TEST_CASE("the id of a request in flight is refused until that has ended") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: c-1\r\n\r\n";
    for (int turn = 1; turn <= 2; ++turn) {
        RawClient first(fixture.sidecar->address());
        RawClient second(fixture.sidecar->address());
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

TEST_CASE("a client's disconnect reaches the policy while its attempt is in flight") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(2);
    for (const bool leaves : {false, true}) {
        auto client = std::make_unique<RawClient>(fixture.sidecar->address());
        client->write(
            "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: read\r\nX-Budget: "
            "20000m\r\n\r\n");
        const auto before = fixture.attempts;
        const auto pendingCount = [&] {
            return fixture.pods[0]->pending.size() + fixture.pods[1]->pending.size();
        };
        fixture.runUntil([&] { return pendingCount() == 1; });
        if (leaves) client->disconnect();
        if (leaves) fixture.runUntil([&] { return fixture.sidecar->clientDisconnects() == 1; });
        for (auto& pod : fixture.pods) pod->respondToPending(503, "", {{"X-Rejected", "1"}});
        // With a connected client the request is retried at the other pod; without one it ends.
        if (leaves) fixture.runUntil([&] { return fixture.sidecar->requestsInFlight() == 0; });
        else fixture.runUntil([&] { return pendingCount() == 1; });
        CHECK(fixture.attempts - before == (leaves ? 1 : 2));
        for (auto& pod : fixture.pods) pod->respondToPending(200, "x");
        fixture.runUntil([&] { return fixture.sidecar->requestsInFlight() == 0; });
    }
}

TEST_CASE("an attempt without a response times out with the client, which gets an error") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1);
    for (const char* group : {"certify", "read"}) {
        auto response = fixture.sendRequest(group, "60m");
        fixture.runUntil([&] { return response->has_value(); });
        CHECK((*response)->statusCode == 500);  // it may still be executed, so it is not rejected
    }
    fixture.runUntil([&] { return fixture.pods[0]->closed >= 1; });
}

TEST_CASE("without free descriptors requests are rejected or wait, and the process continues") {
    SidecarFixture fixture;
    fixture.start(2, 70);  // 70 descriptors: three connections to pods
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    std::vector<std::shared_ptr<std::optional<CallResponse>>> responses;
    for (int turn = 0; turn < 6; ++turn) responses.push_back(fixture.sendRequest("certify"));
    const auto responseCount = [&] {
        return std::count_if(responses.begin(), responses.end(),
                             [](auto& response) { return response->has_value(); });
    };
    fixture.runUntil([&] { return responseCount() >= 3; });
    for (auto& response : responses)
        if (*response) CHECK((*response)->statusCode == 503);  // it was never executed, so it is rejected
    for (auto& pod : fixture.pods) pod->respondToPending(200, "x");
    fixture.runUntil([&] { return responseCount() == 6; });
    // Then the process's descriptor table is full: for a while neither side can open a socket.
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) {
        standIn.respond(request, 200, "x");
    };
    for (auto& pod : fixture.pods) pod->closeAll();
    RawClient first(fixture.sidecar->address());
    RawClient second(fixture.sidecar->address());
    const int lowestFree = dup(first.descriptor());
    close(lowestFree);
    const auto full = rlimit{static_cast<rlim_t>(lowestFree), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &full);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    first.write(get + "c-8\r\n\r\n");
    for (int turn = 0; turn < 200; ++turn) fixture.runOnce();
    CHECK(first.read().empty());  // not accepted; the listener is paused
    setrlimit(RLIMIT_NOFILE, &before);
    second.write(get + "c-9\r\n\r\n");
    fixture.runUntil([&] { return second.read().find("200 OK") != std::string::npos; });
    fixture.runUntil([&] { return !first.read().empty(); });
}
