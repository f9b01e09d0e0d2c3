#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

// Seen with faulty clients: what follows on such a connection may be a request that the body hid.
TEST_CASE("an ambiguous or unreadable request is refused and its connection ends") {
    SidecarFixture fixture;
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: read\r\nX-Budget: 9000m\r\n";
    const std::string post =
        "POST /order HTTP/1.1\r\nHost: h\r\nX-Call-Id: c\r\nX-Call-Class: order\r\nX-Budget: 9000m\r\n"
        "Idempotency-Key: k\r\n";
    const std::string hidden = get + "\r\n";
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
    matchesTrace("ambiguous-requests", fixture.trace.str());
}

// Seen with many short-lived clients: those that sent one request and stayed took all descriptors.
TEST_CASE("silent and idle clients are evicted for new ones, and requests time out") {
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
        auto response = fixture.sendRequest("read");
        fixture.runUntil([&] { return response->has_value(); });
        CHECK((*response)->statusCode == 200);
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
        auto response = fixture.sendRequest("read");
        fixture.runUntil([&] { return response->has_value(); });
    }
    fixture.runUntil([&] {
        return std::all_of(others.begin(), others.end(), [](auto& one) {
            return one->closed() || one->read().starts_with("HTTP/1.1 200");
        });
    });
}

TEST_CASE("malformed HTTP and a client that does not wait for its response do no harm") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1);
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    RawClient broken(fixture.sidecar->address());
    RawClient hasty(fixture.sidecar->address());
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

TEST_CASE("at the limit of requests in flight new ones are shed until one ends") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
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
