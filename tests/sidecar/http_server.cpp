#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

// After an ambiguous request, what follows on the connection may be a request that was hidden in its
// body.
TEST_CASE("an ambiguous or malformed request is rejected and its connection closed") {
    SidecarFixture fixture;
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: read\r\nX-Budget: 9000m\r\n";
    const std::string post =
        "POST /order HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: order\r\nX-Budget: 9000m\r\n"
        "Idempotency-Key: k\r\n";
    const std::string hiddenRequest = get + "\r\n";
    const std::pair<const char*, std::string> requests[] = {
        {"Content-Length and chunks",
         post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hiddenRequest},
        {"two Content-Length headers",
         post + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + hiddenRequest},
        {"negative Content-Length", post + "Content-Length: -5\r\n\r\nhello"},
        {"Content-Length with a sign", post + "Content-Length: +5\r\n\r\nhello"},
        {"Content-Length out of range", post + "Content-Length: 99999999999999999999\r\n\r\nhello"},
        {"Content-Length over the limit", post + "Content-Length: 60000000\r\n\r\nhello"},
        {"body longer than Content-Length", post + "Content-Length: 2\r\n\r\nhello"},
        {"unsupported transfer coding", post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"},
        {"GET with a body", get + "Content-Length: 5\r\n\r\n" + hiddenRequest},
        {"two X-Call-Id headers", get + "X-Call-Id: d\r\n\r\n"},
        {"space after a header name", get + "Transfer-Encoding : chunked\r\n\r\n"},
        {"control characters in a header value", get + "Idempotency-Key: \x01\x02\r\n\r\n"},
        {"headers over the size limit", get + "X-A: " + std::string(80000, 'a')},
        {"not HTTP", "\xfe\x01\x02\r\n\r\n"}};
    for (const auto& [label, bytes] : requests) {
        RawClient client(fixture.sidecar->address());
        client.write(bytes);
        fixture.runUntil([&] { return client.closed(); });
        fixture.trace << label << ": " << client.read().substr(0, client.read().find('\r')) << ", attempts "
                      << fixture.attempts << '\n';
    }
    matchesTrace("ambiguous-requests", fixture.trace.str());
}

// Guards against exhausted descriptors: clients that sent one request and stayed connected used them all up.
TEST_CASE("silent and idle clients are evicted for new ones, and requests time out") {
    SidecarFixture fixture;
    fixture.start(1, 72);  // limits for client connections: 18 (soft) and 36 (hard)
    std::vector<std::unique_ptr<RawClient>> clients;
    const auto connectClients = [&](const std::string& bytes) {
        clients.clear();
        for (int index = 0; index < 50; ++index) {
            clients.push_back(std::make_unique<RawClient>(fixture.sidecar->address()));
            if (!bytes.empty()) clients.back()->write(bytes);
            for (int pass = 0; pass < 3; ++pass) fixture.runOnce();
        }
        auto response = fixture.sendRequest("read");
        fixture.runUntil([&] { return response->has_value(); });
        CHECK((*response)->statusCode == 200);
    };
    SUBCASE("no request") { connectClients(""); }
    SUBCASE("one complete request") {
        connectClients("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto open = [&] {
            return std::count_if(clients.begin(), clients.end(),
                                 [](auto& client) { return !client->closed(); });
        };
        fixture.runUntil([&] { return open() <= 18; });
    }
    SUBCASE("part of a request") {
        clients.push_back(std::make_unique<RawClient>(fixture.sidecar->address()));
        clients.back()->write("GET /read HTTP/1.1\r\nHo");
        auto response = fixture.sendRequest("read");
        fixture.runUntil([&] { return response->has_value(); });
    }
    fixture.runUntil([&] {
        return std::all_of(clients.begin(), clients.end(), [](auto& client) {
            return client->closed() || client->read().starts_with("HTTP/1.1 200");
        });
    });
}

TEST_CASE("a malformed request and a pipelined one do not disturb other requests") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    RawClient malformed(fixture.sidecar->address());
    RawClient pipelining(fixture.sidecar->address());
    malformed.write("no HTTP at all\r\n\r\n");
    pipelining.write(get + "c-1\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    pipelining.write(get + "c-2\r\n\r\n");
    fixture.runUntil([&] { return malformed.closed(); });
    fixture.pods[0]->respondToPending(200, "one");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.pods[0]->respondToPending(200, "two");
    fixture.runUntil([&] { return pipelining.read().find("two") != std::string::npos; });
    CHECK(pipelining.read().find("one") < pipelining.read().find("two"));
}

TEST_CASE("at the limit of requests in flight new ones are rejected until one completes") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1, 1024, 2);
    std::vector<SidecarFixture::PendingResponse> responses;
    for (int index = 0; index < 3; ++index) responses.push_back(fixture.sendRequest("read"));
    const auto completed = [&] {
        return std::count_if(responses.begin(), responses.end(),
                             [](auto& response) { return response->has_value(); });
    };
    fixture.runUntil([&] { return completed() == 1; });
    for (auto& response : responses)
        if (*response) CHECK((*response)->statusCode == 503);
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 2; });
    fixture.pods[0]->respondToPending(200, "x");
    fixture.runUntil([&] { return completed() == 3 && fixture.sidecar->requestsInFlight() == 0; });
    auto next = fixture.sendRequest("read");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.pods[0]->respondToPending(200, "x");
    fixture.runUntil([&] { return next->has_value(); });
    CHECK((*next)->statusCode == 200);
}
