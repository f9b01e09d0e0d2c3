// The running sidecar with signed metadata switched on: stand-in mirrors that serve old, expired, mixed or
// spoilt sets, drain, hang or babble, while clients' hits go on.
#include <unistd.h>

#include <filesystem>

#include "sidecar/metadata_refresh.hpp"
#include "support/metadata_repository.hpp"
#include "support/sidecar_fixture.hpp"

using namespace stand_ins;

namespace {

UnixSeconds wall() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string folderNamed(const char* name) {
    const auto path = std::filesystem::temp_directory_path() /
                      ("lichenlanding-" + std::string(name) + "-" + std::to_string(getpid()));
    std::filesystem::remove_all(path);
    return path.string();
}

// A town whose sidecar asks stand-in mirrors. Each mirror serves `files` unless a script says otherwise.
struct TrustFixture : SidecarFixture {
    using Script =
        std::function<bool(HttpStandIn&, evhttp_request*, const std::string& name)>;  // true: it has answered

    explicit TrustFixture(int count = 1) : repository(true, wall()) {
        repository.target("targets", "releases/5", "five");
        repository.publish();
        files = repository.files;
        folder = folderNamed("trust");
        std::ofstream(folder + ".root") << repository.firstRoot();
        scripts.resize(static_cast<std::size_t>(count));
        trust.emplace();
        trust->root = folder + ".root";
        trust->builds = "releases/{build}";
        trust->rhythm = {100 * kMs, 50 * kMs, 200 * kMs};
        for (int one = 0; one < count; ++one) {
            mirrors.push_back(std::make_unique<HttpStandIn>(loop, [this, one](auto& at, auto* call) {
                const std::string uri = evhttp_request_get_uri(call);
                const auto name = uri.substr(uri.rfind('/') + 1);
                const auto& script = scripts[static_cast<std::size_t>(one)];
                if (script && script(at, call, name)) return;
                if (uri.compare(0, 9, "/targets/") == 0) {
                    for (const auto& [path, bytes] : repository.contents)
                        if (uri == "/targets/releases/" + digest("sha256", bytes) +
                                       path.substr(8).replace(0, 1, "."))
                            return at.respond(call, 200, bytes);
                    return at.respond(call, 404, "");
                }
                const auto file = files.find(name);
                if (file == files.end()) at.respond(call, 404, "");
                else at.respond(call, 200, file->second);
            }));
            const auto address = mirrors.back()->address;
            trust->metadata.push_back({{address, "/metadata"}, false});
            trust->targets.push_back({{address, "/targets"}, false});
        }
    }
    ~TrustFixture() {
        sidecar.reset();
        std::filesystem::remove_all(folder);
        std::filesystem::remove(folder + ".root");
    }
    Attestation attestationOf(int build) { return sidecar->trust()->builds().told(build); }
    const sidecar::TrustManager::Counts& counts() { return sidecar->trust()->counts(); }
    // Until another refresh is over; its refusal, or nothing.
    std::string nextRefresh() {
        const auto asked = counts().refreshes;
        runUntil(
            [&] { return counts().refreshes >= asked + 2; });  // the second one saw what was set before it
        return sidecar->trust()->lastRefusal();
    }
    // Hits go on meanwhile, few at once, so that none is bounced: each is answered once, with a pod's answer.
    void sendRequests(int count) {
        for (int one = 0; one < count; ++one) {
            responses.push_back(sendRequest("read"));
            runUntil([&] { return responses.size() < 2 || responses[responses.size() - 2]->has_value(); });
        }
    }
    void finishRequests() {
        runUntil([&] {
            return std::all_of(responses.begin(), responses.end(),
                               [](auto& one) { return one->has_value(); });
        });
        for (const auto& one : responses) CHECK((*one)->statusCode == 200);
        runUntil([&] { return sidecar->requestsInFlight() == 0; });
        CHECK(counts().fetches.requested - counts().fetches.completed <= 1);
    }

    Repository repository;
    std::map<std::string, std::string> files;  // what mirrors serve
    std::string folder;
    std::vector<Script> scripts;
    std::vector<std::unique_ptr<HttpStandIn>> mirrors;
    std::vector<PendingResponse> responses;
};

}  // namespace

