// libFuzzer's way into what reads bytes from outside: strict JSON, documents, and the trusted set behind
// signatures (the input is the document, and the harness signs it with the role's key, or nothing would ever
// get past the verification). Without libFuzzer, seeded mutations of real documents run the same function in
// CI.
#include <cstdint>
#include <cstdlib>

#include "metadata/uptane.hpp"
#include "seeded.hpp"
#include "support/metadata_repository.hpp"

using namespace metadata_fixture;

namespace {

struct World {
    World() {
        repository.delegateTo("targets", "rel", {"releases/*"});
        repository.target("rel", "releases/1", "one");
        repository.publish();
    }
    TrustedSet upTo(int roles) const {
        auto set = TrustedSet::start(repository.firstRoot(), kStart);
        if (roles > 0) set->timestamp(repository.files.at("timestamp.json"));
        if (roles > 1) set->snapshot(repository.files.at("2.snapshot.json"));
        if (roles > 2) set->targets(repository.files.at("2.targets.json"));
        return *set;
    }
    Repository repository;
};

void insist(bool holds) {
    if (!holds) std::abort();
}

void asDocument(const World& world, std::string_view bytes, int which) {
    static constexpr const char* kRoles[] = {"root", "timestamp", "snapshot", "targets"};
    auto document = parseJson(bytes, 1 << 16);
    if (!document) return;
    Json envelope = {{"signatures", Json::array()}, {"signed", *document}};
    sign(envelope, world.repository.keys.at(kRoles[which]));
    const auto text = textOf(envelope);
    auto set = world.upTo(which == 0 ? 0 : which - 1);
    const auto before = std::make_pair(set.root().version, set.timestamp() ? set.timestamp()->version : 0);
    const auto refusal = which == 0   ? set.root(text)
                         : which == 1 ? set.timestamp(text)
                         : which == 2 ? set.snapshot(text)
                                      : set.targets(text);
    if (refusal)
        insist(before == std::make_pair(set.root().version, set.timestamp() ? set.timestamp()->version : 0));
    else insist(which != 0 || set.root().version == before.first + 1);
    // The typed readers alone, too: whatever they accept can be walked.
    const auto read = Envelope::read(text, kRoles[which], kRoles[which], 1 << 17);
    if (!read) return;
    if (const auto root = Root::read(*read)) insist(root->roles.size() == 4);
    if (const auto targets = Targets::read(*read, "targets")) {
        for (const auto& step : targets->rolesFor("releases/1"))
            insist(targets->signersOf(step.role) != nullptr);
        (void)uptane::readDirectives(*targets);
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const World kWorld;
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const int which = data[0] % 6;
    if (which < 4) {
        asDocument(kWorld, bytes, which);
    } else if (which == 4) {
        // What canonical form accepts once, it writes the same again.
        if (const auto json = parseJson(bytes, 1 << 16)) {
            const auto again = parseJson(json->dump(), 1 << 17);
            insist(again && canonical(*again) == canonical(*json));
        }
    } else {
        const auto key = kWorld.repository.keys.at("root").key();
        (void)uptane::readManifest(bytes, key, {{"unit", key}});
        (void)parseTime(bytes);
        (void)patternMatches(bytes.substr(0, bytes.size() / 2), bytes.substr(bytes.size() / 2));
    }
    return 0;
}

#ifdef LICHENLANDING_SEEDED
#include <cstdio>
#include <random>

// Mutations of real documents, the same ones each time.
int main() {
    const World world;
    std::vector<std::string> seeds;
    static constexpr const char* kFiles[] = {"1.root.json", "timestamp.json", "2.snapshot.json",
                                             "2.targets.json"};
    for (int which = 0; which < 4; ++which) {
        const auto whole = parseJson(world.repository.files.at(kFiles[which]), 1 << 20);
        seeds.push_back(std::string(1, static_cast<char>(which)) + (*whole)["signed"].dump());
    }
    seeds.emplace_back("\x04{\"a\":[1,{\"b\":\"\\u00e9\"}],\"c\":-9223372036854775808}");
    seeds.emplace_back("\x05{\"signed\":{\"ecuVersionReports\":[]},\"signatures\":[]}");
    const std::string_view words[] = {"\"version\":2",
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
    return runSeededMutations(seeds, words, 20'000);
}
#endif
