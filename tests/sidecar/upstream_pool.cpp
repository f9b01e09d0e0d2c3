#include "sidecar/discovery_client.hpp"
#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

TEST_CASE(
    "connections to a pod are reused, the most recently used first, and closed when idle or at an old "
    "address") {
    SidecarFixture fixture;
    HttpStandIn pod(fixture.loop, [](auto& standIn, auto* request) { standIn.hold(request); });
    UpstreamPool pool(fixture.loop, 5000 * kMs, 60000 * kMs, 2);
    auto& host = pool.host("s-1");
    pool.setAddress(host, pod.address);
    int ended = 0;
    int noDescriptor = 0;
    const auto send = [&] {
        pool.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0, [&](CallResponse response) {
            ++ended;
            noDescriptor += response.result == CallResult::noDescriptor;
        });
    };
    send();
    send();
    send();
    fixture.runUntil([&] { return pod.pending.size() == 2 && ended == 1; });
    CHECK(noDescriptor == 1);
    const auto secondPort = HttpStandIn::portOf(pod.pending[1]);
    pod.respondToPending(200, "x");
    fixture.runUntil([&] { return ended == 3; });
    CHECK(host.idle.size() == 2);
    send();
    fixture.runUntil([&] { return pod.pending.size() == 1; });
    CHECK(pod.portOf(pod.pending[0]) == secondPort);
    pod.respondToPending(200, "x");
    fixture.runUntil([&] { return ended == 4; });
    SUBCASE("closed when the pod moves to another address") {
        HttpStandIn other(fixture.loop,
                          [](auto& standIn, auto* request) { standIn.respond(request, 200, "y"); });
        pool.setAddress(host, other.address);
        CHECK(pool.connections() == 0);
        send();
        fixture.runUntil([&] { return ended == 5; });
        CHECK(other.requestPaths.size() == 1);
    }
    SUBCASE("closed after a call on another connection got no response") {
        pool.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 10 * kMs,
                  [&](CallResponse) { ++ended; });
        fixture.runUntil([&] { return ended == 5; });
        CHECK(pool.connections() == 0);
    }
    SUBCASE("closed by the pod") {
        pod.closeAll();
        fixture.runUntil([&] { return pool.connections() == 0; });
    }
}

TEST_CASE("an idle connection is closed after half of the pod's idle time-out") {
    SidecarFixture fixture;
    HttpStandIn pod(fixture.loop, [](auto& standIn, auto* request) { standIn.respond(request, 200, "x"); });
    UpstreamPool pool(fixture.loop, 5000 * kMs, 60 * kMs, 2);
    auto& host = pool.host("s-1");
    pool.setAddress(host, pod.address);
    Nanos answered = 0;
    pool.send(host, {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
              [&](CallResponse) { answered = fixture.loop.now(); });
    CHECK(pool.connections() == 1);
    fixture.runUntil([&] { return answered > 0 && pool.connections() == 0; });
    CHECK(fixture.loop.now() - answered >= 30 * kMs);
    fixture.runUntil([&] { return pod.closed == 1; });
}

TEST_CASE(
    "a pod that is listed with another start time or build, or as removed, loses its idle connections") {
    SidecarFixture fixture;
    HttpStandIn registry(fixture.loop, [](auto& standIn, auto* request) { standIn.hold(request); });
    HttpStandIn pod(fixture.loop, [](auto& standIn, auto* request) { standIn.respond(request, 200, "x"); });
    UpstreamPool pool(fixture.loop, 5000 * kMs, 15000 * kMs, 10);
    const std::vector<std::string> zones = {"a"};
    std::map<int, Build> builds;
    DiscoveryClient discovery(fixture.loop, registry.address, 5000 * kMs,
                              limits::ReconnectBackoff(DiscoveryClient::kIdleTimeout, 1), zones, pool,
                              [&](bool, std::vector<EndpointUpdate> updates) {
                                  for (auto& update : updates) {  // as the policy does
                                      update.pod->startedAt = update.startedAt;
                                      update.pod->build = &(builds[update.build] = {update.build, {}});
                                  }
                              });
    const auto listing = [&](const char* phase, const char* since, const char* build) {
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
    for (const auto& [phase, since, build, expectedConnections] : listings) {
        discovery.start(listing(phase, since, build));
        CHECK(pool.connections() == expectedConnections);
        bool ended = false;
        pool.send(pool.host("s-1"), {EVHTTP_REQ_GET, "/read", {{"Host", "h"}}, {}}, 0,
                  [&](CallResponse) { ended = true; });
        fixture.runUntil([&] { return ended; });
    }
}
