#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

// Guards against a fault that was seen: SIGHUP for a reload ended the process.
TEST_CASE("a reload applies new addresses of discovery and platform; a request in flight continues") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1);
    auto response = fixture.sendRequest("certify");
    fixture.runUntil(
        [&] { return fixture.pods[0]->pending.size() == 1 && fixture.discovery->pending.size() == 1; });
    HttpStandIn registry(fixture.loop, [&](auto& standIn, auto* request) { standIn.hold(request); });
    HttpStandIn platform(fixture.loop, [&](auto& standIn, auto* request) { standIn.hold(request); });
    Config config;
    config.discovery = registry.address;
    config.platform = platform.address;
    fixture.sidecar->reload(config);
    fixture.sidecar->reload(config);  // twice in a row
    fixture.runUntil([&] { return !registry.pending.empty() && !platform.pending.empty(); });
    CHECK(registry.requestPaths.back() ==
          "/registry/instances");  // the complete list: revisions of another registry do not apply
    CHECK(platform.requestPaths.back() == paths::kRolloutWatch);
    fixture.runUntil([&] { return fixture.discovery->closed == 1 && fixture.platform->closed == 1; });
    fixture.pods[0]->respondToPending(200, "x");
    fixture.runUntil([&] { return response->has_value(); });
    CHECK((*response)->statusCode == 200);
}

TEST_CASE("a graceful shutdown: not ready, all requests answered, connections closed with their responses") {
    SidecarFixture fixture;
    fixture.podHandler = [](HttpStandIn& standIn, evhttp_request* request) { standIn.hold(request); };
    fixture.start(1);
    const auto ready = [&] {
        auto response = fixture.call({EVHTTP_REQ_GET, paths::kReady, {{"Host", "h"}}, {}});
        fixture.runUntil([&] { return response->has_value(); });
        return (*response)->statusCode;
    };
    CHECK(ready() == 200);
    RawClient open(fixture.sidecar->address());
    RawClient idle(fixture.sidecar->address());
    RawClient slow(fixture.sidecar->address());
    const std::string get =
        "GET /read HTTP/1.1\r\nHost: h\r\nX-Call-Class: read\r\nX-Budget: 20000m\r\nX-Call-Id: ";
    idle.write("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runUntil([&] { return idle.read().find("200 OK") != std::string::npos; });
    slow.write("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runUntil([&] { return slow.read().find("200 OK") != std::string::npos; });
    slow.write(get);  // a partial request when the shutdown begins
    open.write(get + "c-1\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.sidecar->stop();
    fixture.runUntil([&] { return idle.closed(); });
    CHECK(!slow.closed());
    slow.write("c-3\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 2; });
    CHECK(ready() == 503);
    RawClient newcomer(fixture.sidecar->address());
    RawClient late(fixture.sidecar->address());
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
    const auto afterDrainGrace = fixture.loop.now() + 700 * kMs;  // after the time for new connections
    fixture.runUntil([&] { return fixture.loop.now() > afterDrainGrace; });
    CHECK(!fixture.sidecar->loop().stopped());
    late.write("c-4\r\n\r\n");
    fixture.runUntil([&] { return fixture.pods[0]->pending.size() == 1; });
    fixture.pods[0]->respondToPending(200, std::string(kMaxBodyBytes, 'z'));
    fixture.runUntil([&] { return fixture.sidecar->loop().stopped(); });
    CHECK(late.read().ends_with("zzz"));
}
