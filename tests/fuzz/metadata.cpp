// Fuzz target for everything that parses bytes from outside: strict JSON, documents, manifests, times and
// patterns. For the trusted set the input is the document, which the harness signs with the role's key, since
// otherwise no input would pass the signature verification. Without libFuzzer, seeded mutations of real
// documents run the same function.
#include <cstdint>
#include <cstdlib>

#include "metadata/uptane.hpp"
#include "seeded.hpp"
#include "support/metadata_repository.hpp"

using namespace metadata_fixture;

namespace {

// A repository with all roles published.
struct Fixture {
    Fixture() {
        repository.delegateTo("targets", "rel", {"releases/*"});
        repository.target("rel", "releases/1", "one");
        repository.publish();
    }
    // A trusted set that has accepted root and the first `roles` of timestamp, snapshot and targets.
    TrustedSet trustedSetWith(int roles) const {
        auto set = TrustedSet::start(repository.firstRoot(), kStart);
        if (roles > 0) set->timestamp(repository.files.at("timestamp.json"));
        if (roles > 1) set->snapshot(repository.files.at("2.snapshot.json"));
        if (roles > 2) set->targets(repository.files.at("2.targets.json"));
        return *set;
    }
    Repository repository;
};

void require(bool condition) {
    if (!condition) std::abort();
}

void checkDocument(const Fixture& fixture, std::string_view bytes, int which) {
    static constexpr const char* kRoles[] = {"root", "timestamp", "snapshot", "targets"};
    auto document = parseJson(bytes, 1 << 16);
    if (!document) return;
    Json envelope = {{"signatures", Json::array()}, {"signed", *document}};
    sign(envelope, fixture.repository.keys.at(kRoles[which]));
    const auto text = textOf(envelope);
    auto set = fixture.trustedSetWith(which == 0 ? 0 : which - 1);
    const auto before = std::make_pair(set.root().version, set.timestamp() ? set.timestamp()->version : 0);
    const auto refusal = which == 0   ? set.root(text)
                         : which == 1 ? set.timestamp(text)
                         : which == 2 ? set.snapshot(text)
                                      : set.targets(text);
    if (refusal)
        require(before == std::make_pair(set.root().version, set.timestamp() ? set.timestamp()->version : 0));
    else require(which != 0 || set.root().version == before.first + 1);
    // The typed parsers alone: whatever they accept can be traversed.
    const auto read = Envelope::read(text, kRoles[which], kRoles[which], 1 << 17);
    if (!read) return;
    if (const auto root = Root::read(*read)) require(root->roles.size() == 4);
    if (const auto targets = Targets::read(*read, "targets")) {
        for (const auto& step : targets->rolesFor("releases/1"))
            require(targets->signersOf(step.role) != nullptr);
        (void)uptane::readDirectives(*targets);
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const Fixture kFixture;
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const int which = data[0] % 6;
    if (which < 4) {
        checkDocument(kFixture, bytes, which);
    } else if (which == 4) {
        // Parsing the text again gives the same canonical form.
        if (const auto json = parseJson(bytes, 1 << 16)) {
            const auto again = parseJson(json->dump(), 1 << 17);
            require(again && canonical(*again) == canonical(*json));
        }
    } else {
        const auto key = kFixture.repository.keys.at("root").key();
        (void)uptane::readManifest(bytes, key, {{"unit", key}});
        (void)parseTime(bytes);
        (void)patternMatches(bytes.substr(0, bytes.size() / 2), bytes.substr(bytes.size() / 2));
    }
    return 0;
}

#ifdef LICHENLANDING_SEEDED
#include <cstdio>
#include <random>

// Runs the same mutations of real documents each time.
int main() {
    const Fixture fixture;
    std::vector<std::string> seeds;
    static constexpr const char* kFiles[] = {"1.root.json", "timestamp.json", "2.snapshot.json",
                                             "2.targets.json"};
    for (int which = 0; which < 4; ++which) {
        const auto parsed = parseJson(fixture.repository.files.at(kFiles[which]), 1 << 20);
        seeds.push_back(std::string(1, static_cast<char>(which)) + (*parsed)["signed"].dump());
    }
    seeds.emplace_back("\x04{\"a\":[1,{\"b\":\"\\u00e9\"}],\"c\":-9223372036854775808}");
    seeds.emplace_back("\x05{\"signed\":{\"ecuVersionReports\":[]},\"signatures\":[]}");
    const std::string_view dictionary[] = {"\"version\":2",
                                           "\"_type\":\"root\"",
                                           "[",
                                           "]",
                                           "{",
                                           "}",
                                           "-1",
                                           "9223372036854775807",
                                           "\"\"",
                                           "null",
                                           "\"threshold\":0",
                                           "\"*\"",
                                           "\xf0\x9f\x98\x80",
                                           "\\ud800",
                                           "1e400"};
    return runSeededMutations(seeds, dictionary, 20'000);
}
#endif
