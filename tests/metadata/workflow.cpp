// The client workflow against outdated, corrupted, mixed or hostile repositories. Each case writes one line
// to a trace; a refused update must leave the stored metadata unchanged.
#include "support/metadata_repository.hpp"
#include "support/trace.hpp"

using namespace metadata_fixture;

namespace {

class CaseTrace {
  public:
    void note(const std::string& what, const std::string& result) {
        trace_ << what << ": " << maskVolatile(result) << '\n';
    }
    // Checks that the update is refused and leaves the stored metadata unchanged.
    void checkRefused(const std::string& what, Client& client,
                      const std::map<std::string, std::string>& files, UnixSeconds now = kStart + 60,
                      const std::vector<std::string>& paths = {}) {
        const auto before = client.stored.files;
        const auto result = client.update(files, now, paths);
        note(what, result);
        CHECK(result.find("done") == std::string::npos);
        CHECK(client.stored.files == before);
    }
    void matches(const std::string& name) { matchesTrace(name, trace_.str()); }

  private:
    std::stringstream trace_;
};

Json parse(const std::string& text) { return *parseJson(text, text.size()); }

// Changes a document and signs it with the role's key, as only the holder of the key can.
std::string changeAndSign(const Repository& repository, const std::string& role, Json envelope,
                          const std::function<void(Json&)>& change) {
    change(envelope["signed"]);
    envelope["signatures"] = Json::array();
    sign(envelope, repository.keys.at(role));
    return textOf(envelope);
}

}  // namespace

TEST_CASE("outdated, expired, mixed and replayed metadata is refused and changes nothing") {
    CaseTrace cases;
    Repository repository;
    repository.target("targets", "releases/1", "one");
    repository.publish();
    const auto old = repository.files;
    Client client(repository.firstRoot());
    cases.note("first", client.update(old));
    repository.target("targets", "releases/2", "two");
    repository.publish();
    const auto now = repository.files;
    cases.note("second", client.update(now));
    cases.note("again", client.update(now));

    auto files = now;
    files["timestamp.json"] = old.at("timestamp.json");
    cases.checkRefused("an older timestamp", client, files);
    {
        Repository tampered = repository;
        bumpVersion(tampered.timestamp, kStart + kDay);
        addListing(tampered.timestamp, "snapshot.json", listingOf(2, old.at("2.snapshot.json"), true));
        sign(tampered.timestamp, tampered.keys.at("timestamp"));
        files = tampered.files;
        files["timestamp.json"] = textOf(tampered.timestamp);
        cases.checkRefused("a new timestamp of an older snapshot", client, files);
    }
    {
        Repository tampered = repository;
        addListing(tampered.snapshot, "targets.json", listingOf(2, "", false));
        bumpVersion(tampered.snapshot, kStart + 7 * kDay);
        bumpVersion(tampered.timestamp, kStart + kDay);
        sign(tampered.snapshot, tampered.keys.at("snapshot"));
        tampered.writeFile("snapshot", versionOf(tampered.snapshot), textOf(tampered.snapshot));
        tampered.publishTimestamp();
        auto fresh = client;  // the new timestamp is stored although the snapshot is refused, as specified
        cases.note("a new snapshot of older targets", fresh.update(tampered.files));
        CHECK(fresh.stored.files.at("targets.json") == client.stored.files.at("targets.json"));
        CHECK(fresh.stored.files.at("snapshot.json") == client.stored.files.at("snapshot.json"));
    }
    {
        Repository tampered = repository;
        tampered.target("targets", "releases/3", "three");
        tampered.publish();
        files = tampered.files;
        files["4.targets.json"] = now.at("3.targets.json");
        auto fresh = client;
        cases.note("old targets under a new name", fresh.update(files));
        files = tampered.files;
        files["4.snapshot.json"] = now.at("3.snapshot.json");
        fresh = client;
        cases.note("mixed: a new timestamp, the old snapshot", fresh.update(files));
        files.erase("4.snapshot.json");
        fresh = client;
        cases.note("a snapshot that no one has", fresh.update(files));
    }
    files = now;
    files["2.root.json"] = now.at("1.root.json");
    cases.checkRefused("the old root replayed as the next", client, files);
    cases.checkRefused("at the timestamp's end", client, now, kStart + kDay);
    {
        Repository late = repository;
        late.timestampExpires = kStart + 30 * kDay;
        late.publish();
        auto fresh = client;
        cases.note("at the snapshot's end", fresh.update(late.files, kStart + 7 * kDay));
        late.snapshotExpires = kStart + 200 * kDay;
        late.timestampExpires = kStart + 200 * kDay;
        late.publish();
        fresh = client;
        cases.note("at the targets' end", fresh.update(late.files, kStart + 90 * kDay));
        CHECK(fresh.stored.files.at("targets.json") == client.stored.files.at("targets.json"));
    }
    cases.checkRefused("at the root's end", client, now, kStart + 365 * kDay);
    {
        Repository tampered = repository;
        tampered.addRole("rel");
        tampered.publish();
        auto fresh = client;
        cases.note("a role more", fresh.update(tampered.files));
        documentOf(tampered.snapshot)["meta"].erase("rel.json");
        tampered.roles.erase("rel");
        tampered.publish();
        cases.note("and it vanishes", fresh.update(tampered.files));
    }
    {
        Repository mixed = repository;
        mixed.hashed = true;
        mixed.target("targets", "releases/4", "four");
        mixed.publish();
        files = mixed.files;
        auto document = parse(files.at("4.targets.json"));
        documentOf(document)["targets"]["releases/4"]["length"] = 5;
        document["signatures"] = Json::array();
        sign(document, mixed.keys.at("targets"));
        files["4.targets.json"] = textOf(document);
        auto fresh = client;
        cases.note("other targets of the same version", fresh.update(files));
        files["4.targets.json"] = textOf(document) + " ";
        fresh = client;
        cases.note("and of another length", fresh.update(files));
    }
    cases.matches("metadata-sets");
}

