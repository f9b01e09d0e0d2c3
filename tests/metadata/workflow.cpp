// The client's workflow against repositories that are old, spoilt, mixed or hostile. Each case prints one
// line, and what was trusted before must still be in force after a refusal.
#include "support/metadata_repository.hpp"
#include "support/trace.hpp"

using namespace metadata_fixture;

namespace {

class Tape {
  public:
    void note(const std::string& what, const std::string& said) {
        tape_ << what << ": " << maskVolatile(said) << '\n';
    }
    // A refusal changes nothing of what is kept.
    void refuses(const std::string& what, Client& client, const std::map<std::string, std::string>& files,
                 UnixSeconds now = kStart + 60, const std::vector<std::string>& paths = {}) {
        const auto before = client.stored.files;
        const auto said = client.update(files, now, paths);
        note(what, said);
        CHECK(said.find("done") == std::string::npos);
        CHECK(client.stored.files == before);
    }
    void matches(const std::string& name) { matchesTrace(name, tape_.str()); }

  private:
    std::stringstream tape_;
};

Json parsed(const std::string& text) { return *parseJson(text, text.size()); }

// A document with a change, signed again by the role's own key: what only a key's holder could make.
std::string resigned(const Repository& repository, const std::string& role, Json envelope,
                     const std::function<void(Json&)>& change) {
    change(envelope["signed"]);
    envelope["signatures"] = Json::array();
    sign(envelope, repository.keys.at(role));
    return textOf(envelope);
}

}  // namespace

TEST_CASE("older, expired, mixed and replayed sets are refused and change nothing") {
    Tape tape;
    Repository repository;
    repository.target("targets", "releases/1", "one");
    repository.publish();
    const auto old = repository.files;
    Client client(repository.firstRoot());
    tape.note("first", client.update(old));
    repository.target("targets", "releases/2", "two");
    repository.publish();
    const auto now = repository.files;
    tape.note("second", client.update(now));
    tape.note("again", client.update(now));

    auto files = now;
    files["timestamp.json"] = old.at("timestamp.json");
    tape.refuses("an older timestamp", client, files);
    {
        Repository spoilt = repository;
        bumpVersion(spoilt.timestamp, kStart + kDay);
        addListing(spoilt.timestamp, "snapshot.json", listingOf(2, old.at("2.snapshot.json"), true));
        sign(spoilt.timestamp, spoilt.keys.at("timestamp"));
        files = spoilt.files;
        files["timestamp.json"] = textOf(spoilt.timestamp);
        tape.refuses("a new timestamp of an older snapshot", client, files);
    }
    {
        Repository spoilt = repository;
        addListing(spoilt.snapshot, "targets.json", listingOf(2, "", false));
        bumpVersion(spoilt.snapshot, kStart + 7 * kDay);
        bumpVersion(spoilt.timestamp, kStart + kDay);
        sign(spoilt.snapshot, spoilt.keys.at("snapshot"));
        spoilt.writeFile("snapshot", versionOf(spoilt.snapshot), textOf(spoilt.snapshot));
        spoilt.publishTimestamp();
        auto kNewSuffix = client;  // the timestamp is taken before the snapshot is seen, as it should be
        tape.note("a new snapshot of older targets", kNewSuffix.update(spoilt.files));
        CHECK(kNewSuffix.stored.files.at("targets.json") == client.stored.files.at("targets.json"));
        CHECK(kNewSuffix.stored.files.at("snapshot.json") == client.stored.files.at("snapshot.json"));
    }
    {
        Repository spoilt = repository;
        spoilt.target("targets", "releases/3", "three");
        spoilt.publish();
        files = spoilt.files;
        files["4.targets.json"] = now.at("3.targets.json");
        auto kNewSuffix = client;
        tape.note("old targets under a new name", kNewSuffix.update(files));
        files = spoilt.files;
        files["4.snapshot.json"] = now.at("3.snapshot.json");
        kNewSuffix = client;
        tape.note("mixed: a new timestamp, the old snapshot", kNewSuffix.update(files));
        files.erase("4.snapshot.json");
        kNewSuffix = client;
        tape.note("a snapshot that no one has", kNewSuffix.update(files));
    }
    files = now;
    files["2.root.json"] = now.at("1.root.json");
    tape.refuses("the old root replayed as the next", client, files);
    tape.refuses("at the timestamp's end", client, now, kStart + kDay);
    {
        Repository late = repository;
        late.timestampUntil = kStart + 30 * kDay;
        late.publish();
        auto kNewSuffix = client;
        tape.note("at the snapshot's end", kNewSuffix.update(late.files, kStart + 7 * kDay));
        late.snapshotUntil = kStart + 200 * kDay;
        late.timestampUntil = kStart + 200 * kDay;
        late.publish();
        kNewSuffix = client;
        tape.note("at the targets' end", kNewSuffix.update(late.files, kStart + 90 * kDay));
        CHECK(kNewSuffix.stored.files.at("targets.json") == client.stored.files.at("targets.json"));
    }
    tape.refuses("at the root's end", client, now, kStart + 365 * kDay);
    {
        Repository spoilt = repository;
        spoilt.addRole("rel");
        spoilt.publish();
        auto kNewSuffix = client;
        tape.note("a role more", kNewSuffix.update(spoilt.files));
        documentOf(spoilt.snapshot)["meta"].erase("rel.json");
        spoilt.roles.erase("rel");
        spoilt.publish();
        tape.note("and it vanishes", kNewSuffix.update(spoilt.files));
    }
    {
        Repository mixed = repository;
        mixed.hashed = true;
        mixed.target("targets", "releases/4", "four");
        mixed.publish();
        files = mixed.files;
        auto document = parsed(files.at("4.targets.json"));
        documentOf(document)["targets"]["releases/4"]["length"] = 5;
        document["signatures"] = Json::array();
        sign(document, mixed.keys.at("targets"));
        files["4.targets.json"] = textOf(document);
        auto kNewSuffix = client;
        tape.note("other targets of the same version", kNewSuffix.update(files));
        files["4.targets.json"] = textOf(document) + " ";
        kNewSuffix = client;
        tape.note("and of another length", kNewSuffix.update(files));
    }
    tape.matches("metadata-sets");
}

