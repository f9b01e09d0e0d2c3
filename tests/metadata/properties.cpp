// Properties checked on many seeded inputs: the delegation index against a linear scan, canonical JSON, and
// documents mutated at random places.
#include <random>

#include "support/metadata_repository.hpp"
#include "support/trace.hpp"

using namespace metadata_fixture;

namespace {

// Reference implementation of pattern matching: tries every length for '*'.
bool referenceMatches(std::string_view pattern, std::string_view path) {
    if (pattern.empty()) return path.empty();
    if (pattern[0] == '*') {
        for (std::size_t taken = 0; taken <= path.size(); ++taken) {
            if (referenceMatches(pattern.substr(1), path.substr(taken))) return true;
            if (taken < path.size() && path[taken] == '/') return false;
        }
        return false;
    }
    if (path.empty()) return false;
    if (pattern[0] == '?' ? path[0] == '/' : pattern[0] != path[0]) return false;
    return referenceMatches(pattern.substr(1), path.substr(1));
}

std::string randomText(std::mt19937& random, std::string_view letters, std::size_t maxLength) {
    std::string text;
    for (auto left = random() % (maxLength + 1); left > 0; --left) text += letters[random() % letters.size()];
    return text;
}

Json randomJson(std::mt19937& random, int depth) {
    switch (random() % (depth > 0 ? 7 : 5)) {
        case 0:
            return static_cast<std::int64_t>(std::uint64_t{random()} << 32 | random());
        case 1:
            return random() % 2 == 0;
        case 2:
            return nullptr;
        case 3:
        case 4:
            return randomText(random, "ab\"\\/\n\t \x01\x7f", 8) + "\xc3\xa9\xe2\x82\xac";
        case 5: {
            Json list = Json::array();
            for (auto left = random() % 4; left > 0; --left) list.push_back(randomJson(random, depth - 1));
            return list;
        }
        default: {
            Json object = Json::object();
            for (auto left = random() % 4; left > 0; --left)
                object[randomText(random, "abc\"", 4)] = randomJson(random, depth - 1);
            return object;
        }
    }
}

}  // namespace

TEST_CASE("pattern matching equals the reference implementation") {
    std::mt19937 random(11);
    int matched = 0;
    for (int round = 0; round < 200'000; ++round) {
        const auto pattern = randomText(random, "ab/*?", 8);
        const auto path = randomText(random, "ab/", 8);
        const bool expected = referenceMatches(pattern, path);
        matched += expected;
        REQUIRE_MESSAGE(patternMatches(pattern, path) == expected, pattern << " on " << path);
    }
    CHECK(matched > 1000);
    // Takes polynomial time: a backtracking matcher would take exponential time for this pattern.
    CHECK(!patternMatches(std::string(200, '*') + "b", std::string(2000, 'a')));
}

