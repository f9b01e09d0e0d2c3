// Making and changing a repository of signed metadata. Drafts lie in REPO/draft; nothing of them is seen by
// clients before publish() has checked them and put them into REPO/metadata and REPO/targets. Keys may be
// elsewhere: a draft can be carried to them and signed there.
#pragma once

#include <algorithm>
#include <cstdio>

#include "command/files.hpp"
#include "metadata/authoring.hpp"

namespace lichenlanding::command::repository {

using namespace metadata;

constexpr std::int64_t kSecondsPerDay = 86'400;

struct RepositoryOptions {
    std::string repository, keyDirectory, out, scheme = "ed25519", role = "targets", name, file, custom,
                                               passphraseFile, now, bins;
    std::vector<std::string> signWith, add, remove, paths, prefixes;
    std::int64_t threshold = 0, days = 0;
    int bits = 0;
    bool inconsistent = false, terminating = false;
};

inline std::int64_t usualDays(const std::string& role) {
    return role == "root" ? 365 : role == "timestamp" ? 1 : role == "snapshot" ? 7 : 90;
}

inline metadata::Scheme schemeNamed(const std::string& name) {
    if (name == "ed25519") return Scheme::ed25519;
    if (name == "ecdsa") return Scheme::ecdsaP256;
    if (name == "rsa") return Scheme::rsaPss;
    throw std::runtime_error("scheme " + name + ": ed25519, ecdsa or rsa");
}

/// One subcommand a method; each throws std::runtime_error with one line, or returns the exit status.
class RepositoryEditor {
  public:
    explicit RepositoryEditor(const RepositoryOptions& options)
        : options_(options),
          now_(options.now.empty() ? wallClock() : parseInstant(options.now)),
          passphrase_(readPassphrase(options.passphraseFile)) {}

    int key() {
        const auto made = SigningKey::generate(schemeNamed(options_.scheme));
        if (fileExists(options_.out)) throw std::runtime_error(options_.out + " is there already");
        writeFile(options_.out, made.toPem(passphrase_), true);
        std::printf("%s\n", made.key().id().c_str());
        return success;
    }

    int create() {
        if (fileExists(draft("root")))
            throw std::runtime_error(options_.repository + " is a repository already");
        makeDirectory(options_.repository + "/draft");
        makeDirectory(options_.keyDirectory);
        auto root = newRoot(until("root"), !options_.inconsistent);
        std::vector<SigningKey> rootKeys;
        for (const auto* role : {"root", "timestamp", "snapshot", "targets"}) {
            const auto path = keyPath(role);
            if (!fileExists(path))
                writeFile(path, SigningKey::generate(schemeNamed(options_.scheme)).toPem(passphrase_), true);
            const auto key = readSigningKey(path, passphrase_);
            orThrow(addKey(root, role, key.key()));
        }
        sign(root, readSigningKey(keyPath("root"), passphrase_));
        auto targets = newTargets(until("targets"));
        sign(targets, readSigningKey(keyPath("targets"), passphrase_));
        save("root", root);
        save("targets", targets);
        return publish();
    }

