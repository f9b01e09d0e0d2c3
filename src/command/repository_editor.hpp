// Creates and changes a repository of signed metadata. Drafts are in REPO/draft; clients see them only after
// publish() has verified them and copied them to REPO/metadata and REPO/targets. Keys may be on another
// machine: a draft can be copied there and signed offline.
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

inline std::int64_t defaultValidityDays(const std::string& role) {
    return role == "root" ? 365 : role == "timestamp" ? 1 : role == "snapshot" ? 7 : 90;
}

inline metadata::Scheme parseScheme(const std::string& name) {
    if (name == "ed25519") return Scheme::ed25519;
    if (name == "ecdsa") return Scheme::ecdsaP256;
    if (name == "rsa") return Scheme::rsaPss;
    throw std::runtime_error("scheme " + name + ": expected ed25519, ecdsa or rsa");
}

/// One public method for each subcommand. Each returns the exit status or throws std::runtime_error with a
/// message of one line.
class RepositoryEditor {
  public:
    explicit RepositoryEditor(const RepositoryOptions& options)
        : options_(options),
          now_(options.now.empty() ? wallClock() : parseRfc3339(options.now)),
          passphrase_(readPassphrase(options.passphraseFile)) {}

    int key() {
        const auto created = SigningKey::generate(parseScheme(options_.scheme));
        if (fileExists(options_.out)) throw std::runtime_error(options_.out + " already exists");
        writeFile(options_.out, created.toPem(passphrase_), true);
        std::printf("%s\n", created.key().id().c_str());
        return success;
    }

    int create() {
        if (fileExists(draft("root")))
            throw std::runtime_error(options_.repository + " is already a repository");
        makeDirectory(options_.repository + "/draft");
        makeDirectory(options_.keyDirectory);
        auto root = newRoot(expiry("root"), !options_.inconsistent);
        std::vector<SigningKey> rootKeys;
        for (const auto* role : {"root", "timestamp", "snapshot", "targets"}) {
            const auto path = keyPath(role);
            if (!fileExists(path))
                writeFile(path, SigningKey::generate(parseScheme(options_.scheme)).toPem(passphrase_), true);
            const auto key = readSigningKey(path, passphrase_);
            throwIf(addKey(root, role, key.key()));
        }
        sign(root, readSigningKey(keyPath("root"), passphrase_));
        auto targets = newTargets(expiry("targets"));
        sign(targets, readSigningKey(keyPath("targets"), passphrase_));
        save("root", root);
        save("targets", targets);
        return publish();
    }

