#include "sidecar/discovery_client.hpp"

#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

TEST_CASE(
    "the endpoint watch resumes from its revision, and requests the complete list after a malformed line") {
    SidecarFixture fixture;
    HttpStandIn registry(fixture.loop, [&](auto& standIn, auto* request) { standIn.hold(request); });
    UpstreamPool pool(fixture.loop, 5000 * kMs, 15000 * kMs, 10);
    const std::vector<std::string> zones = {"a", "b"};
    DiscoveryClient discovery(fixture.loop, registry.address, 5000 * kMs,
                              limits::ReconnectBackoff(DiscoveryClient::kIdleTimeout, 1), zones, pool,
                              [&](bool complete, std::vector<EndpointUpdate> updates) {
                                  fixture.trace << (complete ? "complete:" : "changes:");
                                  for (const auto& update : updates)
                                      fixture.trace << ' ' << static_cast<UpstreamHost*>(update.pod)->name
                                                    << " zone " << update.zone << " build " << update.build
                                                    << " state " << static_cast<int>(update.availability);
                                  fixture.trace << '\n';
                              });
    const auto entry = [](const char* id, const char* zone, const char* phase) {
        return std::string(R"({"id":")") + id + R"(","host_port":"127.0.0.1:9","locality":")" + zone +
               R"(","cell":3,"phase":")" + phase + R"(","up_since_ms":0,"image_id":41,"odd":[1]})";
    };
    discovery.start(
        parseEndpointList(R"({"revision":41,"complete":true,"members":[)" + entry("s-1", "a", "up") + "]}"));
    const auto acceptWatch = [&](std::size_t count) {
        fixture.runUntil([&] { return registry.requestPaths.size() == count; });
        fixture.trace << "requested: " << registry.requestPaths.back() << '\n';
        registry.beginStream(registry.pending.back());
    };
    acceptWatch(1);
    const auto change =
        R"({"revision":43,"complete":false,"members":[)" + entry("s-2", "b", "draining") + "]}\n";
    for (const char character : change) registry.sendChunk(registry.pending.back(), {&character, 1});
    fixture.runUntil([&] { return fixture.trace.str().find("s-2") != std::string::npos; });
    registry.closeAll();
    acceptWatch(2);
    registry.sendChunk(registry.pending.back(), "\n{\"revision\":44,\"members\":\"all\"}\n");
    fixture.runUntil([&] { return registry.requestPaths.size() == 3; });
    fixture.trace << "requested: " << registry.requestPaths.back() << '\n';
    registry.respond(registry.pending.back(), 200,
                     R"({"revision":50,"complete":true,"members":[)" + entry("s-2", "b", "up") + "]}");
    acceptWatch(4);
    // The body of an error response is not parsed as a line, and its Retry-After delays the next request.
    registry.closeAll();
    fixture.runUntil([&] { return registry.requestPaths.size() == 5; });
    const auto rejectedAt = fixture.loop.now();
    registry.respond(registry.pending.back(), 429, "{\"error\":\"BUSY\"}\n", {{"Retry-After", "0.3"}});
    acceptWatch(6);
    CHECK(fixture.loop.now() - rejectedAt >= 300 * kMs);
    matchesTrace("endpoint-list", fixture.trace.str());
    CHECK(pool.host("s-1").id == podId("s-1"));
}