    int addTarget() {
        if (options_.name.find("..") != std::string::npos || options_.name.front() == '/')
            throw std::runtime_error("targets: bad-name: " + escaped(options_.name) +
                                     " is no path under the base");
        auto targets = load(options_.role);
        const auto bytes = readFile(options_.file);
        Json custom;
        if (!options_.custom.empty()) {
            auto read = parseJson(options_.custom, 65'536);
            if (!read) throw std::runtime_error("--custom: " + read.refusal().text());
            custom = std::move(*read);
        }
        orThrow(metadata::addTarget(targets, options_.name, bytes, custom));
        makeDirectory(options_.repository + "/files");
        writeFile(kept(options_.name), bytes);
        return changeAndSave(options_.role, targets);
    }

    int removeTarget() {
        auto targets = load(options_.role);
        if (!metadata::removeTarget(targets, options_.name))
            throw std::runtime_error(options_.role + ": not-found: " + escaped(options_.name));
        return changeAndSave(options_.role, targets);
    }

    int delegate() {
        auto targets = load(options_.role);
        std::vector<Key> keys;
        Signers signers{{}, options_.threshold > 0 ? options_.threshold : 1};
        for (const auto& path : options_.add) {
            keys.push_back(readPublicKey(path, passphrase_));
            signers.keyIds.push_back(keys.back().id());
        }
        std::vector<std::string> made;
        if (options_.bits > 0) {
            const HashBins bins{signers, options_.bits, options_.name};
            orThrow(delegateBins(targets, bins, keys));
            if (options_.bits > 16) throw std::runtime_error("at most 16 bits: each bin is a file");
            for (std::uint64_t number = 0; number < std::uint64_t{1} << options_.bits; ++number) {
                char digits[16];
                std::snprintf(digits, sizeof digits, "%08x",
                              static_cast<unsigned>(number << (32 - options_.bits)));
                made.push_back(bins.roleOf(digits));
            }
        } else {
            orThrow(metadata::delegate(
                targets, {options_.name, signers, options_.terminating, options_.paths, options_.prefixes},
                keys));
            made.push_back(options_.name);
        }
        for (const auto& role : made)
            if (!fileExists(draft(role))) {
                auto empty = newTargets(until("targets"));
                signWithAll(empty, signers.keyIds);
                save(role, empty);
            }
        return changeAndSave(options_.role, targets);
    }

    int revoke() {
        auto targets = load(options_.role);
        if (!metadata::revoke(targets, options_.name))
            throw std::runtime_error(options_.role + ": not-found: no delegation to " +
                                     escaped(options_.name));
        return changeAndSave(options_.role, targets);
    }

    // Of one of the four roles. The new root must be signed by the old keys' threshold and by the new one's.
    int rotate() {
        auto root = load("root");
        for (const auto& path : options_.add)
            orThrow(addKey(root, options_.role, readPublicKey(path, passphrase_)));
        for (const auto& id : options_.remove) orThrow(removeKey(root, options_.role, id));
        const auto& entry = documentOf(root)["roles"][options_.role];
        orThrow(setThreshold(
            root, options_.role,
            options_.threshold > 0 ? options_.threshold : entry["threshold"].get<std::int64_t>()));
        return changeAndSave("root", root);
    }

    // New time limits, and a new version, of a document that says the same.
    int renew() {
        auto envelope = load(options_.role);
        return changeAndSave(options_.role, envelope);
    }

    int signFile() {
        auto read = parseJson(readFile(options_.file), 64U << 20);
        if (!read || !member(*read, "signed", Json::value_t::object))
            throw std::runtime_error(options_.file + ": no signed document");
        signWithAll(*read, {});
        writeFile(options_.file, textOf(*read));
        return success;
    }

    int publish() {
        const auto rootNow = load("root");
        const auto rootText = textOf(rootNow);
        const auto envelope = readEnvelope(rootText, "root", "root");
        auto root = Root::read(envelope);
        if (!root) throw std::runtime_error(root.refusal().text());
        orThrow(envelope.verify(root->keys, root->roles["root"], "root"));
        makeDirectory(published(""));
        makeDirectory(options_.repository + "/targets");
        const auto version = std::to_string(root->version) + ".root.json";
        if (root->version > 1) {
            const auto before = readEnvelope(
                readFile(published(std::to_string(root->version - 1) + ".root.json")), "root", "root");
            const auto beforeRoot = Root::read(before);
            orThrow(envelope.verify(beforeRoot->keys, beforeRoot->roles.at("root"), "root"));
        }
        if (fileExists(published(version)) && readFile(published(version)) != rootText)
            throw std::runtime_error("root: version " + std::to_string(root->version) +
                                     " is published already, and differs");

        // All that targets delegate to, and their files, before anything that names them is seen.
        auto snapshot = fileExists(draft("snapshot")) ? load("snapshot") : newSnapshot(until("snapshot"));
        const auto before = documentOf(snapshot)["meta"];
        const bool consistent = root->consistent;
        publishRole("targets", root->keys, root->roles["targets"], consistent, snapshot);
        if (documentOf(snapshot)["meta"] != before || options_.days > 0 ||
            !signedNow(snapshot, *root, "snapshot")) {
            if (versionOf(snapshot) > 1 || !before.empty()) bumpVersion(snapshot, until("snapshot"));
            sign(snapshot, readSigningKey(keyPath("snapshot"), passphrase_));
        }
        orThrow(verifySignedBy(snapshot, "snapshot", "snapshot", root->keys, root->roles["snapshot"]));
        const auto snapshotText = textOf(snapshot);
        auto timestamp =
            fileExists(draft("timestamp")) ? load("timestamp") : newTimestamp(until("timestamp"));
        if (!documentOf(timestamp)["meta"].empty()) bumpVersion(timestamp, until("timestamp"));
        addListing(timestamp, "snapshot.json", listingOf(versionOf(snapshot), snapshotText, true));
        timestamp["signatures"] = Json::array();
        sign(timestamp, readSigningKey(keyPath("timestamp"), passphrase_));
        orThrow(verifySignedBy(timestamp, "timestamp", "timestamp", root->keys, root->roles["timestamp"]));
        save("snapshot", snapshot);
        save("timestamp", timestamp);
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
        return options_.repository + "/draft/" + percentEncoded(role) + ".json";
    }
    std::string published(const std::string& file) const { return options_.repository + "/metadata/" + file; }
    std::string kept(const std::string& target) const {
        auto name = percentEncoded(target);
        if (name.size() > 200) name = digest("sha256", target);
        return options_.repository + "/files/" + name;
    }
    std::string keyPath(const std::string& role) const { return options_.keyDirectory + "/" + role + ".pem"; }
    UnixSeconds until(const std::string& role) const {
        return now_ + (options_.days > 0 ? options_.days : usualDays(role)) * kSecondsPerDay;
    }

    Json load(const std::string& role) const {
        auto read = parseJson(readFile(draft(role)), 256U << 20);
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
        for (const auto& path : options_.signWith) {
            const auto key = readSigningKey(path, passphrase_);
            if (only.empty() || std::find(only.begin(), only.end(), key.key().id()) != only.end())
                sign(envelope, key);
        }
    }

    int changeAndSave(const std::string& role, Json& envelope) {
        // A root that nobody has seen yet is changed in place: versions of it must not be left out.
        const bool unseen =
            role == "root" && !fileExists(published(std::to_string(versionOf(envelope)) + ".root.json"));
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
                options_.repository + "/targets/" + (consistent ? locationOf(path, target) : path);
            makeDirectory(place.substr(0, place.rfind('/')));
            if (!fileExists(place)) writeFile(place, bytes);
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

    const RepositoryOptions& options_;
    UnixSeconds now_;
    std::string passphrase_;
};

}  // namespace lichenlanding::command::repository
