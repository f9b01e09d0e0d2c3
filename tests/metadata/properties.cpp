// Properties over many seeded inputs: the delegation index beside the plain walk, canonical JSON, and
// documents that are mutated at any place.
#include <random>

#include "support/metadata_repository.hpp"
#include "support/trace.hpp"

using namespace metadata_fixture;

namespace {

// The pattern language once more, by its definition: tries every length for '*'.
bool plainMatch(std::string_view pattern, std::string_view path) {
    if (pattern.empty()) return path.empty();
    if (pattern[0] == '*') {
        for (std::size_t taken = 0; taken <= path.size(); ++taken) {
            if (plainMatch(pattern.substr(1), path.substr(taken))) return true;
            if (taken < path.size() && path[taken] == '/') return false;
        }
        return false;
    }
    if (path.empty()) return false;
    if (pattern[0] == '?' ? path[0] == '/' : pattern[0] != path[0]) return false;
    return plainMatch(pattern.substr(1), path.substr(1));
}

std::string word(std::mt19937& chance, std::string_view letters, std::size_t most) {
    std::string made;
    for (auto left = chance() % (most + 1); left > 0; --left) made += letters[chance() % letters.size()];
    return made;
}

Json anyJson(std::mt19937& chance, int depth) {
    switch (chance() % (depth > 0 ? 7 : 5)) {
        case 0:
            return static_cast<std::int64_t>(std::uint64_t{chance()} << 32 | chance());
        case 1:
            return chance() % 2 == 0;
        case 2:
            return nullptr;
        case 3:
        case 4:
            return word(chance, "ab\"\\/\n\t \x01\x7f", 8) + "\xc3\xa9\xe2\x82\xac";
        case 5: {
            Json list = Json::array();
            for (auto left = chance() % 4; left > 0; --left) list.push_back(anyJson(chance, depth - 1));
            return list;
        }
        default: {
            Json object = Json::object();
            for (auto left = chance() % 4; left > 0; --left)
                object[word(chance, "abc\"", 4)] = anyJson(chance, depth - 1);
            return object;
        }
    }
}

}  // namespace

TEST_CASE("a pattern matches as its definition says") {
    std::mt19937 chance(11);
    int matched = 0;
    for (int round = 0; round < 200'000; ++round) {
        const auto pattern = word(chance, "ab/*?", 8);
        const auto path = word(chance, "ab/", 8);
        const bool is = plainMatch(pattern, path);
        matched += is;
        REQUIRE_MESSAGE(patternMatches(pattern, path) == is, pattern << " on " << path);
    }
    CHECK(matched > 1000);
    // No pattern takes long: a backtracking matcher would not come back from this one.
    CHECK(!patternMatches(std::string(200, '*') + "b", std::string(2000, 'a')));
}

