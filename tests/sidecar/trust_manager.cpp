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
struct TrustTown : Town {
    using Script =
        std::function<bool(StandIn&, evhttp_request*, const std::string& name)>;  // true: it has answered

    explicit TrustTown(int count = 1) : repository(true, wall()) {
        repository.target("targets", "releases/5", "five");
        repository.publish();
        files = repository.files;
        folder = folderNamed("trust");
        std::ofstream(folder + ".root") << repository.firstRoot();
        scripts.resize(static_cast<std::size_t>(count));
        trust.emplace();
        trust->root = folder + ".root";
        trust->builds = "releases/{build}";
        trust->rhythm = {100 * ms, 50 * ms, 200 * ms};
        for (int one = 0; one < count; ++one) {
            mirrors.push_back(std::make_unique<StandIn>(loop, [this, one](auto& at, auto* call) {
                const std::string uri = evhttp_request_get_uri(call);
                const auto name = uri.substr(uri.rfind('/') + 1);
                const auto& script = scripts[static_cast<std::size_t>(one)];
                if (script && script(at, call, name)) return;
                if (uri.compare(0, 9, "/targets/") == 0) {
                    for (const auto& [path, bytes] : repository.contents)
                        if (uri == "/targets/releases/" + digest("sha256", bytes) +
                                       path.substr(8).replace(0, 1, "."))
                            return at.answer(call, 200, bytes);
                    return at.answer(call, 404, "");
                }
                const auto file = files.find(name);
                if (file == files.end()) at.answer(call, 404, "");
                else at.answer(call, 200, file->second);
            }));
            const auto address = mirrors.back()->address;
            trust->metadata.push_back({{address, "/metadata"}, false});
            trust->targets.push_back({{address, "/targets"}, false});
        }
    }
    ~TrustTown() {
        sidecar.reset();
        std::filesystem::remove_all(folder);
        std::filesystem::remove(folder + ".root");
    }
    Attestation word(int build) { return sidecar->trust()->builds().told(build); }
    const net::Trust::Counts& counts() { return sidecar->trust()->counts(); }
    // Until another refresh is over; its refusal, or nothing.
    std::string nextRefresh() {
        const auto asked = counts().refreshes;
        until([&] { return counts().refreshes >= asked + 2; });  // the second one saw what was set before it
        return sidecar->trust()->lastRefusal();
    }
    // Hits go on meanwhile, few at once, so that none is bounced: each is answered once, with a pod's answer.
    void hits(int count) {
        for (int one = 0; one < count; ++one) {
            answers.push_back(ask("read"));
            until([&] { return answers.size() < 2 || answers[answers.size() - 2]->has_value(); });
        }
    }
    void allAnswered() {
        until([&] {
            return std::all_of(answers.begin(), answers.end(), [](auto& one) { return one->has_value(); });
        });
        for (const auto& one : answers) CHECK((*one)->code == 200);
        until([&] { return sidecar->open() == 0; });
        CHECK(counts().fetches.asked - counts().fetches.closed <= 1);
    }

    Repository repository;
    std::map<std::string, std::string> files;  // what mirrors serve
    std::string folder;
    std::vector<Script> scripts;
    std::vector<std::unique_ptr<StandIn>> mirrors;
    std::vector<Asked> answers;
};

}  // namespace

TEST_CASE("rolled-back, expired and mixed sets are refused in service, and every hit is closed once") {
    TrustTown town;
    town.trust->folder = town.folder;
    town.start(2);
    std::stringstream tape;
    const auto serve = [&](const char* what, const std::map<std::string, std::string>& files) {
        town.files = files;
        town.hits(20);
        const auto said = town.nextRefresh();
        tape << what << ": " << (said.empty() ? "accepted" : masked(said.substr(0, said.find(": at "))))
             << '\n';
    };
    const auto old = town.repository.files;
    serve("first", old);
    town.repository.target("targets", "releases/6", "six");
    town.repository.publish();
    const auto now = town.repository.files;
    serve("second", now);
    serve("rolled back", old);
    auto files = now;
    Repository later = town.repository;
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
    town.allAnswered();
    CHECK(town.forwards == static_cast<int>(town.answers.size()));
    CHECK(town.counts().fetches.resent == 0);  // one mirror: nowhere to ask again
    matchesTrace("metadata-in-service", tape.str());
}

