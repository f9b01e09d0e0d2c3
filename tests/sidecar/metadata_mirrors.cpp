// Mirrors that fail, drain or lie, and a sidecar that is a mirror itself, while clients' requests go on.
#include "support/trust_fixture.hpp"

TEST_CASE(
    "mirrors that send noise, hang, reset or lie: another one gives the document, each fetch completes "
    "once") {
    std::stringstream trace;
    const auto play = [&](const char* what, const TrustFixture::Script& script) {
        TrustFixture fixture(2);
        fixture.trust->timeouts.response = 300 * kMs;
        int spoilt = -1;  // whichever is asked first
        for (int one = 0; one < 2; ++one)
            fixture.scripts[static_cast<std::size_t>(one)] = [&, one](auto& at, auto* call, auto& name) {
                if (spoilt < 0) spoilt = one;
                return one == spoilt && script(at, call, name);
            };
        fixture.start(1);
        fixture.sendRequests(5);
        // Until the faulty mirror has been asked, in some refresh, and the good one has responded.
        fixture.runUntil([&] { return fixture.counts().fetches.retries > 0; });
        fixture.runUntil([&] { return fixture.counts().refreshes > 1; });
        CHECK(fixture.sidecar->trust()->lastRefusal().empty());
        fixture.finishRequests();
        trace << what << ": accepted from the other\n";
    };
    const auto raw = [](auto& at, auto* call, const std::string& bytes) {
        at.sendRaw(call, bytes);
        return true;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    play("silence", [](auto& at, auto* call, auto&) { return at.hold(call), true; });
    play("noise", [&](auto& at, auto* call, auto&) { return raw(at, call, "\x01\x02 what"); });
    play("an endless answer", [&](auto& at, auto* call, auto& name) {
        if (name != "timestamp.json") return false;
        return raw(at, call, ok + "Content-Length: 3000000000\r\n\r\n" + std::string(40'000, ' '));
    });
    play("an endless answer in chunks", [&](auto& at, auto* call, auto& name) {
        if (name != "timestamp.json") return false;
        std::string chunks;
        for (int one = 0; one < 40; ++one) chunks += "400\r\n" + std::string(1024, ' ') + "\r\n";
        return raw(at, call, ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
    });
    play("a length too small", [&](auto& at, auto* call, auto& name) {
        if (name != "timestamp.json") return false;
        return raw(at, call, ok + "Content-Length: 20\r\n\r\n{\"signatures\": [],      ");
    });
    play("two lengths", [&](auto& at, auto* call, auto&) {
        return raw(at, call, ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ");
    });
    play("a redirection", [](auto& at, auto* call, auto&) { return at.respond(call, 302, ""), true; });
    play("a document of no one", [](auto& at, auto* call, auto& name) {
        if (name != "timestamp.json") return false;
        return at.respond(call, 200, "{\"signed\": {}, \"signatures\": []}"), true;
    });
    matchesTrace("metadata-mirrors", trace.str());
}

TEST_CASE("a response cut at any byte is never accepted as complete") {
    // Both framings that a mirror may use: a length, and the end of the connection.
    Repository repository(true, wall());
    const auto whole = repository.files.at("timestamp.json");
    std::vector<std::size_t> cuts{whole.size() - 1, whole.size()};
    for (std::size_t cut = 0; cut < whole.size() - 1; cut += 1 + cut / 40) cuts.push_back(cut);
    for (const bool byClose : {false, true}) {
        int accepted = 0;
        int refused = 0;
        for (const auto cut : cuts) {
            SidecarFixture fixture;
            sidecar::EventLoop loop;
            HttpStandIn mirror(loop, [&](auto& at, auto* call) {
                const auto head =
                    byClose
                        ? std::string("HTTP/1.0 200 OK\r\n\r\n")
                        : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n";
                at.sendRaw(call, head + whole.substr(0, cut));
                at.disconnect(call);
            });
            std::optional<sidecar::FetchResponse> back;
            sidecar::HttpFetch fetch(loop, {mirror.address, "/timestamp.json"}, 16'384, 5000 * kMs,
                                     20'000 * kMs,
                                     [&](sidecar::FetchResponse came) { back = std::move(came); });
            fixture.runUntil([&] {
                loop.runOnce();
                return back.has_value();
            });
            auto set = TrustedSet::start(repository.firstRoot(), wall());
            const bool good = back->result == sidecar::CallResult::succeeded && !set->timestamp(back->body);
            (good ? accepted : refused) += 1;
            // Without its last byte, a newline, the document is complete all the same.
            CHECK(good == (cut == whole.size() || (byClose && cut == whole.size() - 1)));
        }
        CHECK(accepted >= 1);
        CHECK(refused > 40);
    }
}

TEST_CASE("no new request goes to a mirror that drains, or asks for a backoff") {
    TrustFixture fixture(3);
    fixture.trust->metadata[1].draining = true;
    int alone = -1;  // whichever is asked first asks for a backoff
    for (const int one : {0, 2})
        fixture.scripts[static_cast<std::size_t>(one)] = [&alone, one](auto& at, auto* call, auto&) {
            if (alone < 0) alone = one;
            if (alone != one) return false;
            return at.respond(call, 503, "", {{"Retry-After", "600"}}), true;
        };
    fixture.start(1);
    while (fixture.counts().refreshes < 12) CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.mirrors[1]->requestPaths.empty());
    REQUIRE(alone >= 0);
    CHECK(fixture.mirrors[static_cast<std::size_t>(alone)]->requestPaths.size() == 1);
    const auto used = static_cast<std::size_t>(2 - alone);
    // The operator turns it round: the one in use drains.
    auto config = *fixture.trust;
    config.metadata[1].draining = false;
    config.metadata[used].draining = true;
    fixture.sidecar->reload(config);
    fixture.nextRefresh();
    const auto before = fixture.mirrors[used]->requestPaths.size();
    fixture.nextRefresh();
    fixture.nextRefresh();
    CHECK(fixture.mirrors[used]->requestPaths.size() == before);
    CHECK(!fixture.mirrors[1]->requestPaths.empty());
    fixture.sendRequests(3);
    fixture.finishRequests();
}

TEST_CASE("a reload during a fetch: the fetch ends first, then fewer mirrors are used") {
    TrustFixture fixture(3);
    for (auto& script : fixture.scripts)
        script = [](auto& at, auto* call, auto&) { return at.hold(call), true; };
    fixture.trust->timeouts.response = 5000 * kMs;
    fixture.start(1);
    const auto held = [&] {
        for (std::size_t one = 0; one < 3; ++one)
            if (!fixture.mirrors[one]->pending.empty()) return static_cast<int>(one);
        return -1;
    };
    fixture.runUntil([&] { return held() >= 0; });
    const auto asked = static_cast<std::size_t>(held());
    const auto kept = (asked + 1) % 3;
    const auto dropped = (asked + 2) % 3;
    auto config = *fixture.trust;
    config.metadata = {fixture.trust->metadata[kept]};
    config.targets = {fixture.trust->targets[kept]};
    fixture.sidecar->reload(config);
    for (auto& script : fixture.scripts) script = nullptr;
    fixture.mirrors[asked]->respondToPending(500, "");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.mirrors[asked]->requestPaths.size() == 1);
    CHECK(fixture.mirrors[dropped]->requestPaths.empty());
    CHECK(!fixture.mirrors[kept]->requestPaths.empty());
    fixture.sendRequests(3);
    fixture.finishRequests();
}

TEST_CASE("a sidecar serves complete sets that it has verified, within limits, beside requests") {
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
    // Many clients at once, beyond its connection limit, each with a full refresh; requests beside them.
    const auto base = sidecar::Url{mirror->address(), "/metadata"};
    int done = 0;
    int refused = 0;
    struct Other {
        explicit Other(const sidecar::Url& base) : bases{base} {}
        metadata::Mirrors mirrors{{"sidecar"}, 1};
        std::vector<sidecar::Url> bases;
        std::unique_ptr<sidecar::TrustStore> store = sidecar::TrustStore::inMemory();
        sidecar::FetchCounts counts;
        std::unique_ptr<sidecar::MetadataRefresh> refresh;
    };
    std::vector<std::unique_ptr<Other>> others;
    std::vector<std::unique_ptr<RawClient>> silent;
    for (int one = 0; one < 4; ++one) silent.push_back(std::make_unique<RawClient>(mirror->address()));
    for (int one = 0; one < 30; ++one) {
        auto& other = *others.emplace_back(std::make_unique<Other>(base));
        std::string said;
        auto set = other.store->start(fixture.repository.firstRoot(), wall(), said);
        REQUIRE(set);
        Update update(std::move(*set), *other.store);
        update.search("releases/7");
        other.refresh = std::make_unique<sidecar::MetadataRefresh>(
            fixture.loop, other.mirrors, other.bases, *other.store, std::move(update),
            metadata::FetchTimeouts{}, other.counts, nullptr, [&](sidecar::MetadataRefresh& over) {
                if (over.refusal()) ++refused;
                else if (over.update().found().at("releases/7")) ++done;
            });
        other.refresh->start();
        fixture.sendRequests(2);
    }
    fixture.runUntil([&] { return done + refused == 30; });
    // Those beyond the limit were rejected or disconnected, and got nothing partial.
    CHECK(done >= 8);
    for (const auto& other : others) CHECK(other->counts.requested == other->counts.completed);
    fixture.finishRequests();
    const auto seen = [&](const std::string& path, const char* method = "GET") {
        RawClient client(mirror->address());
        client.write(std::string(method) + " " + path + " HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n");
        fixture.runUntil([&] { return client.read().size() > 12; });
        return client.read().substr(9, 3);
    };
    CHECK(seen("/metadata/1.root.json") == "200");
    CHECK(seen("/metadata/2.root.json") == "404");
    CHECK(seen("/metadata/../root.json") == "404");
    CHECK(seen("/metadata/rel.json") == "404");
    CHECK(seen("/metadata/timestamp.json", "POST") == "405");
    CHECK(seen("/targets/releases/" + digest("sha256", fixture.repository.contents.at("releases/7")) +
               ".7") == "200");
    CHECK(seen("/health/ready") == "200");
    // It stops: new requests are turned away, with advice, and then it ends.
    fixture.sidecar->stop();
    RawClient late(mirror->address());
    late.write("GET /metadata/timestamp.json HTTP/1.1\r\nHost: m\r\n\r\n");
    fixture.runUntil([&] { return late.read().find("Retry-After") != std::string::npos; });
    CHECK(late.read().substr(9, 3) == "503");
}
