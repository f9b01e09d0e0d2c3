// Signed metadata of a running sidecar: mirrors serve old, expired or mixed sets, or the disk fails, while
// clients' requests continue.
#include "support/trust_fixture.hpp"

TEST_CASE("rolled-back, expired and mixed sets are refused while every request is answered once") {
    TrustFixture fixture;
    fixture.trust->directory = fixture.directory;
    fixture.start(2);
    std::stringstream trace;
    const auto serveAndRefresh = [&](const char* what, const std::map<std::string, std::string>& files) {
        fixture.files = files;
        fixture.sendRequests(20);
        const auto refusal = fixture.nextRefresh();
        trace << what << ": "
              << (refusal.empty() ? "accepted" : masked(refusal.substr(0, refusal.find(": at ")))) << '\n';
    };
    const auto firstFiles = fixture.repository.files;
    serveAndRefresh("first", firstFiles);
    fixture.repository.target("targets", "releases/6", "six");
    fixture.repository.publish();
    const auto secondFiles = fixture.repository.files;
    serveAndRefresh("second", secondFiles);
    serveAndRefresh("rolled back", firstFiles);
    auto mixedFiles = secondFiles;
    Repository later = fixture.repository;
    later.target("targets", "releases/7", "seven");
    later.publish();
    mixedFiles = later.files;
    mixedFiles["4.snapshot.json"] = secondFiles.at("3.snapshot.json");
    serveAndRefresh("mixed", mixedFiles);
    Repository expired = later;
    expired.timestampUntil = wallClockSeconds() - 10;
    expired.publish();
    serveAndRefresh("expired", expired.files);
    Repository otherRepository(true, wallClockSeconds());
    serveAndRefresh("another repository's", otherRepository.files);
    serveAndRefresh("no files", {});
    serveAndRefresh("the latest valid set again", later.files);
    fixture.finishRequests();
    CHECK(fixture.attempts == static_cast<int>(fixture.responses.size()));
    CHECK(fixture.counts().fetches.retries == 0);  // there is no second mirror to retry at
    matchesTrace("metadata-in-service", trace.str());
}

TEST_CASE("when the timestamp expires under load, builds lose their attestation and requests continue") {
    TrustFixture fixture;
    fixture.repository.timestampUntil = wallClockSeconds() + 3;
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    fixture.changeConfig = [](sidecar::Config& config) {
        config.endpoints->entries[0].build = 4;
        config.rollout = sidecar::RolloutUpdate{5, 0, RolloutState::testing, 0.5, 0};
    };
    fixture.start(2);
    fixture.runUntil([&] { return fixture.attestationOf(5) == Attestation::valid; });
    fixture.scripts[0] = [](auto& server, auto* request, auto&) {
        return server.respond(request, 500, ""), true;
    };
    while (wallClockSeconds() <= fixture.repository.timestampUntil + 1) {
        fixture.sendRequests(1);
        fixture.runUntil([&] { return fixture.responses.back()->has_value(); });
    }
    fixture.finishRequests();
    CHECK(fixture.attestationOf(5) == Attestation::none);
    CHECK(fixture.sidecar->trust()->lastRefusal() ==
          "root: unavailable: " + fixture.mirrors[0]->address.text() + ": error response 500");
    fixture.scripts[0] = nullptr;
    fixture.repository.timestampUntil = wallClockSeconds() + 3600;
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    CHECK(fixture.nextRefresh().empty());
}

TEST_CASE("the sidecar votes to roll back a build whose metadata are withdrawn") {
    TrustFixture fixture;
    std::vector<std::string> votes;
    fixture.changeConfig = [](sidecar::Config& config) {
        config.settings.voteMode = VoteMode::single;
        config.rollout = sidecar::RolloutUpdate{5, 0, RolloutState::testing, 0.5, 0};
    };
    fixture.start(1);
    fixture.platform.reset();
    CHECK(fixture.nextRefresh().empty());
    HttpStandIn newPlatform(fixture.loop, [&](auto& server, auto* request) {
        if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) return server.hold(request);
        votes.push_back(HttpStandIn::bodyOf(request));
        server.respond(request, 409, "{\"error\":\"STALE\"}");
    });
    sidecar::Config newConfig;
    newConfig.discovery = fixture.discovery->address;
    newConfig.platform = newPlatform.address;
    fixture.sidecar->reload(newConfig);
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