TEST_CASE("a timestamp runs out in a busy hour: builds lose their word, hits do not notice") {
    TrustTown town;
    town.repository.timestampUntil = wall() + 3;
    town.repository.publish();
    town.files = town.repository.files;
    town.change = [](net::Config& config) {
        config.known->lines[0].build = 4;
        config.news = net::StageNews{5, 0, Standing::trial, 0.5, 0};
    };
    town.start(2);
    town.until([&] { return town.word(5) == Attestation::valid; });
    town.scripts[0] = [](auto& at, auto* call, auto&) { return at.answer(call, 500, ""), true; };
    while (wall() <= town.repository.timestampUntil + 1) {
        town.hits(1);
        town.until([&] { return town.answers.back()->has_value(); });
    }
    town.allAnswered();
    CHECK(town.word(5) == Attestation::none);
    CHECK(town.sidecar->trust()->lastRefusal() ==
          "root: unavailable: " + town.mirrors[0]->address.text() + ": failed 500");
    town.scripts[0] = nullptr;
    town.repository.timestampUntil = wall() + 3600;
    town.repository.publish();
    town.files = town.repository.files;
    CHECK(town.nextRefresh().empty());
}

TEST_CASE("a build whose metadata are withdrawn is voted back") {
    TrustTown town;
    std::vector<std::string> votes;
    town.change = [](net::Config& config) {
        config.settings.control = Control::single;
        config.news = net::StageNews{5, 0, Standing::trial, 0.5, 0};
    };
    town.start(1);
    town.platform.reset();
    CHECK(town.nextRefresh().empty());
    StandIn desk(town.loop, [&](auto& at, auto* call) {
        if (evhttp_request_get_command(call) != EVHTTP_REQ_POST) return at.hold(call);
        votes.push_back(StandIn::bodyOf(call));
        at.answer(call, 409, "{\"error\":\"STALE\"}");
    });
    net::Config moved;
    moved.discovery = town.registry->address, moved.platform = desk.address;
    town.sidecar->reload(moved);
    CHECK(town.nextRefresh().empty());
    const auto before = votes.size();
    for (const auto& vote : votes) CHECK(vote.find("ROLLBACK") == std::string::npos);
    town.repository.target("targets", "releases/5", "five", {{"withdrawn", true}});
    town.repository.publish();
    town.files = town.repository.files;
    town.until([&] { return votes.size() > before; });
    CHECK(votes.back().find("\"image\":5") != std::string::npos);
    CHECK(votes.back().find("ROLLBACK") != std::string::npos);
}

TEST_CASE("mirrors that babble, hang, cut or lie: another one gives the document, each is closed once") {
    std::stringstream tape;
    const auto play = [&](const char* what, const TrustTown::Script& script) {
        TrustTown town(2);
        town.trust->patience.within = 300 * ms;
        int spoilt = -1;  // whichever is asked first
        for (int one = 0; one < 2; ++one)
            town.scripts[static_cast<std::size_t>(one)] = [&, one](auto& at, auto* call, auto& name) {
                if (spoilt < 0) spoilt = one;
                return one == spoilt && script(at, call, name);
            };
        town.start(1);
        town.hits(5);
        // Until the spoilt mirror has been asked, in some refresh, and the good one has answered it.
        town.until([&] { return town.counts().fetches.resent > 0; });
        town.until([&] { return town.counts().refreshes > 1; });
        CHECK(town.sidecar->trust()->lastRefusal().empty());
        town.allAnswered();
        tape << what << ": accepted from the other\n";
    };
    const auto raw = [](auto& at, auto* call, const std::string& bytes) {
        at.raw(call, bytes);
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
    play("a redirection", [](auto& at, auto* call, auto&) { return at.answer(call, 302, ""), true; });
    play("a document of no one", [](auto& at, auto* call, auto& name) {
        if (name != "timestamp.json") return false;
        return at.answer(call, 200, "{\"signed\": {}, \"signatures\": []}"), true;
    });
    matchesTrace("metadata-mirrors", tape.str());
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
            Town town;
            net::Loop loop;
            StandIn mirror(loop, [&](auto& at, auto* call) {
                const auto head =
                    byClose
                        ? std::string("HTTP/1.0 200 OK\r\n\r\n")
                        : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n";
                at.raw(call, head + whole.substr(0, cut));
                at.cut(call);
            });
            std::optional<net::Fetched> back;
            net::Fetch fetch(loop, {mirror.address, "/timestamp.json"}, 16'384, 5000 * ms, 20'000 * ms,
                             [&](net::Fetched came) { back = std::move(came); });
            town.until([&] {
                loop.turn();
                return back.has_value();
            });
            auto set = TrustedSet::start(repository.firstRoot(), wall());
            const bool good = back->ending == net::Ending::answered && !set->timestamp(back->body);
            (good ? accepted : refused) += 1;
            // Without its last byte, a newline, the document is whole all the same.
            CHECK(good == (cut == whole.size() || (byClose && cut == whole.size() - 1)));
        }
        CHECK(accepted >= 1);
        CHECK(refused > 40);
    }
}