TEST_CASE("the delegation index finds the same delegations as a linear scan, in the same order") {
    std::mt19937 random(12);
    std::size_t found = 0;
    for (int round = 0; round < 300; ++round) {
        std::vector<std::vector<std::string>> patterns;
        std::vector<std::vector<std::string>> prefixes;
        DelegationIndex index;
        const auto count = 1 + random() % 40;
        for (std::uint32_t role = 0; role < count; ++role) {
            auto& rolePatterns = patterns.emplace_back();
            auto& digits = prefixes.emplace_back();
            const bool byHash = random() % 2;
            for (auto left = 1 + random() % 4; left > 0; --left)
                if (byHash) digits.push_back(randomText(random, "0123456789abcdef", 3));
                else rolePatterns.push_back(randomText(random, "ab/*?", 6));
            index.add(role, rolePatterns, digits);
        }
        index.seal();
        for (int look = 0; look < 50; ++look) {
            const auto path = randomText(random, "ab/", 6);
            const auto hash = digest("sha256", path);
            std::vector<std::uint32_t> expected;
            for (std::uint32_t role = 0; role < count; ++role) {
                bool matches = false;
                for (const auto& pattern : patterns[role])
                    matches = matches || referenceMatches(pattern, path);
                for (const auto& digits : prefixes[role])
                    matches = matches || hash.compare(0, digits.size(), digits) == 0;
                if (matches) expected.push_back(role);
            }
            found += expected.size();
            REQUIRE(index.matching(path, hash) == expected);
        }
    }
    CHECK(found > 10'000);
}

TEST_CASE("canonical JSON is the same after parsing any formatting of a value") {
    std::mt19937 random(13);
    for (int round = 0; round < 20'000; ++round) {
        const auto value = randomJson(random, 4);
        // Through dump(), since canonical JSON leaves control characters unescaped and is not valid JSON.
        const auto read = parseJson(value.dump(static_cast<int>(random() % 3) - 1), 1 << 20);
        REQUIRE(read);
        REQUIRE(canonical(*read) == canonical(value));
    }
    CHECK(canonical({{"b", {{"\"", "a\\"}}}, {"a", {1, true, nullptr}}, {"\xc3\xa9", -7}}) ==
          "{\"a\":[1,true,null],\"b\":{\"\\\"\":\"a\\\\\"},\"\xc3\xa9\":-7}");
}

TEST_CASE("whatever mutation a document has, only signed content is trusted") {
    Repository repository;
    repository.delegateTo("targets", "rel", {"releases/*"});
    repository.target("rel", "releases/1", "one");
    repository.target("targets", "file", "two");
    repository.publish();
    const auto old = repository.files;
    Client before(repository.firstRoot());
    before.update(old, kStart + 60, {"releases/1"});
    repository.target("rel", "releases/2", "three");
    const auto oldKey = SigningKey::fromPem(repository.keys.at("root").toPem());
    repository.rotate("timestamp");
    repository.publishRoot({&*oldKey});
    repository.publish();
    const auto& now = repository.files;
    std::mt19937 random(14);
    std::set<std::string> published;
    for (const auto* set : {&old, &now})
        for (const auto& [served, text] : *set)
            published.insert(canonical((*parseJson(text, 1 << 20))["signed"]));
    std::vector<std::string> names;
    for (const auto& [name, bytes] : now)
        if (!old.contains(name) || old.at(name) != bytes) names.push_back(name);
    const std::string insertions[] = {"0", "9", "\"",      "{",   "}",    "[",    ",",
                                      ":", " ", "\\u0000", "1e9", "null", "\xff", "-"};
    int refused = 0;
    int accepted = 0;
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round) {
        auto files = now;
        const auto& name = names[random() % names.size()];
        auto& bytes = files.at(name);
        for (auto mutations = 1 + random() % 3; mutations > 0 && !bytes.empty(); --mutations) {
            const auto position = random() % bytes.size();
            switch (random() % 5) {
                case 0:
                    bytes[position] = static_cast<char>(bytes[position] ^ (1 << random() % 8));
                    break;
                case 1:
                    bytes.erase(position, 1 + random() % 20);
                    break;
                case 2:
                    bytes.insert(position, insertions[random() % std::size(insertions)]);
                    break;
                case 3:
                    bytes.insert(position, bytes.substr(random() % bytes.size(), random() % 60));
                    break;
                default:
                    bytes.resize(position);
                    break;
            }
        }
        auto client = before;
        const auto result = client.update(files, kStart + 60, {"releases/1", "releases/2"});
        if (result.find("done") == std::string::npos) {
            ++refused;
        } else {
            ++accepted;
            // Only what is not covered by a required signature has changed: whitespace or a surplus
            // signature.
            REQUIRE_MESSAGE((client.listingRole("releases/2") == "rel" || name == "3.root.json"),
                            name << ": " << bytes);
        }
        // In any case each stored document is, in canonical form, one that was published.
        for (const auto& [file, stored] : client.stored.files) {
            const auto read = parseJson(stored, 1 << 20);
            REQUIRE(read);
            REQUIRE_MESSAGE(published.count(canonical((*read)["signed"])), file << ": " << stored);
        }
    }
    MESSAGE("mutated repositories: " << rounds << ", refused " << refused << ", accepted " << accepted);
    CHECK(refused > rounds / 2);
    CHECK(accepted > 0);
}