TEST_CASE("without a durable directory trust starts from the shipped root, else from the stored one") {
    TrustFixture fixture;
    fixture.trust->directory = "/dev/null/nowhere";
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    fixture.sidecar.reset();
    // With a directory a restart continues from the stored versions, and detects an old mirror.
    const auto firstFiles = fixture.files;
    fixture.trust->directory = fixture.directory;
    fixture.repository.target("targets", "releases/6", "six");
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    CHECK(!sidecar::TrustStore::open(fixture.directory));  // as another process would be refused
    CHECK(sidecar::TrustStore::open(fixture.directory).refusal().reason == Reason::busy);
    fixture.sidecar.reset();
    fixture.files = firstFiles;
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().substr(0, 19) == "timestamp: rollback");
    fixture.sidecar.reset();
    // A corrupt root is replaced by the shipped one; the stored versions remain the minimum.
    std::ofstream(fixture.directory + "/root.json") << "{";
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().substr(0, 19) == "timestamp: rollback");
}

TEST_CASE("a clock that was set back does not make an expired set valid again") {
    TrustFixture fixture;
    fixture.trust->directory = fixture.directory;
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    fixture.sidecar.reset();
    // As if the last update had been accepted a day and a second later and the clock set back since.
    std::ofstream(fixture.directory + "/state/clock") << formatTime(wallClockSeconds() + kDay + 1);
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().substr(0, 18) == "timestamp: expired");
    fixture.sidecar.reset();
    std::ofstream(fixture.directory + "/state/clock") << "no time";
    fixture.pods.clear();
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
}

TEST_CASE("with a full disk the refresh is refused and the previous metadata stay trusted") {
    TrustFixture fixture;
    fixture.trust->directory = fixture.directory;
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    // Directories in the place of the new files stand for a full disk: removing write permission would not
    // stop a test that runs as root.
    std::filesystem::create_directory(fixture.directory + "/timestamp.json.new");
    std::filesystem::create_directory(fixture.directory + "/targets.json.new");
    fixture.repository.target("targets", "releases/6", "six");
    fixture.repository.publish();
    fixture.files = fixture.repository.files;
    const auto refusal = fixture.nextRefresh();
    CHECK(refusal.find("folder") != std::string::npos);
    std::ifstream storedTimestamp(fixture.directory + "/timestamp.json");
    std::stringstream bytes;
    bytes << storedTimestamp.rdbuf();
    CHECK((*parseJson(bytes.str(), 65'536))["signed"]["version"] == 2);
    std::filesystem::remove(fixture.directory + "/timestamp.json.new");
    std::filesystem::remove(fixture.directory + "/targets.json.new");
    CHECK(fixture.nextRefresh().empty());
    fixture.sendRequests(3);
    fixture.finishRequests();
}

TEST_CASE("with a director a build needs the attestation of both repositories") {
    TrustFixture fixture;
    Repository director(true, wallClockSeconds());
    std::map<std::string, std::string> directorFiles = director.files;
    HttpStandIn directorMirror(fixture.loop, [&](auto& server, auto* request) {
        const std::string uri = evhttp_request_get_uri(request);
        const auto file = directorFiles.find(uri.substr(uri.rfind('/') + 1));
        if (file == directorFiles.end()) server.respond(request, 404, "");
        else server.respond(request, 200, file->second);
    });
    std::ofstream(fixture.directory + ".director") << director.firstRoot();
    fixture.trust->director = sidecar::TrustConfig::Director{fixture.directory + ".director",
                                                             {{{directorMirror.address, "/"}, false}}};
    fixture.start(1);
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::none);  // listed by the image repository only
    const auto publishDirective = [&](const std::string& image) {
        director.target("targets", "releases/5", image,
                        {{"ecuIdentifier", "pods"}, {"hardwareId", "m2"}, {"releaseCounter", 5}});
        director.publish();
        directorFiles = director.files;
    };
    publishDirective("five");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::valid);
    // The director lists another image under that path: the build is not attested.
    publishDirective("fife");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::none);
    publishDirective("five");
    CHECK(fixture.nextRefresh().empty());
    CHECK(fixture.attestationOf(5) == Attestation::valid);
    // The image repository no longer lists it, although the director does.
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
    std::filesystem::remove(fixture.directory + ".director");
}