TEST_CASE("the index finds the delegations that a walk over all finds, in their order") {
    std::mt19937 chance(12);
    std::size_t found = 0;
    for (int round = 0; round < 300; ++round) {
        std::vector<std::vector<std::string>> patterns;
        std::vector<std::vector<std::string>> prefixes;
        DelegationIndex index;
        const auto count = 1 + chance() % 40;
        for (std::uint32_t role = 0; role < count; ++role) {
            auto& mine = patterns.emplace_back();
            auto& digits = prefixes.emplace_back();
            const bool byHash = chance() % 2;
            for (auto left = 1 + chance() % 4; left > 0; --left)
                if (byHash) digits.push_back(word(chance, "0123456789abcdef", 3));
                else mine.push_back(word(chance, "ab/*?", 6));
            index.add(role, mine, digits);
        }
        index.seal();
        for (int look = 0; look < 50; ++look) {
            const auto path = word(chance, "ab/", 6);
            const auto hash = digest("sha256", path);
            std::vector<std::uint32_t> plain;
            for (std::uint32_t role = 0; role < count; ++role) {
                bool is = false;
                for (const auto& pattern : patterns[role]) is = is || plainMatch(pattern, path);
                for (const auto& digits : prefixes[role])
                    is = is || hash.compare(0, digits.size(), digits) == 0;
                if (is) plain.push_back(role);
            }
            found += plain.size();
            REQUIRE(index.matching(path, hash) == plain);
        }
    }
    CHECK(found > 10'000);
}

TEST_CASE("canonical JSON is read back as it was, and has one form") {
    std::mt19937 chance(13);
    for (int round = 0; round < 20'000; ++round) {
        const auto made = anyJson(chance, 4);
        // What canonical form leaves as it is, JSON readers refuse: it is for signing alone. So through
        // dump().
        const auto read = parseJson(made.dump(static_cast<int>(chance() % 3) - 1), 1 << 20);
        REQUIRE(read);
        REQUIRE(canonical(*read) == canonical(made));
    }
    CHECK(canonical({{"b", {{"\"", "a\\"}}}, {"a", {1, true, nullptr}}, {"\xc3\xa9", -7}}) ==
          "{\"a\":[1,true,null],\"b\":{\"\\\"\":\"a\\\\\"},\"\xc3\xa9\":-7}");
}

TEST_CASE("however a document is mutated, what is trusted is what was signed") {
    Repository repository;
    repository.delegateTo("targets", "rel", {"releases/*"});
    repository.target("rel", "releases/1", "one");
    repository.target("targets", "file", "two");
    repository.publish();
    const auto old = repository.files;
    Client before(repository.firstRoot());
    before.update(old, kStart + 60, {"releases/1"});
    repository.target("rel", "releases/2", "three");
    const auto held = SigningKey::fromPem(repository.keys.at("root").toPem());
    repository.rotate("timestamp");
    repository.publishRoot({&*held});
    repository.publish();
    const auto& now = repository.files;
    std::mt19937 chance(14);
    std::set<std::string> published;
    for (const auto* set : {&old, &now})
        for (const auto& [served, whole] : *set)
            published.insert(canonical((*parseJson(whole, 1 << 20))["signed"]));
    std::vector<std::string> names;
    for (const auto& [name, bytes] : now)
        if (!old.contains(name) || old.at(name) != bytes) names.push_back(name);
    const std::string spoilers[] = {"0", "9", "\"",      "{",   "}",    "[",    ",",
                                    ":", " ", "\\u0000", "1e9", "null", "\xff", "-"};
    int refused = 0;
    int accepted = 0;
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round) {
        auto files = now;
        const auto& name = names[chance() % names.size()];
        auto& bytes = files.at(name);
        for (auto times = 1 + chance() % 3; times > 0 && !bytes.empty(); --times) {
            const auto at = chance() % bytes.size();
            switch (chance() % 5) {
                case 0:
                    bytes[at] = static_cast<char>(bytes[at] ^ (1 << chance() % 8));
                    break;
                case 1:
                    bytes.erase(at, 1 + chance() % 20);
                    break;
                case 2:
                    bytes.insert(at, spoilers[chance() % std::size(spoilers)]);
                    break;
                case 3:
                    bytes.insert(at, bytes.substr(chance() % bytes.size(), chance() % 60));
                    break;
                default:
                    bytes.resize(at);
                    break;
            }
        }
        auto client = before;
        const auto said = client.update(files, kStart + 60, {"releases/1", "releases/2"});
        if (said.find("done") == std::string::npos) {
            ++refused;
        } else {
            ++accepted;
            // Only what does not count may have been changed: space, or a signature nobody needs.
            REQUIRE_MESSAGE((client.listingRole("releases/2") == "rel" || name == "3.root.json"),
                            name << ": " << bytes);
        }
        // Whatever happened: each document kept is, in canonical form, one that was published.
        for (const auto& [file, kept] : client.stored.files) {
            const auto read = parseJson(kept, 1 << 20);
            REQUIRE(read);
            REQUIRE_MESSAGE(published.count(canonical((*read)["signed"])), file << ": " << kept);
        }
    }
    MESSAGE("mutated sets tried: " << rounds << ", refused " << refused << ", accepted " << accepted);
    CHECK(refused > rounds / 2);
    CHECK(accepted > 0);
}
