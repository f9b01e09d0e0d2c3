// Refresh schedule, mirror selection and retry budget without network access, and the metadata settings file.
#include <filesystem>

#include "metadata/mirror_selection.hpp"
#include "sidecar/trust_config.hpp"
#include "support/trace.hpp"

using namespace metadata;

TEST_CASE("refreshes are due before expiry, have jitter, and back off after failures without giving up") {
    constexpr Nanos second = 1000 * kMs;
    std::map<Nanos, int> regularDelays;
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        RefreshSchedule schedule({60 * second, second, 60 * second}, seed);
        const auto regular = schedule.afterSuccess(86'400 * second);
        CHECK(regular >= 54 * second);
        CHECK(regular <= 66 * second);
        ++regularDelays[regular / second];
        for (const Nanos validFor : {Nanos{3}, Nanos{20}, Nanos{90}}) {
            const auto delay = schedule.afterSuccess(validFor * second);
            CHECK(delay >= second);
            CHECK(delay <= std::max(validFor * second / 2, second));
        }
        Nanos backoff = second;
        for (int failure = 0; failure < 12; ++failure, backoff = std::min(2 * backoff, 60 * second)) {
            const auto delay = schedule.afterFailure(86'400 * second);
            CHECK(delay >= backoff / 2);
            CHECK(delay <= backoff);
        }
        CHECK(schedule.failures() == 12);
        CHECK(schedule.afterFailure(4 * second) <= 2 * second);  // sooner before expiry
        CHECK(schedule.afterFailure(0) >= 30 * second);          // the regular backoff after expiry
        schedule.afterSuccess(86'400 * second);
        CHECK(schedule.afterFailure(86'400 * second) <= second);
    }
    CHECK(regularDelays.size() > 8);  // sidecars do not refresh all at the same time
}

TEST_CASE(
    "the mirror in use is kept while it responds; each is tried once per document, none while draining") {
    std::stringstream trace;
    Mirrors mirrors({"a", "b", "c"}, 5);
    std::vector<bool> tried(3);
    const auto choose = [&](const char* what, Nanos now) {
        const auto chosen = mirrors.choose(now, tried);
        trace << now / kMs << " " << what << ": " << (chosen ? mirrors.name(*chosen) : "none") << '\n';
        return chosen;
    };
    const auto first = choose("first", 0);
    mirrors.recordSuccess(*first);
    choose("it has answered", 10 * kMs);
    tried[*first] = true;
    const auto second = choose("it is tried", 20 * kMs);
    mirrors.recordFailure(*second, 20 * kMs);
    tried[*second] = true;
    const auto third = choose("the second fails", 30 * kMs);
    mirrors.setDraining(*third, true);
    choose("the third drains", 40 * kMs);
    tried.assign(3, false);
    mirrors.recordFailure(*first, 50 * kMs);
    mirrors.recordFailure(*first, 60 * kMs);
    choose("all rest or drain, a first try", 70 * kMs);
    tried[*second] = true;
    choose("all rest or drain, a second try", 80 * kMs);
    tried.assign(3, false);
    mirrors.backOffUntil(*second, 600'000 * kMs);
    choose("one asks for ten minutes", 300'000 * kMs);
    mirrors.setDraining(*first, true);
    choose("and the other drains", 300'010 * kMs);
    mirrors.setDraining(*second, true);
    choose("all drain", 300'020 * kMs);
    mirrors.setDraining(*third, false);
    choose("the third is back", 300'030 * kMs);
    RetryBudget budget(1);
    int taken = 0;
    while (budget.take()) ++taken;
    trace << "asked again at most " << taken << " times with one mirror\n";
    matchesTrace("mirrors", trace.str());
    // Sidecars spread over the mirrors.
    int firstChoices[3] = {};
    for (std::uint32_t seed = 0; seed < 300; ++seed)
        ++firstChoices[*Mirrors({"a", "b", "c"}, seed).choose(0, {false, false, false})];
    for (const int count : firstChoices) CHECK(count > 60);
}

TEST_CASE("an invalid metadata settings file is refused with the name of the field") {
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
        } catch (const std::invalid_argument& error) {
            std::string message = error.what();
            trace << (message.compare(0, path.size(), path) == 0 ? "FILE" + message.substr(path.size())
                                                                 : message)
                  << '\n';
        }
    };
    const std::string unclosed = R"("root": "r", "builds": "{build}", "metadata": ["http://127.0.0.1:1/m")";
    const std::string complete = unclosed + "]";
    play("{" + complete + "}");
    play(
        "{" + unclosed +
        R"(, {"url": "http://localhost:2", "draining": true}], /* often */ "refreshMs": 500, "documentMegabytes": 2})");
    play("");
    play("[]");
    play("{" + complete + ",}");
    play("{\"root\": 5, \"builds\": \"{build}\"}");
    play("{\"root\": \"r\", \"builds\": \"{build}\", \"metadata\": []}");
    play("{\"root\": \"r\", \"builds\": \"{build}\", \"metadata\": [\"https://127.0.0.1:1/\"]}");
    play("{" + unclosed + ", \"http://mirror.example:80/\"]}");
    play("{" + unclosed + ", {\"url\": \"http://127.0.0.1:1\", \"drains\": true}]}");
    play("{" + unclosed + ", {\"url\": \"http://127.0.0.1:1\", \"draining\": 1}]}");
    play("{\"root\": \"r\", \"builds\": \"builds\", \"metadata\": [\"http://127.0.0.1:1\"]}");
    play("{" + complete + ", \"refreshMs\": 0}");
    play("{" + complete + ", \"refreshMs\": 1e9}");
    play("{" + complete + ", \"answerMs\": \"soon\"}");
    play("{" + complete + ", \"documentMegabytes\": 65}");
    play("{" + complete + ", \"thread\": 0}");
    play("{" + complete + ", \"refreshMS\": 500}");
    play("{" + complete + ", \"serve\": {\"listen\": \"127.0.0.1\"}}");
    play("{" + complete + ", \"serve\": {\"listen\": \"127.0.0.1:5\", \"connections\": 0}}");
    play("{" + complete + ", \"director\": {\"root\": \"d\"}}");
    std::filesystem::remove(path);
    play("never read");
    std::filesystem::remove(path);
    matchesTrace("trust-file", trace.str());
}
