// Whom to ask, when, and how often: the decisions of a client of mirrors, without one.
#include <filesystem>

#include "metadata/mirror_selection.hpp"
#include "sidecar/trust_config.hpp"
#include "support/trace.hpp"

using namespace metadata;

TEST_CASE("a refresh is due ahead of expiry, spread, and backs off after failures without ever giving up") {
    constexpr Nanos second = 1000 * kMs;
    std::map<Nanos, int> first;
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        RefreshSchedule rhythm({60 * second, second, 60 * second}, seed);
        const auto usual = rhythm.afterSuccess(86'400 * second);
        CHECK(usual >= 54 * second);
        CHECK(usual <= 66 * second);
        ++first[usual / second];
        for (const Nanos lasts : {Nanos{3}, Nanos{20}, Nanos{90}}) {
            const auto ahead = rhythm.afterSuccess(lasts * second);
            CHECK(ahead >= second);
            CHECK(ahead <= std::max(lasts * second / 2, second));
        }
        Nanos most = second;
        for (int failure = 0; failure < 12; ++failure, most = std::min(2 * most, 60 * second)) {
            const auto wait = rhythm.afterFailure(86'400 * second);
            CHECK(wait >= most / 2);
            CHECK(wait <= most);
        }
        CHECK(rhythm.failures() == 12);
        CHECK(rhythm.afterFailure(4 * second) <= 2 * second);  // before it has run out, sooner
        CHECK(rhythm.afterFailure(0) >= 30 * second);          // once it has, in peace
        rhythm.afterSuccess(86'400 * second);
        CHECK(rhythm.afterFailure(86'400 * second) <= second);
    }
    CHECK(first.size() > 8);  // sidecars do not come all at once
}

TEST_CASE("mirrors: one as long as it answers, each once a document, none that drains, resting ones last") {
    std::stringstream trace;
    Mirrors mirrors({"a", "b", "c"}, 5);
    std::vector<bool> tried(3);
    const auto choose = [&](const char* what, Nanos now) {
        const auto chosen = mirrors.choose(now, tried);
        trace << now / kMs << " " << what << ": " << (chosen ? mirrors.name(*chosen) : "none") << '\n';
        return chosen;
    };
    const auto one = choose("first", 0);
    mirrors.recordSuccess(*one);
    choose("it has answered", 10 * kMs);
    tried[*one] = true;
    const auto two = choose("it is tried", 20 * kMs);
    mirrors.recordFailure(*two, 20 * kMs);
    tried[*two] = true;
    const auto three = choose("the second fails", 30 * kMs);
    mirrors.setDraining(*three, true);
    choose("the third drains", 40 * kMs);
    tried.assign(3, false);
    mirrors.recordFailure(*one, 50 * kMs);
    mirrors.recordFailure(*one, 60 * kMs);
    choose("all rest or drain, a first try", 70 * kMs);
    tried[*two] = true;
    choose("all rest or drain, a second try", 80 * kMs);
    tried.assign(3, false);
    mirrors.backOffUntil(*two, 600'000 * kMs);
    choose("one asks for ten minutes", 300'000 * kMs);
    mirrors.setDraining(*one, true);
    choose("and the other drains", 300'010 * kMs);
    mirrors.setDraining(*two, true);
    choose("all drain", 300'020 * kMs);
    mirrors.setDraining(*three, false);
    choose("the third is back", 300'030 * kMs);
    RetryBudget budget(1);
    int taken = 0;
    while (budget.take()) ++taken;
    trace << "asked again at most " << taken << " times with one mirror\n";
    matchesTrace("mirrors", trace.str());
    // Sidecars spread over the mirrors.
    int firsts[3] = {};
    for (std::uint32_t seed = 0; seed < 300; ++seed)
        ++firsts[*Mirrors({"a", "b", "c"}, seed).choose(0, {false, false, false})];
    for (const int count : firsts) CHECK(count > 60);
}

TEST_CASE("a file on metadata that is wrong is refused by the field") {
    const auto path =
        (std::filesystem::temp_directory_path() / ("lichenlanding-file-" + std::to_string(getpid())))
            .string();
    std::stringstream trace;
    const auto play = [&](const std::string& text) {
        std::ofstream(path) << text;
        try {
            const auto read = sidecar::readTrustConfig(path);
            trace << "accepted: " << read.metadata.size() << " mirrors, every "
                  << read.refreshIntervals.regular / kMs << " ms, draining " << read.metadata.back().draining
                  << ", documents to " << read.sizes.targets << '\n';
        } catch (const std::invalid_argument& wrong) {
            std::string said = wrong.what();
            trace << (said.compare(0, path.size(), path) == 0 ? "FILE" + said.substr(path.size()) : said)
                  << '\n';
        }
    };
    const std::string some = R"("root": "r", "builds": "{build}", "metadata": ["http://127.0.0.1:1/m")";
    const std::string most = some + "]";
    play("{" + most + "}");
    play(
        "{" + some +
        R"(, {"url": "http://localhost:2", "draining": true}], /* often */ "refreshMs": 500, "documentMegabytes": 2})");
    play("");
    play("[]");
    play("{" + most + ",}");
    play("{\"root\": 5, \"builds\": \"{build}\"}");
    play("{\"root\": \"r\", \"builds\": \"{build}\", \"metadata\": []}");
    play("{\"root\": \"r\", \"builds\": \"{build}\", \"metadata\": [\"https://127.0.0.1:1/\"]}");
    play("{" + some + ", \"http://mirror.example:80/\"]}");
    play("{" + some + ", {\"url\": \"http://127.0.0.1:1\", \"drains\": true}]}");
    play("{" + some + ", {\"url\": \"http://127.0.0.1:1\", \"draining\": 1}]}");
    play("{\"root\": \"r\", \"builds\": \"builds\", \"metadata\": [\"http://127.0.0.1:1\"]}");
    play("{" + most + ", \"refreshMs\": 0}");
    play("{" + most + ", \"refreshMs\": 1e9}");
    play("{" + most + ", \"answerMs\": \"soon\"}");
    play("{" + most + ", \"documentMegabytes\": 65}");
    play("{" + most + ", \"thread\": 0}");
    play("{" + most + ", \"refreshMS\": 500}");
    play("{" + most + ", \"serve\": {\"listen\": \"127.0.0.1\"}}");
    play("{" + most + ", \"serve\": {\"listen\": \"127.0.0.1:5\", \"connections\": 0}}");
    play("{" + most + ", \"director\": {\"root\": \"d\"}}");
    std::filesystem::remove(path);
    play("never read");
    std::filesystem::remove(path);
    matchesTrace("trust-file", trace.str());
}