TEST_CASE("nothing new goes to a mirror that drains, or asks to be left alone") {
    TrustTown town(3);
    town.trust->metadata[1].draining = true;
    int alone = -1;  // whichever is asked first wants to be left alone
    for (const int one : {0, 2})
        town.scripts[static_cast<std::size_t>(one)] = [&alone, one](auto& at, auto* call, auto&) {
            if (alone < 0) alone = one;
            if (alone != one) return false;
            return at.answer(call, 503, "", {{"Retry-After", "600"}}), true;
        };
    town.start(1);
    while (town.counts().refreshes < 12) CHECK(town.nextRefresh().empty());
    CHECK(town.mirrors[1]->seen.empty());
    REQUIRE(alone >= 0);
    CHECK(town.mirrors[static_cast<std::size_t>(alone)]->seen.size() == 1);
    const auto used = static_cast<std::size_t>(2 - alone);
    // The operator turns it round: the one in use drains.
    auto config = *town.trust;
    config.metadata[1].draining = false, config.metadata[used].draining = true;
    town.sidecar->reload(config);
    town.nextRefresh();
    const auto before = town.mirrors[used]->seen.size();
    town.nextRefresh();
    town.nextRefresh();
    CHECK(town.mirrors[used]->seen.size() == before);
    CHECK(!town.mirrors[1]->seen.empty());
    town.hits(3);
    town.allAnswered();
}

TEST_CASE("a new file while a document is out: it ends first, and then fewer mirrors are asked") {
    TrustTown town(3);
    for (auto& script : town.scripts)
        script = [](auto& at, auto* call, auto&) { return at.hold(call), true; };
    town.trust->patience.within = 5000 * ms;
    town.start(1);
    const auto held = [&] {
        for (std::size_t one = 0; one < 3; ++one)
            if (!town.mirrors[one]->held.empty()) return static_cast<int>(one);
        return -1;
    };
    town.until([&] { return held() >= 0; });
    const auto asked = static_cast<std::size_t>(held()), kept = (asked + 1) % 3, dropped = (asked + 2) % 3;
    auto config = *town.trust;
    config.metadata = {town.trust->metadata[kept]}, config.targets = {town.trust->targets[kept]};
    town.sidecar->reload(config);
    for (auto& script : town.scripts) script = nullptr;
    town.mirrors[asked]->answerHeld(500, "");
    CHECK(town.nextRefresh().empty());
    CHECK(town.mirrors[asked]->seen.size() == 1);
    CHECK(town.mirrors[dropped]->seen.empty());
    CHECK(!town.mirrors[kept]->seen.empty());
    town.hits(3);
    town.allAnswered();
}