TEST_CASE("rolled-back, expired and mixed sets are refused in service, and every hit is closed once") {
    TrustFixture fixture;
    fixture.trust->directory = fixture.folder;
    fixture.start(2);
    std::stringstream trace;
    const auto serve = [&](const char* what, const std::map<std::string, std::string>& files) {
        fixture.files = files;
        fixture.sendRequests(20);
        const auto said = fixture.nextRefresh();
        trace << what << ": " << (said.empty() ? "accepted" : masked(said.substr(0, said.find(": at "))))
              << '\n';
    };
    const auto old = fixture.repository.files;
    serve("first", old);
    fixture.repository.target("targets", "releases/6", "six");
    fixture.repository.publish();
    const auto now = fixture.repository.files;
    serve("second", now);
    serve("rolled back", old);
    auto files = now;
    Repository later = fixture.repository;
    later.target("targets", "releases/7", "seven");
    later.publish();
    files = later.files;
    files["4.snapshot.json"] = now.at("3.snapshot.json");
    serve("mixed", files);
    Repository expired = later;
    expired.timestampUntil = wall() - 10;
    expired.publish();
    serve("expired", expired.files);
    Repository stranger(true, wall());
    serve("another's", stranger.files);
    serve("nothing at all", {});
    serve("the good one again", later.files);
    fixture.finishRequests();
    CHECK(fixture.attempts == static_cast<int>(fixture.responses.size()));
    CHECK(fixture.counts().fetches.retries == 0);  // one mirror: nowhere to ask again
    matchesTrace("metadata-in-service", trace.str());
}

TEST_CASE("a timestamp runs out in a busy hour: builds lose their word, hits do not notice") {
    TrustFixture fixture;
    fixture.repository.timestampUntil = wall() + 3;
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    fixture.changeConfig = [](sidecar::Config& config) {
        config.endpoints->entries[0].build = 4;
        config.rollout = sidecar::RolloutUpdate{5, 0, RolloutState::testing, 0.5, 0};
    };
    fixture.start(2);
    fixture.runUntil([&] { return fixture.attestationOf(5) == Attestation::valid; });
    fixture.scripts[0] = [](auto& at, auto* call, auto&) { return at.respond(call, 500, ""), true; };
    while (wall() <= fixture.repository.timestampUntil + 1) {
        fixture.sendRequests(1);
        fixture.runUntil([&] { return fixture.responses.back()->has_value(); });
    }
    fixture.finishRequests();
    CHECK(fixture.attestationOf(5) == Attestation::none);
    CHECK(fixture.sidecar->trust()->lastRefusal() ==
          "root: unavailable: " + fixture.mirrors[0]->address.text() + ": error response 500");
    fixture.scripts[0] = nullptr;
    fixture.repository.timestampUntil = wall() + 3600;
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    CHECK(fixture.nextRefresh().empty());
}

TEST_CASE("a build whose metadata are withdrawn is voted back") {
    TrustFixture fixture;
    std::vector<std::string> votes;
    fixture.changeConfig = [](sidecar::Config& config) {
        config.settings.voteMode = VoteMode::single;
        config.rollout = sidecar::RolloutUpdate{5, 0, RolloutState::testing, 0.5, 0};
    };
    fixture.start(1);
    fixture.platform.reset();
    CHECK(fixture.nextRefresh().empty());
    HttpStandIn desk(fixture.loop, [&](auto& at, auto* call) {
        if (evhttp_request_get_command(call) != EVHTTP_REQ_POST) return at.hold(call);
        votes.push_back(HttpStandIn::bodyOf(call));
        at.respond(call, 409, "{\"error\":\"STALE\"}");
    });
    sidecar::Config moved;
    moved.discovery = fixture.discovery->address, moved.platform = desk.address;
    fixture.sidecar->reload(moved);
    CHECK(fixture.nextRefresh().empty());
    const auto before = votes.size();
    for (const auto& vote : votes) CHECK(vote.find("ROLLBACK") == std::string::npos);
    fixture.repository.target("targets", "releases/5", "five", {{"withdrawn", true}});
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    fixture.runUntil([&] { return votes.size() > before; });
    CHECK(votes.back().find("\"image\":5") != std::string::npos);
    CHECK(votes.back().find("ROLLBACK") != std::string::npos);
}

