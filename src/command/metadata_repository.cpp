// lichenlanding metadata create | key | add-target | ... | publish: making and changing a repository. Drafts
// lie in REPO/draft; nothing of them is seen by clients before `publish` has checked them and put them into
// REPO/metadata and REPO/targets. Keys may be elsewhere: a draft can be carried to them and signed there.
#include <algorithm>
#include <cstdio>

#include "command/command.hpp"
#include "metadata/authoring.hpp"

namespace lichenlanding::command {
namespace {

using namespace metadata;

constexpr std::int64_t day = 86'400;

struct Wish {
    std::string repository, keyFolder, out, scheme = "ed25519", role = "targets", name, file, custom,
                                            passphraseFile, now, bins;
    std::vector<std::string> signWith, add, remove, paths, prefixes;
    std::int64_t threshold = 0, days = 0;
    int bits = 0;
    bool inconsistent = false, terminating = false;
};

std::int64_t usualDays(const std::string& role) {
    return role == "root" ? 365 : role == "timestamp" ? 1 : role == "snapshot" ? 7 : 90;
}

Scheme schemeNamed(const std::string& name) {
    if (name == "ed25519") return Scheme::ed25519;
    if (name == "ecdsa") return Scheme::ecdsaP256;
    if (name == "rsa") return Scheme::rsaPss;
    throw std::runtime_error("scheme " + name + ": ed25519, ecdsa or rsa");
}

class Workshop {
  public:
    explicit Workshop(const Wish& wish)
        : wish_(wish),
          now_(wish.now.empty() ? wallClock() : readInstant(wish.now)),
          passphrase_(readPassphrase(wish.passphraseFile)) {}

    int key() {
        const auto made = SigningKey::generate(schemeNamed(wish_.scheme));
        if (fileThere(wish_.out)) throw std::runtime_error(wish_.out + " is there already");
        writeFile(wish_.out, made.toPem(passphrase_), true);
        std::printf("%s\n", made.key().id().c_str());
        return success;
    }

    int create() {
        if (fileThere(draft("root"))) throw std::runtime_error(wish_.repository + " is a repository already");
        makeFolder(wish_.repository + "/draft"), makeFolder(wish_.keyFolder);
        auto root = newRoot(until("root"), !wish_.inconsistent);
        std::vector<SigningKey> rootKeys;
        for (const auto* role : {"root", "timestamp", "snapshot", "targets"}) {
            const auto path = keyPath(role);
            if (!fileThere(path))
                writeFile(path, SigningKey::generate(schemeNamed(wish_.scheme)).toPem(passphrase_), true);
            const auto key = readSigningKey(path, passphrase_);
            orThrow(addKey(root, role, key.key()));
        }
        sign(root, readSigningKey(keyPath("root"), passphrase_));
        auto targets = newTargets(until("targets"));
        sign(targets, readSigningKey(keyPath("targets"), passphrase_));
        save("root", root), save("targets", targets);
        return publish();
    }