TEST_CASE("roots are updated one version at a time, and a key rotation recovers from a fast-forward attack") {
    CaseTrace cases;
    Repository repository;
    Client client(repository.firstRoot());
    const auto first = repository.files;
    cases.note("first", client.update(first));
    for (int times = 0; times < 3; ++times) {
        // The new root is signed by the old and the new key.
        const auto old = repository.keys.at("root").toPem();
        const auto oldKey = SigningKey::fromPem(old);
        repository.rotate("root");
        repository.publishRoot({&*oldKey});
    }
    repository.publish();
    cases.note("three roots on", client.update(repository.files));
    CHECK(client.stored.files.count("root_history/3.root.json") == 1);
    {
        Client late(first.at("1.root.json"));
        auto files = repository.files;
        files["3.root.json"] = files.at("4.root.json");
        cases.note("a root left out", late.update(files));
        CHECK(late.stored.files.count("timestamp.json") == 0);
        Client bounded(first.at("1.root.json"));
        bounded.update(repository.files, kStart + 60, {}, {2, 64});
        CHECK(bounded.stored.files.count("root_history/3.root.json") == 1);
        CHECK(bounded.stored.files.count("root_history/4.root.json") == 0);
    }
    {
        Repository attacked = repository;
        attacked.rotate("root");
        attacked.publishRoot();  // signed by the new key alone
        cases.checkRefused("a root not signed by the old key", client, attacked.files);
        Repository other = repository;
        const auto oldKey = SigningKey::fromPem(other.keys.at("root").toPem());
        other.rotate("root");
        other.root["signatures"] = Json::array();
        sign(other.root, *oldKey);
        other.files["5.root.json"] = textOf(other.root);
        cases.checkRefused("a root not signed by the new key", client, other.files);
    }
    {
        // Fast-forward attack: the timestamp key is stolen and the version set close to the maximum.
        Repository stolen = repository;
        documentOf(stolen.timestamp)["version"] = std::int64_t{9'000'000'000'000'000'000};
        stolen.publishTimestamp();
        auto victim = client;
        cases.note("fast-forward", victim.update(stolen.files));
        cases.checkRefused("and back, with the key as it was", victim, repository.files);
        Repository repaired = repository;
        repaired.rotate("timestamp");
        repaired.publishRoot();
        repaired.publish();
        cases.note("and back, with a new key", victim.update(repaired.files));
    }
    {
        Repository stolen = repository;
        documentOf(stolen.snapshot)["version"] = 5000;
        documentOf(stolen.snapshot)["meta"]["targets.json"]["version"] = 1;
        stolen.snapshot["signatures"] = Json::array();
        sign(stolen.snapshot, stolen.keys.at("snapshot"));
        stolen.writeFile("snapshot", 5000, textOf(stolen.snapshot));
        bumpVersion(stolen.timestamp, kStart + kDay);
        stolen.publishTimestamp();
        auto victim = client;
        cases.note("the snapshot's fast-forward", victim.update(stolen.files));
        Repository repaired = repository;
        repaired.rotate("snapshot");
        repaired.publishRoot();
        repaired.publish();
        documentOf(repaired.timestamp)["version"] = versionOf(stolen.timestamp) + 1;
        repaired.publishTimestamp();
        // The timestamp key is unchanged, and the stored timestamp lists the fast-forwarded snapshot. It must
        // be removed in the same transaction as the new root is stored: the update may stop after that.
        auto cut = victim;
        auto files = repaired.files;
        files.erase("timestamp.json");
        cases.note("cut off behind the new root", cut.update(files));
        CHECK(!cut.stored.read("timestamp.json"));
        cases.note("and the next update", cut.update(repaired.files));
        auto bounded = victim;
        cases.note("the new root is the last that the bound allows",
                   bounded.update(repaired.files, kStart + 60, {}, {1, 64}));
        cases.note("and back, with a new key", victim.update(repaired.files));
    }
    cases.matches("metadata-roots");
}

