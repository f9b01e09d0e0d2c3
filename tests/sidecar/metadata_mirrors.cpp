// Mirrors that fail, drain or send wrong data, and a sidecar that is a mirror itself, while clients' requests
// continue.
#include "support/trust_fixture.hpp"

TEST_CASE(
    "after a malformed, missing or wrong response of a mirror another one supplies the document, and each "
    "fetch completes once") {
    std::stringstream trace;
    const auto checkFault = [&](const char* what, const TrustFixture::Script& script) {
        TrustFixture fixture(2);
        fixture.trust->timeouts.response = 300 * kMs;
        int faultyMirror = -1;  // the mirror that gets the first request
        for (int index = 0; index < 2; ++index)
            fixture.scripts[static_cast<std::size_t>(index)] = [&, index](auto& server, auto* request,
                                                                          auto& name) {
                if (faultyMirror < 0) faultyMirror = index;
                return index == faultyMirror && script(server, request, name);
            };
        fixture.start(1);
        fixture.sendRequests(5);
        // Until a refresh has requested from the faulty mirror and the good one has responded.
        fixture.runUntil([&] { return fixture.counts().fetches.retries > 0; });
        fixture.runUntil([&] { return fixture.counts().refreshes > 1; });
        CHECK(fixture.sidecar->trust()->lastRefusal().empty());
        fixture.finishRequests();
        trace << what << ": accepted from the other mirror\n";
    };
    const auto raw = [](auto& server, auto* request, const std::string& bytes) {
        server.sendRaw(request, bytes);
        return true;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    checkFault("silence", [](auto& server, auto* request, auto&) { return server.hold(request), true; });
    checkFault("noise",
               [&](auto& server, auto* request, auto&) { return raw(server, request, "\x01\x02 what"); });
    checkFault("an endless response", [&](auto& server, auto* request, auto& name) {
        if (name != "timestamp.json") return false;
        return raw(server, request, ok + "Content-Length: 3000000000\r\n\r\n" + std::string(40'000, ' '));
    });
    checkFault("an endless response in chunks", [&](auto& server, auto* request, auto& name) {
        if (name != "timestamp.json") return false;
        std::string chunks;
        for (int index = 0; index < 40; ++index) chunks += "400\r\n" + std::string(1024, ' ') + "\r\n";
        return raw(server, request, ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
    });
    checkFault("too small a length", [&](auto& server, auto* request, auto& name) {
        if (name != "timestamp.json") return false;
        return raw(server, request, ok + "Content-Length: 20\r\n\r\n{\"signatures\": [],      ");
    });
    checkFault("two lengths", [&](auto& server, auto* request, auto&) {
        return raw(server, request, ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ");
    });
    checkFault("a redirection",
               [](auto& server, auto* request, auto&) { return server.respond(request, 302, ""), true; });
    checkFault("an unsigned document", [](auto& server, auto* request, auto& name) {
        if (name != "timestamp.json") return false;
        return server.respond(request, 200, "{\"signed\": {}, \"signatures\": []}"), true;
    });
    matchesTrace("metadata-mirrors", trace.str());
}

TEST_CASE("a response cut at any byte is never accepted as complete") {
    // Both framings that a mirror may use: a length, and the end of the connection.
    Repository repository(true, wallClockSeconds());
    const auto whole = repository.files.at("timestamp.json");
    std::vector<std::size_t> cuts{whole.size() - 1, whole.size()};
    for (std::size_t cut = 0; cut < whole.size() - 1; cut += 1 + cut / 40) cuts.push_back(cut);
    for (const bool byClose : {false, true}) {
        int accepted = 0;
        int refused = 0;
        for (const auto cut : cuts) {
            SidecarFixture fixture;
            sidecar::EventLoop loop;
            HttpStandIn mirror(loop, [&](auto& server, auto* request) {
                const auto head =
                    byClose
                        ? std::string("HTTP/1.0 200 OK\r\n\r\n")
                        : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n";
                server.sendRaw(request, head + whole.substr(0, cut));
                server.disconnect(request);
            });
            std::optional<sidecar::FetchResponse> response;
            sidecar::HttpFetch fetch(
                loop, {mirror.address, "/timestamp.json"}, 16'384, 5000 * kMs, 20'000 * kMs,
                [&](sidecar::FetchResponse received) { response = std::move(received); });
            fixture.runUntil([&] {
                loop.runOnce();
                return response.has_value();
            });
            auto set = TrustedSet::start(repository.firstRoot(), wallClockSeconds());
            const bool good =
                response->result == sidecar::CallResult::succeeded && !set->timestamp(response->body);
            (good ? accepted : refused) += 1;
            // Without its last byte, a newline, the document is complete all the same.
            CHECK(good == (cut == whole.size() || (byClose && cut == whole.size() - 1)));
        }
        CHECK(accepted >= 1);
        CHECK(refused > 40);
    }
}

TEST_CASE("no new request is sent to a mirror that drains or has responded with Retry-After") {
    TrustFixture fixture(3);
    fixture.trust->metadata[1].draining = true;
    int backingOff = -1;  // the mirror that gets the first request responds with Retry-After
    for (const int index : {0, 2})
        fixture.scripts[static_cast<std::size_t>(index)] = [&backingOff, index](auto& server, auto* request,
                                                                                auto&) {
            if (backingOff < 0) backingOff = index;
            if (backingOff != index) return false;
            return server.respond(request, 503, "", {{"Retry-After", "600"}}), true;
        };
    fixture.start(1);
    while (fixture.counts().refreshes < 12) CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.mirrors[1]->requestPaths.empty());
    REQUIRE(backingOff >= 0);
    CHECK(fixture.mirrors[static_cast<std::size_t>(backingOff)]->requestPaths.size() == 1);
    const auto inUse = static_cast<std::size_t>(2 - backingOff);
    // The operator swaps the marks: now the mirror in use drains.
    auto config = *fixture.trust;
    config.metadata[1].draining = false;
    config.metadata[inUse].draining = true;
    fixture.sidecar->reload(config);
    fixture.nextRefresh();
    const auto before = fixture.mirrors[inUse]->requestPaths.size();
    fixture.nextRefresh();
    fixture.nextRefresh();
    CHECK(fixture.mirrors[inUse]->requestPaths.size() == before);
    CHECK(!fixture.mirrors[1]->requestPaths.empty());
    fixture.sendRequests(3);
    fixture.finishRequests();
}

TEST_CASE("a reload during a fetch: the fetch ends first, then fewer mirrors are used") {
    TrustFixture fixture(3);
    for (auto& script : fixture.scripts)
        script = [](auto& server, auto* request, auto&) { return server.hold(request), true; };
    fixture.trust->timeouts.response = 5000 * kMs;
    fixture.start(1);
    const auto pendingMirror = [&] {
        for (std::size_t index = 0; index < 3; ++index)
            if (!fixture.mirrors[index]->pending.empty()) return static_cast<int>(index);
        return -1;
    };
    fixture.runUntil([&] { return pendingMirror() >= 0; });
    const auto firstRequested = static_cast<std::size_t>(pendingMirror());
    const auto kept = (firstRequested + 1) % 3;
    const auto dropped = (firstRequested + 2) % 3;
    auto config = *fixture.trust;
    config.metadata = {fixture.trust->metadata[kept]};
    config.targets = {fixture.trust->targets[kept]};
    fixture.sidecar->reload(config);
    for (auto& script : fixture.scripts) script = nullptr;
    fixture.mirrors[firstRequested]->respondToPending(500, "");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.mirrors[firstRequested]->requestPaths.size() == 1);
    CHECK(fixture.mirrors[dropped]->requestPaths.empty());
    CHECK(!fixture.mirrors[kept]->requestPaths.empty());
    fixture.sendRequests(3);
    fixture.finishRequests();
}

TEST_CASE(
    "a sidecar serves the complete sets that it has verified, within its limits, while requests continue") {
    TrustFixture fixture;
    fixture.trust->serveAddress = sidecar::Address{"127.0.0.1", 0};
    fixture.trust->maxServeConnections = 8;
    fixture.trust->serveCacheBytes = 100'000;
    for (int build = 6; build < 12; ++build)
        fixture.repository.target("targets", "releases/" + std::to_string(build),
                                  std::string(20'000, static_cast<char>('a' + build)));
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    fixture.changeConfig = [](sidecar::Config& config) {
        config.endpoints->entries.push_back({"s-x", "127.0.0.1:1", "a", 7});
        config.endpoints->entries.push_back({"s-y", "127.0.0.1:1", "a", 8});
    };
    fixture.start(2);
    const auto* mirror = fixture.sidecar->trust()->mirror();
    fixture.runUntil([&] { return mirror->cachedBytes() > 40'000; });
    CHECK(mirror->cachedBytes() <= 100'000);
    // Many clients at once, beyond the connection limit, each with a full refresh, while requests continue.
    const auto base = sidecar::Url{mirror->address(), "/metadata"};
    int done = 0;
    int refused = 0;
    struct MirrorClient {
        explicit MirrorClient(const sidecar::Url& base) : bases{base} {}
        metadata::Mirrors mirrors{{"sidecar"}, 1};
        std::vector<sidecar::Url> bases;
        std::unique_ptr<sidecar::TrustStore> store = sidecar::TrustStore::inMemory();
        sidecar::FetchCounts counts;
        std::unique_ptr<sidecar::MetadataRefresh> refresh;
    };
    std::vector<std::unique_ptr<MirrorClient>> mirrorClients;
    std::vector<std::unique_ptr<RawClient>> silent;
    for (int index = 0; index < 4; ++index) silent.push_back(std::make_unique<RawClient>(mirror->address()));
    for (int index = 0; index < 30; ++index) {
        auto& mirrorClient = *mirrorClients.emplace_back(std::make_unique<MirrorClient>(base));
        std::string rootChoice;
        auto set = mirrorClient.store->start(fixture.repository.firstRoot(), wallClockSeconds(), rootChoice);
        REQUIRE(set);
        Update update(std::move(*set), *mirrorClient.store);
        update.search("releases/7");
        mirrorClient.refresh = std::make_unique<sidecar::MetadataRefresh>(
            fixture.loop, mirrorClient.mirrors, mirrorClient.bases, *mirrorClient.store, std::move(update),
            metadata::FetchTimeouts{}, mirrorClient.counts, nullptr, [&](sidecar::MetadataRefresh& finished) {
                if (finished.refusal()) ++refused;
                else if (finished.update().found().at("releases/7")) ++done;
            });
        mirrorClient.refresh->start();
        fixture.sendRequests(2);
    }
    fixture.runUntil([&] { return done + refused == 30; });
    // Clients beyond the limit were rejected or disconnected, and none got an incomplete set.
    CHECK(done >= 8);
    for (const auto& mirrorClient : mirrorClients)
        CHECK(mirrorClient->counts.requested == mirrorClient->counts.completed);
    fixture.finishRequests();
    const auto statusOf = [&](const std::string& path, const char* method = "GET") {
        RawClient client(mirror->address());
        client.write(std::string(method) + " " + path + " HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n");
        fixture.runUntil([&] { return client.read().size() > 12; });
        return client.read().substr(9, 3);
    };
    CHECK(statusOf("/metadata/1.root.json") == "200");
    CHECK(statusOf("/metadata/2.root.json") == "404");
    CHECK(statusOf("/metadata/../root.json") == "404");
    CHECK(statusOf("/metadata/rel.json") == "404");
    CHECK(statusOf("/metadata/timestamp.json", "POST") == "405");
    CHECK(statusOf("/targets/releases/" + digest("sha256", fixture.repository.contents.at("releases/7")) +
                   ".7") == "200");
    CHECK(statusOf("/health/ready") == "200");
    // During the shutdown new requests are rejected, with Retry-After.
    fixture.sidecar->stop();
    RawClient late(mirror->address());
    late.write("GET /metadata/timestamp.json HTTP/1.1\r\nHost: m\r\n\r\n");
    fixture.runUntil([&] { return late.read().find("Retry-After") != std::string::npos; });
    CHECK(late.read().substr(9, 3) == "503");
}