    int addTarget() {
        if (wish_.name.find("..") != wish_.name.npos || wish_.name.front() == '/')
            throw std::runtime_error("targets: bad-name: " + escaped(wish_.name) +
                                     " is no path under the base");
        auto targets = load(wish_.role);
        const auto bytes = readFile(wish_.file);
        Json custom;
        if (!wish_.custom.empty()) {
            auto read = parseJson(wish_.custom, 65'536);
            if (!read) throw std::runtime_error("--custom: " + read.refusal().text());
            custom = std::move(*read);
        }
        orThrow(metadata::addTarget(targets, wish_.name, bytes, custom));
        makeFolder(wish_.repository + "/files");
        writeFile(kept(wish_.name), bytes);
        return changeAndSave(wish_.role, targets);
    }

    int removeTarget() {
        auto targets = load(wish_.role);
        if (!metadata::removeTarget(targets, wish_.name))
            throw std::runtime_error(wish_.role + ": not-found: " + escaped(wish_.name));
        return changeAndSave(wish_.role, targets);
    }

    int delegate() {
        auto targets = load(wish_.role);
        std::vector<Key> keys;
        Signers signers{{}, wish_.threshold > 0 ? wish_.threshold : 1};
        for (const auto& path : wish_.add) {
            keys.push_back(readPublicKey(path, passphrase_));
            signers.keyIds.push_back(keys.back().id());
        }
        std::vector<std::string> made;
        if (wish_.bits > 0) {
            const HashBins bins{signers, wish_.bits, wish_.name};
            orThrow(delegateBins(targets, bins, keys));
            if (wish_.bits > 16) throw std::runtime_error("at most 16 bits: each bin is a file");
            for (std::uint64_t number = 0; number < std::uint64_t{1} << wish_.bits; ++number) {
                char digits[16];
                std::snprintf(digits, sizeof digits, "%08x",
                              static_cast<unsigned>(number << (32 - wish_.bits)));
                made.push_back(bins.roleOf(digits));
            }
        } else {
            orThrow(metadata::delegate(
                targets, {wish_.name, signers, wish_.terminating, wish_.paths, wish_.prefixes}, keys));
            made.push_back(wish_.name);
        }
        for (const auto& role : made)
            if (!fileThere(draft(role))) {
                auto empty = newTargets(until("targets"));
                signWithAll(empty, signers.keyIds);
                save(role, empty);
            }
        return changeAndSave(wish_.role, targets);
    }

    int revoke() {
        auto targets = load(wish_.role);
        if (!metadata::revoke(targets, wish_.name))
            throw std::runtime_error(wish_.role + ": not-found: no delegation to " + escaped(wish_.name));
        return changeAndSave(wish_.role, targets);
    }

    // Of one of the four roles. The new root must be signed by the old keys' threshold and by the new one's.
    int rotate() {
        auto root = load("root");
        for (const auto& path : wish_.add)
            orThrow(addKey(root, wish_.role, readPublicKey(path, passphrase_)));
        for (const auto& id : wish_.remove) orThrow(removeKey(root, wish_.role, id));
        const auto& entry = documentOf(root)["roles"][wish_.role];
        orThrow(setThreshold(root, wish_.role,
                             wish_.threshold > 0 ? wish_.threshold : entry["threshold"].get<std::int64_t>()));
        return changeAndSave("root", root);
    }

    // New time limits, and a new version, of a document that says the same.
    int renew() {
        auto envelope = load(wish_.role);
        return changeAndSave(wish_.role, envelope);
    }

    int signFile() {
        auto read = parseJson(readFile(wish_.file), 64u << 20);
        if (!read || !member(*read, "signed", Json::value_t::object))
            throw std::runtime_error(wish_.file + ": no signed document");
        signWithAll(*read, {});
        writeFile(wish_.file, textOf(*read));
        return success;
    }

    int publish() {
        const auto rootNow = load("root");
        const auto rootText = textOf(rootNow);
        const auto envelope = readEnvelope(rootText, "root", "root");
        auto root = Root::read(envelope);
        if (!root) throw std::runtime_error(root.refusal().text());
        orThrow(envelope.verify(root->keys, root->roles["root"], "root"));
        makeFolder(published("")), makeFolder(wish_.repository + "/targets");
        const auto version = std::to_string(root->version) + ".root.json";
        if (root->version > 1) {
            const auto before = readEnvelope(
                readFile(published(std::to_string(root->version - 1) + ".root.json")), "root", "root");
            const auto beforeRoot = Root::read(before);
            orThrow(envelope.verify(beforeRoot->keys, beforeRoot->roles.at("root"), "root"));
        }
        if (fileThere(published(version)) && readFile(published(version)) != rootText)
            throw std::runtime_error("root: version " + std::to_string(root->version) +
                                     " is published already, and differs");

        // All that targets delegate to, and their files, before anything that names them is seen.
        auto snapshot = fileThere(draft("snapshot")) ? load("snapshot") : newSnapshot(until("snapshot"));
        const auto before = documentOf(snapshot)["meta"];
        const bool consistent = root->consistent;
        publishRole("targets", root->keys, root->roles["targets"], consistent, snapshot);
        if (documentOf(snapshot)["meta"] != before || wish_.days > 0 ||
            !signedNow(snapshot, *root, "snapshot")) {
            if (versionOf(snapshot) > 1 || !before.empty()) bumpVersion(snapshot, until("snapshot"));
            sign(snapshot, readSigningKey(keyPath("snapshot"), passphrase_));
        }
        orThrow(verifySignedBy(snapshot, "snapshot", "snapshot", root->keys, root->roles["snapshot"]));
        const auto snapshotText = textOf(snapshot);
        auto timestamp = fileThere(draft("timestamp")) ? load("timestamp") : newTimestamp(until("timestamp"));
        if (!documentOf(timestamp)["meta"].empty()) bumpVersion(timestamp, until("timestamp"));
        addListing(timestamp, "snapshot.json", listingOf(versionOf(snapshot), snapshotText, true));
        timestamp["signatures"] = Json::array();
        sign(timestamp, readSigningKey(keyPath("timestamp"), passphrase_));
        orThrow(verifySignedBy(timestamp, "timestamp", "timestamp", root->keys, root->roles["timestamp"]));
        save("snapshot", snapshot), save("timestamp", timestamp);
        writeFile(published(version), rootText);
        writeFile(published("root.json"), rootText);
        writeFile(published((consistent ? std::to_string(versionOf(snapshot)) + "." : "") + "snapshot.json"),
                  snapshotText);
        writeFile(published("timestamp.json"), textOf(timestamp));  // last: with it the set is in force
        std::printf("published root %lld, snapshot %lld, timestamp %lld\n",
                    static_cast<long long>(root->version), static_cast<long long>(versionOf(snapshot)),
                    static_cast<long long>(versionOf(timestamp)));
        return success;
    }

  private:
    std::string draft(const std::string& role) const {
        return wish_.repository + "/draft/" + percentEncoded(role) + ".json";
    }
    std::string published(const std::string& file) const { return wish_.repository + "/metadata/" + file; }
    std::string kept(const std::string& target) const {
        auto name = percentEncoded(target);
        if (name.size() > 200) name = digest("sha256", target);
        return wish_.repository + "/files/" + name;
    }
    std::string keyPath(const std::string& role) const { return wish_.keyFolder + "/" + role + ".pem"; }
    UnixSeconds until(const std::string& role) const {
        return now_ + (wish_.days > 0 ? wish_.days : usualDays(role)) * day;
    }

    Json load(const std::string& role) const {
        auto read = parseJson(readFile(draft(role)), 256u << 20);
        if (!read) throw std::runtime_error(draft(role) + ": " + read.refusal().text());
        return std::move(*read);
    }
    void save(const std::string& role, const Json& envelope) { writeFile(draft(role), textOf(envelope)); }

    static Envelope readEnvelope(const std::string& text, const std::string& role, const std::string& type) {
        auto read = Envelope::read(text, role, type, text.size());
        if (!read) throw std::runtime_error(read.refusal().text());
        return std::move(*read);
    }
    static bool signedNow(const Json& envelope, const Root& root, const std::string& role) {
        return !verifySignedBy(envelope, role, role, root.keys, root.roles.at(role));
    }

    void signWithAll(Json& envelope, const std::vector<std::string>& only) {
        for (const auto& path : wish_.signWith) {
            const auto key = readSigningKey(path, passphrase_);
            if (only.empty() || std::find(only.begin(), only.end(), key.key().id()) != only.end())
                sign(envelope, key);
        }
    }

    int changeAndSave(const std::string& role, Json& envelope) {
        // A root that nobody has seen yet is changed in place: versions of it must not be left out.
        const bool unseen =
            role == "root" && !fileThere(published(std::to_string(versionOf(envelope)) + ".root.json"));
        const auto version = versionOf(envelope);
        bumpVersion(envelope, until(role == "root" ? "root" : "targets"));
        if (unseen) documentOf(envelope)["version"] = version;
        signWithAll(envelope, {});
        save(role, envelope);
        std::printf("%s version %lld drafted, %zu signatures\n", role.c_str(),
                    static_cast<long long>(versionOf(envelope)), envelope["signatures"].size());
        return success;
    }

    void publishRole(const std::string& role, const Keys& keys, const Signers& signers, bool consistent,
                     Json& snapshot) {
        const auto text = textOf(load(role));
        const auto envelope = readEnvelope(text, role, "targets");
        orThrow(envelope.verify(keys, signers, role));
        auto targets = Targets::read(envelope, role);
        if (!targets) throw std::runtime_error(targets.refusal().text());
        for (const auto& [path, target] : targets->targets) {
            const auto bytes = readFile(kept(path));
            orThrow(verifyBytes(bytes, target.length, target.hashes, path));
            const auto place =
                wish_.repository + "/targets/" + (consistent ? locationOf(path, target) : path);
            makeFolder(place.substr(0, place.rfind('/')));
            if (!fileThere(place)) writeFile(place, bytes);
        }
        for (const auto& to : targets->delegations)
            publishRole(to.name, targets->keys, to.signers, consistent, snapshot);
        if (targets->bins)
            for (std::uint64_t number = 0; number < std::uint64_t{1} << targets->bins->bits; ++number) {
                char digits[16];
                std::snprintf(digits, sizeof digits, "%08x",
                              static_cast<unsigned>(number << (32 - targets->bins->bits)));
                publishRole(targets->bins->roleOf(digits), targets->keys, targets->bins->signers, consistent,
                            snapshot);
            }
        writeFile(published((consistent ? std::to_string(envelope.version) + "." : "") +
                            percentEncoded(role) + ".json"),
                  text);
        addListing(snapshot, role + ".json", listingOf(envelope.version, text, false));
    }

    const Wish& wish_;
    UnixSeconds now_;
    std::string passphrase_;
};

}  // namespace

void addMetadataRepository(CLI::App& metadata, Chosen& chosen) {
    auto wish = std::make_shared<Wish>();
    const auto subcommand = [&](const char* name, const char* what, int (Workshop::*call)()) {
        auto* command = metadata.add_subcommand(name, what);
        command->callback(
            [wish, call, &chosen] { chosen = [wish, call] { return (Workshop(*wish).*call)(); }; });
        command->add_option("--passphrase-file", wish->passphraseFile,
                            "its first line opens, or locks, the keys");
        command->add_option("--now", wish->now, "the time to count limits from, RFC 3339");
        return command;
    };
    const auto inRepository = [&](CLI::App* command) {
        command->add_option("--repo", wish->repository, "the repository's folder")->required();
        return command;
    };
    const auto signs = [&](CLI::App* command) {
        inRepository(command);
        command->add_option("--sign-with", wish->signWith, "private keys to sign the draft with")->take_all();
        command->add_option("--days", wish->days, "until the new version expires")
            ->check(CLI::Range(1, 36'500));
        return command;
    };
    auto* key = subcommand("key", "make a private key (PEM, mode 0600) and print its id", &Workshop::key);
    key->add_option("--out", wish->out, "the file")->required();
    key->add_option("--scheme", wish->scheme, "ed25519, ecdsa or rsa");
    auto* create =
        inRepository(subcommand("create", "make and publish an empty repository", &Workshop::create));
    create->add_option("--keys", wish->keyFolder, "folder of root.pem, timestamp.pem, ...; made if missing")
        ->required();
    create->add_option("--scheme", wish->scheme, "of keys that are made");
    create->add_flag("--no-consistent-snapshot", wish->inconsistent,
                     "file names without versions and hashes");
    create->footer("Example:\n  lichenlanding metadata create --repo repo --keys keys");
    auto* add = signs(subcommand("add-target", "list a file", &Workshop::addTarget));
    add->add_option("--role", wish->role, "the listing role");
    add->add_option("--name", wish->name, "the target's path")->required();
    add->add_option("--file", wish->file, "its bytes")->required();
    add->add_option("--custom", wish->custom, "a JSON object kept beside it");
    add->footer(
        "Example:\n  lichenlanding metadata add-target --repo repo --name releases/42 --file 42.json "
        "--sign-with keys/targets.pem");
    auto* remove = signs(subcommand("remove-target", "list a file no more", &Workshop::removeTarget));
    remove->add_option("--role", wish->role, "the listing role");
    remove->add_option("--name", wish->name, "the target's path")->required();
    auto* delegate =
        signs(subcommand("delegate", "let another role speak of some paths", &Workshop::delegate));
    delegate->add_option("--role", wish->role, "the delegating role");
    delegate
        ->add_option("--name", wish->name, "the other role, or with --bins the beginning of the bins' names")
        ->required();
    delegate->add_option("--key", wish->add, "its keys, public or private PEM")->required()->take_all();
    delegate->add_option("--threshold", wish->threshold, "how many of them must sign");
    delegate->add_option("--path", wish->paths, "patterns; '*' and '?' stop at '/'")->take_all();
    delegate->add_option("--hash-prefix", wish->prefixes, "beginnings of paths' SHA-256")->take_all();
    delegate->add_option("--bins", wish->bits, "2^BITS hash bins")->check(CLI::Range(1, 16));
    delegate->add_flag("--terminating", wish->terminating, "nobody behind it is asked");
    auto* revoke = signs(subcommand("revoke", "end a delegation", &Workshop::revoke));
    revoke->add_option("--role", wish->role, "the delegating role");
    revoke->add_option("--name", wish->name, "the other role")->required();
    auto* rotate = signs(
        subcommand("rotate", "change the keys of root, timestamp, snapshot or targets", &Workshop::rotate));
    rotate->add_option("ROLE", wish->role, "the role")->required();
    rotate->add_option("--add", wish->add, "keys, public or private PEM")->take_all();
    rotate->add_option("--remove", wish->remove, "key ids")->take_all();
    rotate->add_option("--threshold", wish->threshold, "how many must sign");
    rotate->footer(
        "Example:\n  lichenlanding metadata rotate timestamp --repo repo --add keys/new.pem --remove ID "
        "--sign-with keys/root.pem");
    auto* renew = signs(subcommand("renew", "draft the same again with a new time limit", &Workshop::renew));
    renew->add_option("--role", wish->role, "root, targets or a delegated role");
    auto* sign = subcommand("sign", "add signatures to a document's file, offline", &Workshop::signFile);
    sign->add_option("FILE", wish->file, "the document")->required();
    sign->add_option("--sign-with", wish->signWith, "private keys")->required()->take_all();
    auto* publish =
        inRepository(subcommand("publish", "check all drafts and put them into force", &Workshop::publish));
    publish->add_option("--keys", wish->keyFolder, "folder of snapshot.pem and timestamp.pem")->required();
    publish->add_option("--days", wish->days, "of the snapshot and timestamp")->check(CLI::Range(1, 36'500));
}

}  // namespace lichenlanding::command