TEST_CASE("mirrors that babble, hang, cut or lie: another one gives the document, each is closed once") {
    std::stringstream trace;
    const auto play = [&](const char* what, const TrustFixture::Script& script) {
        TrustFixture fixture(2);
        fixture.trust->timeouts.within = 300 * kMs;
        int spoilt = -1;  // whichever is asked first
        for (int one = 0; one < 2; ++one)
            fixture.scripts[static_cast<std::size_t>(one)] = [&, one](auto& at, auto* call, auto& name) {
                if (spoilt < 0) spoilt = one;
                return one == spoilt && script(at, call, name);
            };
        fixture.start(1);
        fixture.sendRequests(5);
        // Until the spoilt mirror has been asked, in some refresh, and the good one has answered it.
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

TEST_CASE("an answer cut at every byte is never taken, and never taken for whole") {
    // Both framings that a mirror may use: a length, and the end of the connection.
    Repository repository(true, wall());
    const auto whole = repository.files.at("timestamp.json");
    std::vector<std::size_t> cuts{whole.size() - 1, whole.size()};
    for (std::size_t cut = 0; cut < whole.size() - 1; cut += 1 + cut / 40) cuts.push_back(cut);
    for (const bool byClose : {false, true}) {
        int accepted = 0, refused = 0;
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
            // Without its last byte, a newline, the document is whole all the same.
            CHECK(good == (cut == whole.size() || (byClose && cut == whole.size() - 1)));
        }
        CHECK(accepted >= 1);
        CHECK(refused > 40);
    }
}

TEST_CASE("nothing new goes to a mirror that drains, or asks to be left alone") {
    TrustFixture fixture(3);
    fixture.trust->metadata[1].draining = true;
    int alone = -1;  // whichever is asked first wants to be left alone
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
    config.metadata[1].draining = false, config.metadata[used].draining = true;
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

TEST_CASE("a new file while a document is out: it ends first, and then fewer mirrors are asked") {
    TrustFixture fixture(3);
    for (auto& script : fixture.scripts)
        script = [](auto& at, auto* call, auto&) { return at.hold(call), true; };
    fixture.trust->timeouts.within = 5000 * kMs;
    fixture.start(1);
    const auto held = [&] {
        for (std::size_t one = 0; one < 3; ++one)
            if (!fixture.mirrors[one]->pending.empty()) return static_cast<int>(one);
        return -1;
    };
    fixture.runUntil([&] { return held() >= 0; });
    const auto asked = static_cast<std::size_t>(held()), kept = (asked + 1) % 3, dropped = (asked + 2) % 3;
    auto config = *fixture.trust;
    config.metadata = {fixture.trust->metadata[kept]}, config.targets = {fixture.trust->targets[kept]};
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

TEST_CASE("a sidecar serves on what it has verified, whole sets, bounded, while it takes hits") {
    TrustFixture fixture;
    fixture.trust->serve = sidecar::Address{"127.0.0.1", 0};
    fixture.trust->serveConnections = 8, fixture.trust->serveBytes = 100'000;
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
    // Many clients at once, more than it has room for, each with a whole update; hits beside them.
    const auto base = sidecar::Url{mirror->address(), "/metadata"};
    int done = 0, refused = 0;
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
        update.lookFor("releases/7");
        other.refresh = std::make_unique<sidecar::MetadataRefresh>(
            fixture.loop, other.mirrors, other.bases, *other.store, std::move(update), metadata::Patience{},
            other.counts, nullptr, [&](sidecar::MetadataRefresh& over) {
                if (over.refusal()) ++refused;
                else if (over.update().found().at("releases/7")) ++done;
            });
        other.refresh->start();
        fixture.sendRequests(2);
    }
    fixture.runUntil([&] { return done + refused == 30; });
    // Those who found no room were told so or cut, and were given nothing half: the first try of each.
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

TEST_CASE(
    "without a folder that lasts trust starts from the shipped root, and from the kept one where it does") {
    TrustFixture fixture;
    fixture.trust->directory = "/dev/null/nowhere";
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    fixture.sidecar.reset();
    // In a folder: a restart takes up where it was, and an old mirror is found out.
    const auto old = fixture.files;
    fixture.trust->directory = fixture.folder;
    fixture.repository.target("targets", "releases/6", "six");
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    CHECK(!sidecar::TrustStore::open(fixture.folder));  // another process
    CHECK(sidecar::TrustStore::open(fixture.folder).refusal().reason == Reason::busy);
    fixture.sidecar.reset();
    fixture.files = old;
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().substr(0, 19) == "timestamp: rollback");
    fixture.sidecar.reset();
    // A spoilt root is replaced by the shipped one; the versions reached stay a floor.
    std::ofstream(fixture.folder + "/root.json") << "{";
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().substr(0, 19) == "timestamp: rollback");
}

TEST_CASE("a clock that was set back does not bring an expired set to life again") {
    TrustFixture fixture;
    fixture.trust->directory = fixture.folder;
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    fixture.sidecar.reset();
    // As if the last update had been accepted a day and a second later: the clock has been set back since.
    std::ofstream(fixture.folder + "/state/clock") << timeText(wall() + day + 1);
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().substr(0, 18) == "timestamp: expired");
    fixture.sidecar.reset();
    std::ofstream(fixture.folder + "/state/clock") << "no time";
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
}