    int addTarget() {
        if (options_.name.find("..") != std::string::npos || options_.name.front() == '/')
            throw std::runtime_error("targets: bad-name: " + escaped(options_.name) +
                                     " must be a relative path without '..'");
        auto targets = load(options_.role);
        const auto bytes = readFile(options_.file);
        Json custom;
        if (!options_.custom.empty()) {
            auto parsed = parseJson(options_.custom, 65'536);
            if (!parsed) throw std::runtime_error("--custom: " + parsed.refusal().text());
            custom = std::move(*parsed);
        }
        throwIf(metadata::addTarget(targets, options_.name, bytes, custom));
        makeDirectory(options_.repository + "/files");
        writeFile(storedFilePath(options_.name), bytes);
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
        std::vector<std::string> created;
        if (options_.bits > 0) {
            const HashBins bins{signers, options_.bits, options_.name};
            throwIf(delegateBins(targets, bins, keys));
            if (options_.bits > 16)
                throw std::runtime_error("--bins must be at most 16, since each bin is a file");
            for (std::uint64_t bin = 0; bin < std::uint64_t{1} << options_.bits; ++bin) {
                char digits[16];
                std::snprintf(digits, sizeof digits, "%08x",
                              static_cast<unsigned>(bin << (32 - options_.bits)));
                created.push_back(bins.roleOf(digits));
            }
        } else {
            throwIf(metadata::delegate(
                targets, {options_.name, signers, options_.terminating, options_.paths, options_.prefixes},
                keys));
            created.push_back(options_.name);
        }
        for (const auto& role : created)
            if (!fileExists(draft(role))) {
                auto empty = newTargets(expiry("targets"));
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

    // Changes the keys of a top-level role. The new root must be signed by the thresholds of the old root's
    // and of the new root's keys.
    int rotate() {
        auto root = load("root");
        for (const auto& path : options_.add)
            throwIf(addKey(root, options_.role, readPublicKey(path, passphrase_)));
        for (const auto& id : options_.remove) throwIf(removeKey(root, options_.role, id));
        const auto& entry = documentOf(root)["roles"][options_.role];
        throwIf(setThreshold(
            root, options_.role,
            options_.threshold > 0 ? options_.threshold : entry["threshold"].get<std::int64_t>()));
        return changeAndSave("root", root);
    }

    // Drafts a new version with a new expiry time and the same content.
    int renew() {
        auto envelope = load(options_.role);
        return changeAndSave(options_.role, envelope);
    }

    int signFile() {
        auto parsed = parseJson(readFile(options_.file), 64U << 20);
        if (!parsed || !member(*parsed, "signed", Json::value_t::object))
            throw std::runtime_error(options_.file + ": no object \"signed\"");
        signWithAll(*parsed, {});
        writeFile(options_.file, textOf(*parsed));
        return success;
    }

    int publish() {
        const auto rootDocument = load("root");
        const auto rootBytes = textOf(rootDocument);
        const auto envelope = readEnvelope(rootBytes, "root", "root");
        auto root = Root::read(envelope);
        if (!root) throw std::runtime_error(root.refusal().text());
        throwIf(envelope.verify(root->keys, root->roles["root"], "root"));
        makeDirectory(published(""));
        makeDirectory(options_.repository + "/targets");
        const auto version = std::to_string(root->version) + ".root.json";
        if (root->version > 1) {
            const auto previous = readEnvelope(
                readFile(published(std::to_string(root->version - 1) + ".root.json")), "root", "root");
            const auto previousRoot = Root::read(previous);
            throwIf(envelope.verify(previousRoot->keys, previousRoot->roles.at("root"), "root"));
        }
        if (fileExists(published(version)) && readFile(published(version)) != rootBytes)
            throw std::runtime_error("root: version " + std::to_string(root->version) +
                                     " is already published with different content");

        // Targets, their delegations and their files are published before the snapshot that lists them.
        auto snapshot = fileExists(draft("snapshot")) ? load("snapshot") : newSnapshot(expiry("snapshot"));
        const auto listed = documentOf(snapshot)["meta"];
        const bool consistent = root->consistent;
        publishRole("targets", root->keys, root->roles["targets"], consistent, snapshot);
        if (documentOf(snapshot)["meta"] != listed || options_.days > 0 ||
            !isSigned(snapshot, *root, "snapshot")) {
            if (versionOf(snapshot) > 1 || !listed.empty()) bumpVersion(snapshot, expiry("snapshot"));
            sign(snapshot, readSigningKey(keyPath("snapshot"), passphrase_));
        }
        throwIf(verifySignedBy(snapshot, "snapshot", "snapshot", root->keys, root->roles["snapshot"]));
        const auto snapshotText = textOf(snapshot);
        auto timestamp =
            fileExists(draft("timestamp")) ? load("timestamp") : newTimestamp(expiry("timestamp"));
        if (!documentOf(timestamp)["meta"].empty()) bumpVersion(timestamp, expiry("timestamp"));
        addListing(timestamp, "snapshot.json", listingOf(versionOf(snapshot), snapshotText, true));
        timestamp["signatures"] = Json::array();
        sign(timestamp, readSigningKey(keyPath("timestamp"), passphrase_));
        throwIf(verifySignedBy(timestamp, "timestamp", "timestamp", root->keys, root->roles["timestamp"]));
        save("snapshot", snapshot);
        save("timestamp", timestamp);
        writeFile(published(version), rootBytes);
        writeFile(published("root.json"), rootBytes);
        writeFile(published((consistent ? std::to_string(versionOf(snapshot)) + "." : "") + "snapshot.json"),
                  snapshotText);
        writeFile(published("timestamp.json"), textOf(timestamp));  // last: clients see the set from here on
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
    std::string storedFilePath(const std::string& target) const {
        auto name = percentEncoded(target);
        if (name.size() > 200) name = digest("sha256", target);
        return options_.repository + "/files/" + name;
    }
    std::string keyPath(const std::string& role) const { return options_.keyDirectory + "/" + role + ".pem"; }
    UnixSeconds expiry(const std::string& role) const {
        return now_ + (options_.days > 0 ? options_.days : defaultValidityDays(role)) * kSecondsPerDay;
    }

    Json load(const std::string& role) const {
        auto parsed = parseJson(readFile(draft(role)), 256U << 20);
        if (!parsed) throw std::runtime_error(draft(role) + ": " + parsed.refusal().text());
        return std::move(*parsed);
    }
    void save(const std::string& role, const Json& envelope) { writeFile(draft(role), textOf(envelope)); }

    static Envelope readEnvelope(const std::string& text, const std::string& role, const std::string& type) {
        auto parsed = Envelope::read(text, role, type, text.size());
        if (!parsed) throw std::runtime_error(parsed.refusal().text());
        return std::move(*parsed);
    }
    static bool isSigned(const Json& envelope, const Root& root, const std::string& role) {
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
        // An unpublished root keeps its version: clients need every version of the root in sequence.
        const bool unpublished =
            role == "root" && !fileExists(published(std::to_string(versionOf(envelope)) + ".root.json"));
        const auto version = versionOf(envelope);
        bumpVersion(envelope, expiry(role == "root" ? "root" : "targets"));
        if (unpublished) documentOf(envelope)["version"] = version;
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
        throwIf(envelope.verify(keys, signers, role));
        auto targets = Targets::read(envelope, role);
        if (!targets) throw std::runtime_error(targets.refusal().text());
        for (const auto& [path, target] : targets->targets) {
            const auto bytes = readFile(storedFilePath(path));
            throwIf(verifyBytes(bytes, target.length, target.hashes, path));
            const auto publishedTarget =
                options_.repository + "/targets/" + (consistent ? locationOf(path, target) : path);
            makeDirectory(publishedTarget.substr(0, publishedTarget.rfind('/')));
            if (!fileExists(publishedTarget)) writeFile(publishedTarget, bytes);
        }
        for (const auto& delegation : targets->delegations)
            publishRole(delegation.name, targets->keys, delegation.signers, consistent, snapshot);
        if (targets->bins)
            for (std::uint64_t bin = 0; bin < std::uint64_t{1} << targets->bins->bits; ++bin) {
                char digits[16];
                std::snprintf(digits, sizeof digits, "%08x",
                              static_cast<unsigned>(bin << (32 - targets->bins->bits)));
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