TEST_CASE("only distinct keys with a valid id and scheme count towards a threshold") {
    CaseTrace cases;
    Repository repository;
    const auto second = SigningKey::generate(Scheme::ecdsaP256);
    const auto third = SigningKey::generate(Scheme::rsaPss);
    const auto rootWith = [&](const std::function<void(Json&)>& change,
                              std::vector<const SigningKey*> signers = {}) {
        Repository changed = repository;
        change(documentOf(changed.root));
        changed.root["signatures"] = Json::array();
        changed.publishRoot();
        changed.timestamp["signatures"] = Json::array();
        sign(changed.timestamp, changed.keys.at("timestamp"));
        for (const auto* signer : signers) sign(changed.timestamp, *signer);
        changed.files["timestamp.json"] = textOf(changed.timestamp);
        return changed;
    };
    const auto play = [&](const std::string& what, const Repository& changed) {
        Client client(changed.firstRoot());
        cases.note(what, client.update(changed.files));
    };
    const auto two = [&](const SigningKey& other) {
        return [&](Json& root) {
            root["keys"][other.key().id()] = other.key().object();
            root["roles"]["timestamp"]["keyids"].push_back(other.key().id());
            root["roles"]["timestamp"]["threshold"] = 2;
        };
    };
    play("ed25519 and ecdsa, both", rootWith(two(second), {&second}));
    play("ed25519 and rsa, both", rootWith(two(third), {&third}));
    play("one of two", rootWith(two(second)));
    play("the other is a stranger", rootWith(two(second), {&third}));
    {
        // The same key under a second id: an additional field changes the canonical form and so the id.
        auto twice = repository.keys.at("timestamp").key().object();
        twice["note"] = "the same key";
        const auto id = keyId(twice);
        auto changed = rootWith([&](Json& root) {
            root["keys"][id] = twice;
            root["roles"]["timestamp"]["keyids"].push_back(id);
            root["roles"]["timestamp"]["threshold"] = 2;
        });
        const auto signature = changed.timestamp["signatures"][0]["sig"];
        changed.timestamp["signatures"].push_back({{"keyid", id}, {"sig", signature}});
        changed.files["timestamp.json"] = textOf(changed.timestamp);
        play("one key under two ids", changed);
        changed.timestamp["signatures"][1]["keyid"] = changed.timestamp["signatures"][0]["keyid"];
        changed.files["timestamp.json"] = textOf(changed.timestamp);
        play("one signature twice", changed);
    }
    play("a key under another's id", rootWith([&](Json& root) {
             const auto id = root["roles"]["timestamp"]["keyids"][0].get<std::string>();
             root["keys"][id] = second.key().object();
         }));
    play("a key id twice in a role", rootWith([&](Json& root) {
             auto& ids = root["roles"]["timestamp"]["keyids"];
             ids.push_back(ids[0]);
         }));
    play("a threshold of none", rootWith([](Json& root) { root["roles"]["timestamp"]["threshold"] = 0; }));
    play("a role is missing", rootWith([](Json& root) { root["roles"].erase("snapshot"); }));
    {
        const Json unknown = {
            {"keytype", "lattice"}, {"scheme", "lattice-9"}, {"keyval", {{"public", "00"}}}};
        play("an unknown kind of key beside", rootWith([&](Json& root) {
                 root["keys"][keyId(unknown)] = unknown;
                 root["roles"]["timestamp"]["keyids"].push_back(keyId(unknown));
             }));
        play("an unknown kind of key is needed", rootWith([&](Json& root) {
                 root["keys"][keyId(unknown)] = unknown;
                 root["roles"]["timestamp"]["keyids"] = {keyId(unknown)};
             }));
        play("a key's scheme is not its kind's",
             rootWith(
                 [&](Json& root) {
                     auto object = second.key().object();
                     object["scheme"] = "ed25519";
                     root["keys"][keyId(object)] = object;
                     root["roles"]["timestamp"]["keyids"] = {keyId(object)};
                 },
                 {&second}));
    }
    play("an unknown field that is signed", rootWith([](Json& root) { root["x-later"] = {{"a", 1}}; }));
    {
        Repository changed = repository;
        auto document = parse(changed.files.at("timestamp.json"));
        documentOf(document)["x-later"] = 1;  // after signing
        changed.files["timestamp.json"] = textOf(document);
        play("an unknown field that is not", changed);
    }
    cases.matches("metadata-keys");
}