TEST_CASE("a folder that fills up while it serves: refused, and the old trust in force") {
    TrustFixture fixture;
    fixture.trust->directory = fixture.folder;
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    // Something in the way of each new file, as a full disk would be; root may write anywhere else.
    std::filesystem::create_directory(fixture.folder + "/timestamp.json.new");
    std::filesystem::create_directory(fixture.folder + "/targets.json.new");
    fixture.repository.target("targets", "releases/6", "six");
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    const auto said = fixture.nextRefresh();
    CHECK(said.find("folder") != std::string::npos);
    std::ifstream kept(fixture.folder + "/timestamp.json");
    std::stringstream bytes;
    bytes << kept.rdbuf();
    CHECK((*readJson(bytes.str(), 65'536))["signed"]["version"] == 2);
    std::filesystem::remove(fixture.folder + "/timestamp.json.new");
    std::filesystem::remove(fixture.folder + "/targets.json.new");
    CHECK(fixture.nextRefresh().empty());
    fixture.sendRequests(3);
    fixture.finishRequests();
}

TEST_CASE("with a director a build needs both repositories' word") {
    TrustFixture fixture;
    Repository director(true, wall());
    std::map<std::string, std::string> directorFiles = director.files;
    HttpStandIn directorMirror(fixture.loop, [&](auto& at, auto* call) {
        const std::string uri = evhttp_request_get_uri(call);
        const auto file = directorFiles.find(uri.substr(uri.rfind('/') + 1));
        if (file == directorFiles.end()) at.respond(call, 404, "");
        else at.respond(call, 200, file->second);
    });
    std::ofstream(fixture.folder + ".director") << director.firstRoot();
    fixture.trust->director = sidecar::TrustConfig::Director{fixture.folder + ".director",
                                                             {{{directorMirror.address, "/"}, false}}};
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::none);  // the image repository alone
    const auto direct = [&](const std::string& image) {
        director.target("targets", "releases/5", image,
                        {{"ecuIdentifier", "pods"}, {"hardwareId", "m2"}, {"releaseCounter", 5}});
        director.publish();
        directorFiles = director.files;
    };
    direct("five");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::valid);
    // The director names another image under that path: neither is believed.
    direct("fife");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::none);
    direct("five");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::valid);
    // The image repository lists it no more, whatever the director says.
    removeTarget(fixture.repository.role("targets"), "releases/5");
    fixture.repository.redo("targets");
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::withdrawn);
    director.delegateTo("targets", "other", {"*"});
    director.publish();
    directorFiles = director.files;
    CHECK(fixture.nextRefresh() == "director director: wrong-shape: it delegates");
    std::filesystem::remove(fixture.folder + ".director");
}