TEST_CASE("roots are followed one by one, and rotated keys undo a fast-forward") {
    Tape tape;
    Repository repository;
    Client client(repository.firstRoot());
    const auto first = repository.files;
    tape.note("first", client.update(first));
    for (int times = 0; times < 3; ++times) {
        // The new root is signed by the old key and by the new one.
        const auto old = repository.keys.at("root").toPem();
        const auto held = SigningKey::fromPem(old);
        repository.rotate("root");
        repository.publishRoot({&*held});
    }
    repository.publish();
    tape.note("three roots on", client.update(repository.files));
    CHECK(client.stored.files.count("root_history/3.root.json") == 1);
    {
        Client late(first.at("1.root.json"));
        auto files = repository.files;
        files["3.root.json"] = files.at("4.root.json");
        tape.note("a root left out", late.update(files));
        CHECK(late.stored.files.count("timestamp.json") == 0);
        Client bounded(first.at("1.root.json"));
        bounded.update(repository.files, kStart + 60, {}, {2, 64});
        CHECK(bounded.stored.files.count("root_history/3.root.json") == 1);
        CHECK(bounded.stored.files.count("root_history/4.root.json") == 0);
    }
    {
        Repository thief = repository;
        thief.rotate("root");
        thief.publishRoot();  // by the new key alone
        tape.refuses("a root not signed by the old key", client, thief.files);
        Repository other = repository;
        const auto held = SigningKey::fromPem(other.keys.at("root").toPem());
        other.rotate("root");
        other.root["signatures"] = Json::array();
        sign(other.root, *held);
        other.files["5.root.json"] = textOf(other.root);
        tape.refuses("a root not signed by the new key", client, other.files);
    }
    {
        // The timestamp's key is stolen, and its version brought to the top.
        Repository stolen = repository;
        documentOf(stolen.timestamp)["version"] = std::int64_t{9'000'000'000'000'000'000};
        stolen.publishTimestamp();
        auto victim = client;
        tape.note("fast-forward", victim.update(stolen.files));
        tape.refuses("and back, with the key as it was", victim, repository.files);
        Repository mended = repository;
        mended.rotate("timestamp");
        mended.publishRoot();
        mended.publish();
        tape.note("and back, with a new key", victim.update(mended.files));
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
        tape.note("the snapshot's fast-forward", victim.update(stolen.files));
        Repository mended = repository;
        mended.rotate("snapshot");
        mended.publishRoot();
        mended.publish();
        documentOf(mended.timestamp)["version"] = versionOf(stolen.timestamp) + 1;
        mended.publishTimestamp();
        // The timestamp's key is as it was, and its kept version lists the snapshot that went ahead. It must
        // be forgotten with the new root, in the same step: an update may end between the two.
        auto cut = victim;
        auto files = mended.files;
        files.erase("timestamp.json");
        tape.note("cut off behind the new root", cut.update(files));
        CHECK(!cut.stored.read("timestamp.json"));
        tape.note("and the next update", cut.update(mended.files));
        auto bounded = victim;
        tape.note("the new root is the last that the bound allows",
                  bounded.update(mended.files, kStart + 60, {}, {1, 64}));
        tape.note("and back, with a new key", victim.update(mended.files));
    }
    tape.matches("metadata-roots");
}