TEST_CASE("a sidecar serves on what it has verified, whole sets, bounded, while it takes hits") {
    TrustTown town;
    town.trust->serve = net::Address{"127.0.0.1", 0};
    town.trust->serveConnections = 8, town.trust->serveBytes = 100'000;
    for (int build = 6; build < 12; ++build)
        town.repository.target("targets", "releases/" + std::to_string(build),
                               std::string(20'000, static_cast<char>('a' + build)));
    town.repository.publish();
    town.files = town.repository.files;
    town.change = [](net::Config& config) {
        config.known->lines.push_back({"s-x", "127.0.0.1:1", "a", 7});
        config.known->lines.push_back({"s-y", "127.0.0.1:1", "a", 8});
    };
    town.start(2);
    const auto* mirror = town.sidecar->trust()->mirror();
    town.until([&] { return mirror->bytesHeld() > 40'000; });
    CHECK(mirror->bytesHeld() <= 100'000);
    // Many clients at once, more than it has room for, each with a whole update; hits beside them.
    const auto base = net::Url{mirror->address(), "/metadata"};
    int done = 0, refused = 0;
    struct Other {
        explicit Other(const net::Url& base) : bases{base} {}
        metadata::Mirrors mirrors{{"sidecar"}, 1};
        std::vector<net::Url> bases;
        std::unique_ptr<net::TrustStore> store = net::TrustStore::inMemory();
        net::FetchCounts counts;
        std::unique_ptr<net::Refresh> refresh;
    };
    std::vector<std::unique_ptr<Other>> others;
    std::vector<std::unique_ptr<RawClient>> silent;
    for (int one = 0; one < 4; ++one) silent.push_back(std::make_unique<RawClient>(mirror->address()));
    for (int one = 0; one < 30; ++one) {
        auto& other = *others.emplace_back(std::make_unique<Other>(base));
        std::string said;
        auto set = other.store->start(town.repository.firstRoot(), wall(), said);
        REQUIRE(set);
        Update update(std::move(*set), *other.store);
        update.lookFor("releases/7");
        other.refresh = std::make_unique<net::Refresh>(town.loop, other.mirrors, other.bases, *other.store,
                                                       std::move(update), metadata::Patience{}, other.counts,
                                                       nullptr, [&](net::Refresh& over) {
                                                           if (over.refusal()) ++refused;
                                                           else if (over.update().found().at("releases/7"))
                                                               ++done;
                                                       });
        other.refresh->start();
        town.hits(2);
    }
    town.until([&] { return done + refused == 30; });
    // Those who found no room were told so or cut, and were given nothing half: the first try of each.
    CHECK(done >= 8);
    for (const auto& other : others) CHECK(other->counts.asked == other->counts.closed);
    town.allAnswered();
    const auto seen = [&](const std::string& path, const char* method = "GET") {
        RawClient client(mirror->address());
        client.say(std::string(method) + " " + path + " HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n");
        town.until([&] { return client.read().size() > 12; });
        return client.read().substr(9, 3);
    };
    CHECK(seen("/metadata/1.root.json") == "200");
    CHECK(seen("/metadata/2.root.json") == "404");
    CHECK(seen("/metadata/../root.json") == "404");
    CHECK(seen("/metadata/rel.json") == "404");
    CHECK(seen("/metadata/timestamp.json", "POST") == "405");
    CHECK(seen("/targets/releases/" + digest("sha256", town.repository.contents.at("releases/7")) + ".7") ==
          "200");
    CHECK(seen("/health/ready") == "200");
    // It stops: new requests are turned away, with advice, and then it ends.
    town.sidecar->stop();
    RawClient late(mirror->address());
    late.say("GET /metadata/timestamp.json HTTP/1.1\r\nHost: m\r\n\r\n");
    town.until([&] { return late.read().find("Retry-After") != std::string::npos; });
    CHECK(late.read().substr(9, 3) == "503");
}

TEST_CASE(
    "without a folder that lasts trust starts from the shipped root, and from the kept one where it does") {
    TrustTown town;
    town.trust->folder = "/dev/null/nowhere";
    town.start(1);
    CHECK(town.nextRefresh().empty());
    town.sidecar.reset();
    // In a folder: a restart takes up where it was, and an old mirror is found out.
    const auto old = town.files;
    town.trust->folder = town.folder;
    town.repository.target("targets", "releases/6", "six");
    town.repository.publish();
    town.files = town.repository.files;
    town.pods.clear();
    town.start(1);
    CHECK(town.nextRefresh().empty());
    CHECK(!net::TrustStore::open(town.folder));  // another process
    CHECK(net::TrustStore::open(town.folder).refusal().reason == Reason::busy);
    town.sidecar.reset();
    town.files = old;
    town.pods.clear();
    town.start(1);
    CHECK(town.nextRefresh().substr(0, 19) == "timestamp: rollback");
    town.sidecar.reset();
    // A spoilt root is replaced by the shipped one; the versions reached stay a floor.
    std::ofstream(town.folder + "/root.json") << "{";
    town.pods.clear();
    town.start(1);
    CHECK(town.nextRefresh().substr(0, 19) == "timestamp: rollback");
}

TEST_CASE("a clock that was set back does not bring an expired set to life again") {
    TrustTown town;
    town.trust->folder = town.folder;
    town.start(1);
    CHECK(town.nextRefresh().empty());
    town.sidecar.reset();
    // As if the last update had been accepted a day and a second later: the clock has been set back since.
    std::ofstream(town.folder + "/state/clock") << timeText(wall() + day + 1);
    town.pods.clear();
    town.start(1);
    CHECK(town.nextRefresh().substr(0, 18) == "timestamp: expired");
    town.sidecar.reset();
    std::ofstream(town.folder + "/state/clock") << "no time";
    town.pods.clear();
    town.start(1);
    CHECK(town.nextRefresh().empty());
}

TEST_CASE("a folder that fills up while it serves: refused, and the old trust in force") {
    TrustTown town;
    town.trust->folder = town.folder;
    town.start(1);
    CHECK(town.nextRefresh().empty());
    // Something in the way of each new file, as a full disk would be; root may write anywhere else.
    std::filesystem::create_directory(town.folder + "/timestamp.json.new");
    std::filesystem::create_directory(town.folder + "/targets.json.new");
    town.repository.target("targets", "releases/6", "six");
    town.repository.publish();
    town.files = town.repository.files;
    const auto said = town.nextRefresh();
    CHECK(said.find("folder") != std::string::npos);
    std::ifstream kept(town.folder + "/timestamp.json");
    std::stringstream bytes;
    bytes << kept.rdbuf();
    CHECK((*readJson(bytes.str(), 65'536))["signed"]["version"] == 2);
    std::filesystem::remove(town.folder + "/timestamp.json.new");
    std::filesystem::remove(town.folder + "/targets.json.new");
    CHECK(town.nextRefresh().empty());
    town.hits(3);
    town.allAnswered();
}

TEST_CASE("with a director a build needs both repositories' word") {
    TrustTown town;
    Repository director(true, wall());
    std::map<std::string, std::string> directorFiles = director.files;
    StandIn directorMirror(town.loop, [&](auto& at, auto* call) {
        const std::string uri = evhttp_request_get_uri(call);
        const auto file = directorFiles.find(uri.substr(uri.rfind('/') + 1));
        if (file == directorFiles.end()) at.answer(call, 404, "");
        else at.answer(call, 200, file->second);
    });
    std::ofstream(town.folder + ".director") << director.firstRoot();
    town.trust->director =
        net::TrustConfig::Director{town.folder + ".director", {{{directorMirror.address, "/"}, false}}};
    town.start(1);
    CHECK(town.nextRefresh().empty());
    CHECK(town.word(5) == Attestation::none);  // the image repository alone
    const auto direct = [&](const std::string& image) {
        director.target("targets", "releases/5", image,
                        {{"ecuIdentifier", "pods"}, {"hardwareId", "m2"}, {"releaseCounter", 5}});
        director.publish();
        directorFiles = director.files;
    };
    direct("five");
    CHECK(town.nextRefresh().empty());
    CHECK(town.word(5) == Attestation::valid);
    // The director names another image under that path: neither is believed.
    direct("fife");
    CHECK(town.nextRefresh().empty());
    CHECK(town.word(5) == Attestation::none);
    direct("five");
    CHECK(town.nextRefresh().empty());
    CHECK(town.word(5) == Attestation::valid);
    // The image repository lists it no more, whatever the director says.
    removeTarget(town.repository.role("targets"), "releases/5");
    town.repository.redo("targets");
    town.repository.publish();
    town.files = town.repository.files;
    CHECK(town.nextRefresh().empty());
    CHECK(town.word(5) == Attestation::withdrawn);
    director.delegateTo("targets", "other", {"*"});
    director.publish();
    directorFiles = director.files;
    CHECK(town.nextRefresh() == "director director: wrong-shape: it delegates");
    std::filesystem::remove(town.folder + ".director");
}
