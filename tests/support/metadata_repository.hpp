// A stand-in repository in memory: keys, documents and files of a TUF repository that a test changes, spoils
// and publishes as it likes, and a driver that plays a whole update against it without I/O.
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

// Without what differs from run to run: key ids, and ports.
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
    void apply(const std::vector<StoreTransaction>& steps) {
        for (const auto& step : steps)
            for (const auto& [name, bytes] : step.files) {
                if (bytes) files[name] = *bytes;
                else files.erase(name);
            }
    }
};

class Repository {
  public:
    explicit Repository(bool consistent_ = true, UnixSeconds from_ = metadata_fixture::kStart)
        : consistent(consistent_), start(from_) {
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

    // Signs and puts out what has been drafted. Each call makes a new snapshot and timestamp.
    void publish() {
        for (auto& [name, envelope] : roles) {
            sign(envelope, keys.at(name));
            writeFile(name, versionOf(envelope), textOf(envelope));
            addListing(snapshot, name + ".json", listingOf(versionOf(envelope), textOf(envelope), hashed));
        }
        if (published_) bumpVersion(snapshot, snapshotUntil), bumpVersion(timestamp, timestampUntil);
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
    void publishRoot(const std::vector<const SigningKey*>& more = {}) {
        sign(root, keys.at("root"));
        for (const auto* key : more) sign(root, *key);
        files[std::to_string(versionOf(root)) + ".root.json"] = textOf(root);
    }
    // A new key for a role, in a new root; not published yet.
    void rotate(const std::string& role) {
        auto old = keys.at(role).key().id();
        keys.erase(role);
        keys.emplace(role, SigningKey::generate(Scheme::ed25519));
        addKey(root, role, keys.at(role).key());
        removeKey(root, role, old);
        bumpVersion(root, start + 365 * kDay);
    }
    Json& role(const std::string& name) { return roles.at(name); }
    // A delegated role with a key of its own.
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
    void markChanged(const std::string& name) {
        if (published_) bumpVersion(role(name), start + 90 * kDay);
        else role(name)["signatures"] = Json::array();
    }
    void writeFile(const std::string& name, std::int64_t version, const std::string& text) {
        files[(consistent ? std::to_string(version) + "." : "") + percentEncoded(name) + ".json"] = text;
    }
    const std::string& firstRoot() const { return files.at("1.root.json"); }

    bool consistent, hashed = false;
    UnixSeconds start;                       // what all limits are counted from
    std::map<std::string, SigningKey> keys;  // by role
    Json root, snapshot, timestamp;
    std::map<std::string, Json> roles;  // targets and delegated ones
    UnixSeconds snapshotUntil = start + 7 * kDay, timestampUntil = start + kDay;
    std::map<std::string, std::string> files, contents;  // as served; targets' bytes by path

  private:
    bool published_ = false;
};

// A client: what it keeps, and whole updates against files.
class Client {
  public:
    explicit Client(const std::string& root) { stored.files["root.json"] = root; }

    // "done" with the versions trusted, or the refusal's text.
    std::string update(const std::map<std::string, std::string>& files, UnixSeconds now = kStart + 60,
                       const std::vector<std::string>& paths = {}, UpdateLimits bounds = {}) {
        auto set = TrustedSet::start(stored.files.at("root.json"), now);
        if (!set) return set.refusal().text();
        Update update(std::move(*set), stored, bounds);
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
        std::stringstream said;
        said << "done: root " << update.set().root().version << ", timestamp "
             << update.set().timestamp()->version << ", snapshot " << update.set().snapshot()->version
             << ", targets " << update.set().trusted()->version;
        return said.str();
    }
    // "role" that lists the path, or "-".
    std::string listingRole(const std::string& path) const {
        const auto at = found.find(path);
        return at == found.end() ? "not looked for" : at->second ? at->second->role : "-";
    }

    MemoryStore stored;
    std::vector<std::string> requestedPaths;
    std::map<std::string, std::optional<FoundTarget>> found;
    int visited = 0;
};

}  // namespace metadata_fixture