TEST_CASE("malformed metadata is refused with the matching reason") {
    CaseTrace cases;
    Repository repository;
    Client client(repository.firstRoot());
    client.update(repository.files);
    bumpVersion(repository.timestamp, kStart + kDay);
    repository.publishTimestamp();
    const auto good = repository.files.at("timestamp.json");
    const auto bytes = [&](const std::string& what, const std::string& text) {
        auto files = repository.files;
        files["timestamp.json"] = text;
        cases.checkRefused(what, client, files);
    };
    const auto document = [&](const std::string& what, const std::function<void(Json&)>& change) {
        bytes(what, changeAndSign(repository, "timestamp", repository.timestamp, change));
    };
    const auto insertMember = [&](const std::string& text) {
        auto changedText = good;
        return changedText.insert(changedText.find("\"_type\""), text);
    };
    bytes("nothing", "");
    bytes("half of it", good.substr(0, good.size() / 2));
    bytes("two of them", good + good);
    bytes("a list", "[]");
    bytes("not signed", "{\"signed\": {}, \"signatures\": []}");
    bytes("a member twice", insertMember("\"_type\": \"timestamp\", "));
    bytes("a member twice, deep inside", insertMember("\"x\": {\"a\": {\"b\": 1, \"b\": 2}}, "));
    bytes("a fraction", insertMember("\"x\": 1.0, "));
    bytes("an exponent", insertMember("\"x\": 1e3, "));
    bytes("a number beyond 64 bits", insertMember("\"x\": 9223372036854775808, "));
    bytes("a negative one beyond 64 bits", insertMember("\"x\": -9223372036854775809, "));
    bytes("invalid UTF-8", insertMember("\"x\": \"\xc3\x28\", "));
    bytes("a surrogate alone", insertMember("\"x\": \"\\ud800\", "));
    bytes("nested 40 deep", insertMember("\"x\": " + std::string(40, '[') + std::string(40, ']') + ", "));
    bytes("20,000 bytes", good + std::string(20'000, ' '));
    document("version 0", [](Json& fields) { fields["version"] = 0; });
    document("version below 0", [](Json& fields) { fields["version"] = -3; });
    document("version as a text", [](Json& fields) { fields["version"] = "3"; });
    document("another type", [](Json& fields) { fields["_type"] = "snapshot"; });
    document("another major version", [](Json& fields) { fields["spec_version"] = "2.0.0"; });
    document("no version of the specification", [](Json& fields) { fields.erase("spec_version"); });
    document("a time with an offset", [](Json& fields) { fields["expires"] = "2030-01-01T00:00:00+01:00"; });
    document("the 30th of February", [](Json& fields) { fields["expires"] = "2030-02-30T00:00:00Z"; });
    document("no snapshot in it", [](Json& fields) { fields["meta"] = Json::object(); });
    document("another file beside the snapshot", [](Json& fields) {
        fields["meta"]["x.json"] = {{"version", 1}};
    });
    document("a length below 0", [](Json& fields) { fields["meta"]["snapshot.json"]["length"] = -1; });
    {
        auto files = repository.files;
        files["timestamp.json"] =
            changeAndSign(repository, "timestamp", repository.timestamp, [](Json& fields) {
                fields["meta"]["snapshot.json"]["hashes"] = {{"md5", "00"}};
            });
        Client fresh(repository.firstRoot());
        cases.note("a hash of no known kind", fresh.update(files));
        CHECK(!fresh.stored.read("snapshot.json"));
    }
    bytes("signed by no one", [&] {
        auto envelope = repository.timestamp;
        envelope["signatures"] = Json::array();
        return textOf(envelope);
    }());
    bytes("a signature that is no hex", [&] {
        auto envelope = repository.timestamp;
        envelope["signatures"][0]["sig"] = "xyz";
        return textOf(envelope);
    }());
    cases.matches("metadata-bytes");
}

TEST_CASE("names of roles and targets cannot escape the store, and invalid names are refused") {
    CaseTrace cases;
    const auto role = [&](const std::string& what, const std::string& name) {
        Repository repository;
        repository.keys.emplace(name, SigningKey::generate(Scheme::ed25519));
        Json entry = {{"name", name},
                      {"keyids", {repository.keys.at(name).key().id()}},
                      {"threshold", 1},
                      {"terminating", false},
                      {"paths", {"*"}}};
        auto& delegations = documentOf(repository.role("targets"))["delegations"];
        delegations["keys"][repository.keys.at(name).key().id()] = repository.keys.at(name).key().object();
        delegations["roles"] = {entry};
        repository.markChanged("targets");
        repository.roles.emplace(name, newTargets(kStart + 90 * kDay));
        addTarget(repository.roles.at(name), "file", "bytes");
        repository.publish();
        Client client(repository.firstRoot());
        const auto result = client.update(repository.files, kStart + 60, {"file"});
        cases.note("role " + what, result + ", listed by " + escaped(client.listingRole("file"), 60));
        for (const auto& [file, bytes] : client.stored.files) {
            CHECK((file.find('/') == std::string::npos || file.compare(0, 13, "root_history/") == 0));
            CHECK(file.find('\0') == std::string::npos);
            CHECK(file.size() < 256);
        }
    };
    role("with dots", "../../etc/passwd");
    role("with a slash", "a/b");
    role("with %", "%2e%2e%2fx");
    role("with NUL", std::string("a\0b", 3));
    role("of 300 letters", std::string(300, 'r'));
    role("of 100 slashes", std::string(100, '/'));
    role("of nothing", "");
    role("as the timestamp's", "timestamp");
    role("as a question", "?#");
    const auto target = [&](const std::string& what, const std::string& name) {
        Repository repository;
        documentOf(repository.role("targets"))["targets"][name] = {
            {"length", 5}, {"hashes", {{"sha256", digest("sha256", "bytes")}}}};
        repository.markChanged("targets");
        repository.publish();
        Client client(repository.firstRoot());
        const auto result = client.update(repository.files, kStart + 60, {name});
        cases.note("target " + what, result + ", listed by " + client.listingRole(name));
    };
    target("with dots", "../../etc/passwd");
    target("with %", "%2e%2e/x");
    target("with NUL", std::string("a\0b", 3));
    target("of 300 letters", std::string(300, 't'));
    target("of 2,000 letters", std::string(2000, 't'));
    target("of nothing", "");
    cases.matches("metadata-names");
}

TEST_CASE(
    "delegations are searched by priority in preorder, up to a terminating one, each role once, within the "
    "limit") {
    CaseTrace cases;
    Repository repository;
    const auto play = [&](const std::string& what, Repository& repo, const std::vector<std::string>& paths,
                          UpdateLimits limits = {}) {
        repo.publish();
        Client client(repo.firstRoot());
        auto result = client.update(repo.files, kStart + 60, paths, limits);
        for (const auto& path : paths) result += ", " + path + " by " + client.listingRole(path);
        cases.note(what, result + ", visited " + std::to_string(client.visited));
        return client;
    };
    {
        Repository repo = repository;
        repo.delegateTo("targets", "first", {"releases/*"});
        repo.delegateTo("targets", "second", {"releases/*"});
        repo.delegateTo("first", "inner", {"releases/*"});
        repo.target("inner", "releases/a", "inner's");
        repo.target("second", "releases/a", "second's");
        repo.target("second", "releases/b", "second's");
        repo.target("second", "other/c", "not its path");
        auto client = play("preorder", repo, {"releases/a", "releases/b", "other/c", "releases/x/y"});
        CHECK(client.requestedPaths.size() == 7);  // no role is fetched twice in one update
        cases.note("and kept", client.update(repo.files, kStart + 61, {"releases/a", "releases/b"}));
        CHECK(client.requestedPaths.size() == 2);  // the next root, the timestamp
    }
    {
        Repository repo = repository;
        repo.delegateTo("targets", "first", {"releases/*"}, true);
        repo.delegateTo("targets", "second", {"releases/*"});
        repo.target("second", "releases/a", "second's");
        play("terminating", repo, {"releases/a"});
    }
    {
        Repository repo = repository;
        repo.delegateTo("targets", "outer", {"*"});
        repo.delegateTo("targets", "behind", {"*"});
        repo.delegateTo("outer", "inner", {"*"}, true);
        repo.target("behind", "a", "behind's");
        play("terminating within", repo, {"a"});
    }
    {
        Repository repo = repository;
        repo.delegateTo("targets", "one", {"*"});
        repo.delegateTo("one", "two", {"*"});
        repo.delegateTo("two", "one", {"*"});
        repo.target("two", "b", "two's");
        play("a cycle", repo, {"a", "b"});
    }
    {
        Repository repo = repository;
        for (int role = 0; role < 12; ++role)
            repo.delegateTo(role ? "r" + std::to_string(role - 1) : "targets", "r" + std::to_string(role),
                            {"*"});
        play("a chain within the bound", repo, {"a"}, {256, 12});
        play("a chain beyond it", repo, {"a"}, {256, 11});
    }
    {
        Repository repo = repository;
        const auto hash = digest("sha256", "releases/a");
        repo.delegateTo("targets", "no", {}, false, {"f00000"});
        repo.delegateTo("targets", "yes", {}, false, {"ffffff", hash.substr(0, 2)});
        repo.target("yes", "releases/a", "bytes");
        play("hash prefixes", repo, {"releases/a"});
    }
    {
        Repository repo = repository;
        repo.addRole("bins-" + digest("sha256", "releases/a").substr(0, 1));
        const auto& key = repo.keys.at("bins-" + digest("sha256", "releases/a").substr(0, 1)).key();
        CHECK(!delegateBins(repo.role("targets"), {{{key.id()}, 1}, 4, "bins"}, {key}));
        repo.markChanged("targets");
        repo.target("bins-" + digest("sha256", "releases/a").substr(0, 1), "releases/a", "bytes");
        play("succinct bins", repo, {"releases/a"});
    }
    {
        // Two parents delegate to the same role name with different keys.
        Repository repo = repository;
        repo.delegateTo("targets", "a", {"a/*"});
        repo.delegateTo("targets", "b", {"b/*"});
        repo.delegateTo("a", "shared", {"*/*"});
        const auto honest = SigningKey::fromPem(repo.keys.at("shared").toPem());
        const auto other = SigningKey::generate(Scheme::ed25519);
        delegate(repo.role("b"), {"shared", {{other.key().id()}, 1}, false, {"*/*"}, {}}, {other.key()});
        repo.markChanged("b");
        repo.target("shared", "a/x", "a's");
        repo.target("shared", "b/x", "a's, not b's");
        play("a role under two parents with other keys", repo, {"a/x", "b/x"});
    }
    {
        Repository repo = repository;
        repo.delegateTo("targets", "first", {"*"});
        repo.publish();
        documentOf(repo.snapshot)["meta"].erase("first.json");
        repo.roles.erase("first");
        Repository gone(repo);
        play("a role that no snapshot lists", gone, {"a"});
    }
    {
        Repository repo(false);
        repo.delegateTo("targets", "first", {"*"});
        repo.target("first", "a", "bytes");
        play("without consistent snapshots", repo, {"a"});
    }
    {
        Repository repo = repository;
        repo.delegateTo("targets", "first", {"*"});
        auto& envelope = repo.role("targets");
        documentOf(envelope)["delegations"]["roles"][0]["path_hash_prefixes"] = {"00"};
        play("paths and prefixes at once", repo, {"a"});
        documentOf(envelope)["delegations"]["roles"][0].erase("paths");
        documentOf(envelope)["delegations"]["roles"][0]["path_hash_prefixes"] = {"XY"};
        repo.markChanged("targets");
        play("a prefix that is no hex", repo, {"a"});
    }
    cases.matches("metadata-delegations");
}

TEST_CASE("documents are refused in a wrong order") {
    Repository repository;
    repository.addRole("rel");
    repository.publish();
    auto set = TrustedSet::start(repository.firstRoot(), kStart);
    REQUIRE(set);
    const auto& files = repository.files;
    std::stringstream trace;
    const auto note = [&](const char* what, const Check& refusal) {
        trace << what << ": " << (refusal ? refusal->text() : "accepted") << '\n';
    };
    note("targets first", set->targets(files.at("1.targets.json")));
    note("snapshot first", set->snapshot(files.at("2.snapshot.json")));
    note("timestamp", set->timestamp(files.at("timestamp.json")));
    note("a root behind it", set->root(files.at("1.root.json")));
    note("targets before the snapshot", set->targets(files.at("1.targets.json")));
    note("snapshot", set->snapshot(files.at("2.snapshot.json")));
    note("a timestamp behind it", set->timestamp(files.at("timestamp.json")));
    note("a role before its parent", set->delegated(files.at("1.rel.json"), "rel", "targets"));
    note("targets", set->targets(files.at("1.targets.json")));
    note("a role that is not delegated to", set->delegated(files.at("1.rel.json"), "rel", "targets"));
    note("a snapshot behind it", set->snapshot(files.at("2.snapshot.json")));
    note("a role unheard of", set->delegated(files.at("1.rel.json"), "nobody", "targets"));
    matchesTrace("metadata-order", trace.str());
}