TEST_CASE("thresholds count distinct keys that are what they say") {
    Tape tape;
    Repository repository;
    const auto second = SigningKey::generate(Scheme::ecdsaP256);
    const auto third = SigningKey::generate(Scheme::rsaPss);
    const auto with = [&](const std::function<void(Json&)>& change,
                          std::vector<const SigningKey*> signers = {}) {
        Repository changedOne = repository;
        change(documentOf(changedOne.root));
        changedOne.root["signatures"] = Json::array();
        changedOne.publishRoot();
        changedOne.timestamp["signatures"] = Json::array();
        sign(changedOne.timestamp, changedOne.keys.at("timestamp"));
        for (const auto* signer : signers) sign(changedOne.timestamp, *signer);
        changedOne.files["timestamp.json"] = textOf(changedOne.timestamp);
        return changedOne;
    };
    const auto play = [&](const std::string& what, const Repository& changedOne) {
        Client client(changedOne.firstRoot());
        tape.note(what, client.update(changedOne.files));
    };
    const auto two = [&](const SigningKey& other) {
        return [&](Json& root) {
            root["keys"][other.key().id()] = other.key().object();
            root["roles"]["timestamp"]["keyids"].push_back(other.key().id());
            root["roles"]["timestamp"]["threshold"] = 2;
        };
    };
    play("ed25519 and ecdsa, both", with(two(second), {&second}));
    play("ed25519 and rsa, both", with(two(third), {&third}));
    play("one of two", with(two(second)));
    play("the other is a stranger", with(two(second), {&third}));
    {
        // The same key under a second id: a field more makes another canonical form, and so another id.
        auto twice = repository.keys.at("timestamp").key().object();
        twice["note"] = "the same key";
        const auto id = keyId(twice);
        auto changedOne = with([&](Json& root) {
            root["keys"][id] = twice;
            root["roles"]["timestamp"]["keyids"].push_back(id);
            root["roles"]["timestamp"]["threshold"] = 2;
        });
        const auto signature = changedOne.timestamp["signatures"][0]["sig"];
        changedOne.timestamp["signatures"].push_back({{"keyid", id}, {"sig", signature}});
        changedOne.files["timestamp.json"] = textOf(changedOne.timestamp);
        play("one key under two ids", changedOne);
        changedOne.timestamp["signatures"][1]["keyid"] = changedOne.timestamp["signatures"][0]["keyid"];
        changedOne.files["timestamp.json"] = textOf(changedOne.timestamp);
        play("one signature twice", changedOne);
    }
    play("a key under another's id", with([&](Json& root) {
             const auto id = root["roles"]["timestamp"]["keyids"][0].get<std::string>();
             root["keys"][id] = second.key().object();
         }));
    play("a key id twice in a role", with([&](Json& root) {
             auto& ids = root["roles"]["timestamp"]["keyids"];
             ids.push_back(ids[0]);
         }));
    play("a threshold of none", with([](Json& root) { root["roles"]["timestamp"]["threshold"] = 0; }));
    play("a role is missing", with([](Json& root) { root["roles"].erase("snapshot"); }));
    {
        const Json unknown = {
            {"keytype", "lattice"}, {"scheme", "lattice-9"}, {"keyval", {{"public", "00"}}}};
        play("an unknown kind of key beside", with([&](Json& root) {
                 root["keys"][keyId(unknown)] = unknown;
                 root["roles"]["timestamp"]["keyids"].push_back(keyId(unknown));
             }));
        play("an unknown kind of key is needed", with([&](Json& root) {
                 root["keys"][keyId(unknown)] = unknown;
                 root["roles"]["timestamp"]["keyids"] = {keyId(unknown)};
             }));
        play("a key's scheme is not its kind's",
             with(
                 [&](Json& root) {
                     auto object = second.key().object();
                     object["scheme"] = "ed25519";
                     root["keys"][keyId(object)] = object;
                     root["roles"]["timestamp"]["keyids"] = {keyId(object)};
                 },
                 {&second}));
    }
    play("an unknown field that is signed", with([](Json& root) { root["x-later"] = {{"a", 1}}; }));
    {
        Repository changedOne = repository;
        auto document = parsed(changedOne.files.at("timestamp.json"));
        documentOf(document)["x-later"] = 1;  // behind the signer's back
        changedOne.files["timestamp.json"] = textOf(document);
        play("an unknown field that is not", changedOne);
    }
    tape.matches("metadata-keys");
}

