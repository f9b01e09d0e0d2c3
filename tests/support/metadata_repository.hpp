// A simulated TUF repository in memory, which a test can change, corrupt and publish, and a client that runs
// a whole update against it without I/O.
#pragma once

#include <functional>
#include <map>
#include <regex>
#include <sstream>

#include "metadata/authoring.hpp"
#include "metadata/update.hpp"

namespace metadata_fixture {

using namespace lichenlanding::metadata;

constexpr UnixSeconds kStart = 1'800'000'000;
constexpr UnixSeconds kDay = 86'400;

// Replaces what differs between runs: key ids and ports.
inline std::string maskVolatile(const std::string& text) {
    static const std::regex kIds("[0-9a-f]{12,}");
    static const std::regex kPorts("127\\.0\\.0\\.1:[0-9]+");
    return std::regex_replace(std::regex_replace(text, kIds, "ID"), kPorts, "MIRROR");
}

class MemoryStore : public StoredMetadata {
  public:
    std::map<std::string, std::string> files;
    std::optional<std::string> read(const std::string& name) const override {
        const auto found = files.find(name);
        return found == files.end() ? std::nullopt : std::optional(found->second);
    }
    void apply(const std::vector<StoreTransaction>& transactions) {
        for (const auto& transaction : transactions)
            for (const auto& [name, bytes] : transaction.files) {
                if (bytes) files[name] = *bytes;
                else files.erase(name);
            }
    }
};

class Repository {
  public:
    explicit Repository(bool consistentSnapshot = true, UnixSeconds startTime = metadata_fixture::kStart)
        : consistent(consistentSnapshot), start(startTime) {
        root = newRoot(start + 365 * kDay, consistent);
        for (const auto* role : {"root", "timestamp", "snapshot", "targets"}) {
            keys.emplace(role, SigningKey::generate(Scheme::ed25519));
            addKey(root, role, keys.at(role).key());
        }
        roles["targets"] = newTargets(start + 90 * kDay);
        snapshot = newSnapshot(start + 7 * kDay);
        timestamp = newTimestamp(start + kDay);
        publishRoot();
        publish();
    }

    // Signs and publishes all targets roles, with a new snapshot and timestamp.
    void publish() {
        for (auto& [name, envelope] : roles) {
            sign(envelope, keys.at(name));
            writeFile(name, versionOf(envelope), textOf(envelope));
            addListing(snapshot, name + ".json", listingOf(versionOf(envelope), textOf(envelope), hashed));
        }
        if (published_) bumpVersion(snapshot, snapshotExpires), bumpVersion(timestamp, timestampExpires);
        published_ = true;
        sign(snapshot, keys.at("snapshot"));
        writeFile("snapshot", versionOf(snapshot), textOf(snapshot));
        publishTimestamp();
    }
    void publishTimestamp() {
        addListing(timestamp, "snapshot.json", listingOf(versionOf(snapshot), textOf(snapshot), true));
        timestamp["signatures"] = Json::array();
        sign(timestamp, keys.at("timestamp"));
        files["timestamp.json"] = textOf(timestamp);
    }
    void publishRoot(const std::vector<const SigningKey*>& additionalKeys = {}) {
        sign(root, keys.at("root"));
        for (const auto* key : additionalKeys) sign(root, *key);
        files[std::to_string(versionOf(root)) + ".root.json"] = textOf(root);
    }
    // Replaces the key of a role in a new version of root, which is not published yet.
    void rotate(const std::string& role) {
        auto oldId = keys.at(role).key().id();
        keys.erase(role);
        keys.emplace(role, SigningKey::generate(Scheme::ed25519));
        addKey(root, role, keys.at(role).key());
        removeKey(root, role, oldId);
        bumpVersion(root, start + 365 * kDay);
    }
    Json& role(const std::string& name) { return roles.at(name); }
    // Adds a targets role with a key of its own; returns its envelope.
    Json& addRole(const std::string& name) {
        if (!keys.contains(name)) keys.emplace(name, SigningKey::generate(Scheme::ed25519));
        return roles.emplace(name, newTargets(start + 90 * kDay)).first->second;
    }
    void delegateTo(const std::string& from, const std::string& to, std::vector<std::string> paths,
                    bool terminating = false, std::vector<std::string> prefixes = {}) {
        addRole(to);
        delegate(role(from),
                 {to, {{keys.at(to).key().id()}, 1}, terminating, std::move(paths), std::move(prefixes)},
                 {keys.at(to).key()});
        markChanged(from);
    }
    void target(const std::string& in, const std::string& path, const std::string& bytes,
                const Json& custom = {}) {
        addTarget(role(in), path, bytes, custom);
        contents[path] = bytes;
        markChanged(in);
    }
    // Prepares a changed role for publish(): a new version, or no signatures if nothing is published yet.
    void markChanged(const std::string& name) {
        if (published_) bumpVersion(role(name), start + 90 * kDay);
        else role(name)["signatures"] = Json::array();
    }
    void writeFile(const std::string& name, std::int64_t version, const std::string& text) {
        files[(consistent ? std::to_string(version) + "." : "") + percentEncoded(name) + ".json"] = text;
    }
    const std::string& firstRoot() const { return files.at("1.root.json"); }

    bool consistent, hashed = false;         // hashed: the snapshot lists lengths and hashes
    UnixSeconds start;                       // all expiry times are relative to this
    std::map<std::string, SigningKey> keys;  // by role
    Json root, snapshot, timestamp;
    std::map<std::string, Json> roles;  // envelopes of targets and the delegated roles
    UnixSeconds snapshotExpires = start + 7 * kDay, timestampExpires = start + kDay;
    std::map<std::string, std::string> files, contents;  // files: as served; contents: of targets, by path

  private:
    bool published_ = false;
};

// A client with stored metadata that runs whole updates against a set of served files.
class Client {
  public:
    explicit Client(const std::string& root) { stored.files["root.json"] = root; }

    // Returns "done" with the trusted versions, or the text of the refusal.
    std::string update(const std::map<std::string, std::string>& files, UnixSeconds now = kStart + 60,
                       const std::vector<std::string>& paths = {}, UpdateLimits limits = {}) {
        auto set = TrustedSet::start(stored.files.at("root.json"), now);
        if (!set) return set.refusal().text();
        Update update(std::move(*set), stored, limits);
        for (const auto& path : paths) update.search(path);
        requestedPaths.clear();
        while (update.next().kind == Update::NextAction::fetch) {
            requestedPaths.push_back(update.next().path);
            const auto file = files.find(update.next().path);
            if (file == files.end()) update.notFound();
            else update.receive(file->second);
            stored.apply(update.takeTransactions());
        }
        found = update.found();
        visited = update.visitedRoles();
        if (update.next().kind == Update::NextAction::refused) return update.refusal().text();
        std::stringstream text;
        text << "done: root " << update.set().root().version << ", timestamp "
             << update.set().timestamp()->version << ", snapshot " << update.set().snapshot()->version
             << ", targets " << update.set().trusted()->version;
        return text.str();
    }
    // Name of the role that lists the path, or "-".
    std::string listingRole(const std::string& path) const {
        const auto result = found.find(path);
        return result == found.end() ? "not looked for" : result->second ? result->second->role : "-";
    }

    MemoryStore stored;
    std::vector<std::string> requestedPaths;
    std::map<std::string, std::optional<FoundTarget>> found;
    int visited = 0;
};

}  // namespace metadata_fixture
