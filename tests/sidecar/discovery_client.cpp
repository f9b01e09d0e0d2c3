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
                              [&](bool whole, std::vector<EndpointUpdate> lines) {
                                  fixture.trace << (whole ? "whole:" : "changes:");
                                  for (const auto& line : lines)
                                      fixture.trace << ' ' << static_cast<UpstreamHost*>(line.pod)->name
                                                    << " zone " << line.zone << " build " << line.build
                                                    << " state " << static_cast<int>(line.availability);
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
    // The body of an error response is no line, and its Retry-After is kept.
    registry.closeAll();
    fixture.runUntil([&] { return registry.requestPaths.size() == 5; });
    const auto refused = fixture.loop.now();
    registry.respond(registry.pending.back(), 429, "{\"error\":\"BUSY\"}\n", {{"Retry-After", "0.3"}});
    opened(6);
    CHECK(fixture.loop.now() - refused >= 300 * kMs);
    matchesTrace("endpoint-list", fixture.trace.str());
    CHECK(pool.host("s-1").id == podId("s-1"));
}