TEST_CASE("what is no metadata is refused by its kind") {
    Tape tape;
    Repository repository;
    Client client(repository.firstRoot());
    client.update(repository.files);
    bumpVersion(repository.timestamp, kStart + kDay);
    repository.publishTimestamp();
    const auto good = repository.files.at("timestamp.json");
    const auto bytes = [&](const std::string& what, const std::string& text) {
        auto files = repository.files;
        files["timestamp.json"] = text;
        tape.refuses(what, client, files);
    };
    const auto document = [&](const std::string& what, const std::function<void(Json&)>& change) {
        bytes(what, resigned(repository, "timestamp", repository.timestamp, change));
    };
    const auto inserted = [&](const std::string& text) {
        auto changedText = good;
        return changedText.insert(changedText.find("\"_type\""), text);
    };
    bytes("nothing", "");
    bytes("half of it", good.substr(0, good.size() / 2));
    bytes("two of them", good + good);
    bytes("a list", "[]");
    bytes("not signed", "{\"signed\": {}, \"signatures\": []}");
    bytes("a member twice", inserted("\"_type\": \"timestamp\", "));
    bytes("a member twice, deep inside", inserted("\"x\": {\"a\": {\"b\": 1, \"b\": 2}}, "));
    bytes("a fraction", inserted("\"x\": 1.0, "));
    bytes("an exponent", inserted("\"x\": 1e3, "));
    bytes("a number beyond 64 bits", inserted("\"x\": 9223372036854775808, "));
    bytes("a negative one beyond 64 bits", inserted("\"x\": -9223372036854775809, "));
    bytes("invalid UTF-8", inserted("\"x\": \"\xc3\x28\", "));
    bytes("a surrogate alone", inserted("\"x\": \"\\ud800\", "));
    bytes("nested 40 deep", inserted("\"x\": " + std::string(40, '[') + std::string(40, ']') + ", "));
    bytes("20,000 bytes", good + std::string(20'000, ' '));
    document("version 0", [](Json& of) { of["version"] = 0; });
    document("version below 0", [](Json& of) { of["version"] = -3; });
    document("version as a text", [](Json& of) { of["version"] = "3"; });
    document("another type", [](Json& of) { of["_type"] = "snapshot"; });
    document("another major version", [](Json& of) { of["spec_version"] = "2.0.0"; });
    document("no version of the specification", [](Json& of) { of.erase("spec_version"); });
    document("a time with an offset", [](Json& of) { of["expires"] = "2030-01-01T00:00:00+01:00"; });
    document("the 30th of February", [](Json& of) { of["expires"] = "2030-02-30T00:00:00Z"; });
    document("no snapshot in it", [](Json& of) { of["meta"] = Json::object(); });
    document("another file beside the snapshot", [](Json& of) { of["meta"]["x.json"] = {{"version", 1}}; });
    document("a length below 0", [](Json& of) { of["meta"]["snapshot.json"]["length"] = -1; });
    {
        auto files = repository.files;
        files["timestamp.json"] = resigned(repository, "timestamp", repository.timestamp, [](Json& of) {
            of["meta"]["snapshot.json"]["hashes"] = {{"md5", "00"}};
        });
        Client kNewSuffix(repository.firstRoot());
        tape.note("a hash of no known kind", kNewSuffix.update(files));
        CHECK(!kNewSuffix.stored.read("snapshot.json"));
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
    tape.matches("metadata-bytes");
}

TEST_CASE("names stay names: of roles and of targets") {
    Tape tape;
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
        const auto said = client.update(repository.files, kStart + 60, {"file"});
        tape.note("role " + what, said + ", listed by " + escaped(client.listingRole("file"), 60));
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
        const auto said = client.update(repository.files, kStart + 60, {name});
        tape.note("target " + what, said + ", listed by " + client.listingRole(name));
    };
    target("with dots", "../../etc/passwd");
    target("with %", "%2e%2e/x");
    target("with NUL", std::string("a\0b", 3));
    target("of 300 letters", std::string(300, 't'));
    target("of 2,000 letters", std::string(2000, 't'));
    target("of nothing", "");
    tape.matches("metadata-names");
}

TEST_CASE("delegations: by priority, preorder, terminating, no role twice, bounded") {
    Tape tape;
    Repository repository;
    const auto play = [&](const std::string& what, Repository& of, const std::vector<std::string>& paths,
                          UpdateLimits bounds = {}) {
        of.publish();
        Client client(of.firstRoot());
        auto said = client.update(of.files, kStart + 60, paths, bounds);
        for (const auto& path : paths) said += ", " + path + " by " + client.listingRole(path);
        tape.note(what, said + ", visited " + std::to_string(client.visited));
        return client;
    };
    {
        Repository of = repository;
        of.delegateTo("targets", "first", {"releases/*"});
        of.delegateTo("targets", "second", {"releases/*"});
        of.delegateTo("first", "inner", {"releases/*"});
        of.target("inner", "releases/a", "inner's");
        of.target("second", "releases/a", "second's");
        of.target("second", "releases/b", "second's");
        of.target("second", "other/c", "not its path");
        auto client = play("preorder", of, {"releases/a", "releases/b", "other/c", "releases/x/y"});
        CHECK(client.requestedPaths.size() == 7);  // no role is fetched twice in one update
        tape.note("and kept", client.update(of.files, kStart + 61, {"releases/a", "releases/b"}));
        CHECK(client.requestedPaths.size() == 2);  // the next root, the timestamp
    }
    {
        Repository of = repository;
        of.delegateTo("targets", "first", {"releases/*"}, true);
        of.delegateTo("targets", "second", {"releases/*"});
        of.target("second", "releases/a", "second's");
        play("terminating", of, {"releases/a"});
    }
    {
        Repository of = repository;
        of.delegateTo("targets", "outer", {"*"});
        of.delegateTo("targets", "behind", {"*"});
        of.delegateTo("outer", "inner", {"*"}, true);
        of.target("behind", "a", "behind's");
        play("terminating within", of, {"a"});
    }
    {
        Repository of = repository;
        of.delegateTo("targets", "one", {"*"});
        of.delegateTo("one", "two", {"*"});
        of.delegateTo("two", "one", {"*"});
        of.target("two", "b", "two's");
        play("a cycle", of, {"a", "b"});
    }
    {
        Repository of = repository;
        for (int role = 0; role < 12; ++role)
            of.delegateTo(role ? "r" + std::to_string(role - 1) : "targets", "r" + std::to_string(role),
                          {"*"});
        play("a chain within the bound", of, {"a"}, {256, 12});
        play("a chain beyond it", of, {"a"}, {256, 11});
    }
    {
        Repository of = repository;
        const auto hash = digest("sha256", "releases/a");
        of.delegateTo("targets", "no", {}, false, {"f00000"});
        of.delegateTo("targets", "yes", {}, false, {"ffffff", hash.substr(0, 2)});
        of.target("yes", "releases/a", "bytes");
        play("hash prefixes", of, {"releases/a"});
    }
    {
        Repository of = repository;
        of.addRole("bins-" + digest("sha256", "releases/a").substr(0, 1));
        const auto& key = of.keys.at("bins-" + digest("sha256", "releases/a").substr(0, 1)).key();
        CHECK(!delegateBins(of.role("targets"), {{{key.id()}, 1}, 4, "bins"}, {key}));
        of.markChanged("targets");
        of.target("bins-" + digest("sha256", "releases/a").substr(0, 1), "releases/a", "bytes");
        play("succinct bins", of, {"releases/a"});
    }
    {
        // A role's name under two parents, and each parent's own keys for it.
        Repository of = repository;
        of.delegateTo("targets", "a", {"a/*"});
        of.delegateTo("targets", "b", {"b/*"});
        of.delegateTo("a", "shared", {"*/*"});
        const auto honest = SigningKey::fromPem(of.keys.at("shared").toPem());
        const auto other = SigningKey::generate(Scheme::ed25519);
        delegate(of.role("b"), {"shared", {{other.key().id()}, 1}, false, {"*/*"}, {}}, {other.key()});
        of.markChanged("b");
        of.target("shared", "a/x", "a's");
        of.target("shared", "b/x", "a's, not b's");
        play("a role under two parents with other keys", of, {"a/x", "b/x"});
    }
    {
        Repository of = repository;
        of.delegateTo("targets", "first", {"*"});
        of.publish();
        documentOf(of.snapshot)["meta"].erase("first.json");
        of.roles.erase("first");
        Repository gone(of);
        play("a role that no snapshot lists", gone, {"a"});
    }
    {
        Repository of(false);
        of.delegateTo("targets", "first", {"*"});
        of.target("first", "a", "bytes");
        play("without consistent snapshots", of, {"a"});
    }
    {
        Repository of = repository;
        of.delegateTo("targets", "first", {"*"});
        auto& envelope = of.role("targets");
        documentOf(envelope)["delegations"]["roles"][0]["path_hash_prefixes"] = {"00"};
        play("paths and prefixes at once", of, {"a"});
        documentOf(envelope)["delegations"]["roles"][0].erase("paths");
        documentOf(envelope)["delegations"]["roles"][0]["path_hash_prefixes"] = {"XY"};
        of.markChanged("targets");
        play("a prefix that is no hex", of, {"a"});
    }
    tape.matches("metadata-delegations");
}

TEST_CASE("nothing can be called in a wrong order") {
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
