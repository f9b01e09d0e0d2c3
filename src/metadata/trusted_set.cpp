#include "metadata/trusted_set.hpp"

namespace lichenlanding::metadata {
namespace {

std::string versionText(std::int64_t offered, const char* relation, std::int64_t other) {
    return "version " + std::to_string(offered) + ", " + relation + " " + std::to_string(other);
}

Check withRole(Refusal refusal, const std::string& role, std::int64_t version) {
    refusal.role = role;
    refusal.version = version;
    return refusal;
}

}  // namespace

Result<TrustedSet> TrustedSet::start(std::string_view bytes, UnixSeconds now, const SizeLimits& sizes) {
    auto envelope = Envelope::read(bytes, "root", "root", sizes.root);
    if (!envelope) return envelope.refusal();
    auto root = Root::read(*envelope);
    if (!root) return root.refusal();
    if (auto refusal = envelope->verify(root->keys, root->roles["root"], "root")) return *refusal;
    return TrustedSet(std::move(*root), now, sizes);
}

// 5.3.4 and 5.3.5: must be signed with the thresholds of the old and the new root, and be the next version.
// Expiry is checked for the last root alone (5.3.10), so a chain may contain expired ones.
Check TrustedSet::root(std::string_view bytes) {
    if (timestamp_) return Refusal{Reason::wrongOrder, "root", 0, "a timestamp is trusted already"};
    auto envelope = Envelope::read(bytes, "root", "root", sizes_.root);
    if (!envelope) return envelope.refusal();
    auto next = Root::read(*envelope);
    if (!next) return next.refusal();
    if (auto refusal = envelope->verify(root_.keys, root_.roles.at("root"), "root")) return refusal;
    if (next->version < root_.version)
        return Refusal{Reason::rollback, "root", next->version,
                       versionText(next->version, "trusted", root_.version)};
    if (next->version != root_.version + 1)
        return Refusal{Reason::wrongVersion, "root", next->version,
                       versionText(next->version, "expected", root_.version + 1)};
    if (auto refusal = envelope->verify(next->keys, next->roles.at("root"), "root")) return refusal;
    root_ = std::move(*next);
    return {};
}

Result<Timestamp> TrustedSet::readTimestamp(std::string_view bytes) const {
    if (snapshot_) return Refusal{Reason::wrongOrder, "timestamp", 0, "a snapshot is trusted already"};
    if (auto refusal = checkRoot()) return *refusal;
    auto envelope = Envelope::read(bytes, "timestamp", "timestamp", sizes_.timestamp);
    if (!envelope) return envelope.refusal();
    if (auto refusal = envelope->verify(root_.keys, root_.roles.at("timestamp"), "timestamp"))
        return *refusal;
    return Timestamp::read(*envelope);
}

// 5.4.3 and 5.4.4.
Check TrustedSet::timestamp(std::string_view bytes) {
    auto next = readTimestamp(bytes);
    if (!next) return next.refusal();
    if (timestamp_) {
        if (next->version < timestamp_->version)
            return Refusal{Reason::rollback, "timestamp", next->version,
                           versionText(next->version, "trusted", timestamp_->version)};
        if (next->version == timestamp_->version) return checkTimestamp();
        if (next->snapshot.version < timestamp_->snapshot.version)
            return Refusal{Reason::rollback, "snapshot", next->snapshot.version,
                           versionText(next->snapshot.version, "trusted", timestamp_->snapshot.version)};
    }
    if (auto refusal = checkExpiry(next->expires, "timestamp", next->version)) return refusal;
    timestamp_ = std::move(*next);
    return {};
}

Check TrustedSet::loadTimestamp(std::string_view bytes) {
    auto stored = readTimestamp(bytes);
    if (!stored) return stored.refusal();
    timestamp_ = std::move(*stored);
    return checkTimestamp();
}

Result<Snapshot> TrustedSet::readSnapshot(std::string_view bytes) const {
    if (!targets_.empty()) return Refusal{Reason::wrongOrder, "snapshot", 0, "targets are trusted already"};
    if (auto refusal = checkTimestamp()) return *refusal;
    auto envelope = Envelope::read(bytes, "snapshot", "snapshot", sizes_.snapshot);
    if (!envelope) return envelope.refusal();
    if (auto refusal = envelope->verify(root_.keys, root_.roles.at("snapshot"), "snapshot")) return *refusal;
    return Snapshot::read(*envelope);
}

// 5.5.2 to 5.5.6. The hash is checked first, so that a document that is not listed is never parsed.
Check TrustedSet::snapshot(std::string_view bytes) {
    if (auto refusal = checkTimestamp()) return refusal;
    const auto& listing = timestamp_->snapshot;
    if (auto refusal = verifyBytes(bytes, listing.length, listing.hashes, "snapshot"))
        return withRole(*refusal, "snapshot", listing.version);
    auto next = readSnapshot(bytes);
    if (!next) return next.refusal();
    if (next->version != listing.version)
        return Refusal{Reason::wrongVersion, "snapshot", next->version,
                       versionText(next->version, "listed", listing.version)};
    if (snapshot_)
        for (const auto& [name, trustedFile] : snapshot_->files) {
            const auto found = next->files.find(name);
            if (found == next->files.end())
                return Refusal{Reason::vanished, "snapshot", next->version, escaped(name, 80)};
            if (found->second.version < trustedFile.version)
                return Refusal{Reason::rollback, "snapshot", next->version,
                               escaped(name, 80) + ": " +
                                   versionText(found->second.version, "trusted", trustedFile.version)};
        }
    if (auto refusal = checkExpiry(next->expires, "snapshot", next->version)) return refusal;
    snapshot_ = std::move(*next);
    return {};
}

// The hash is not checked: the timestamp that listed it may have been replaced.
Check TrustedSet::loadSnapshot(std::string_view bytes) {
    auto stored = readSnapshot(bytes);
    if (!stored) return stored.refusal();
    snapshot_ = std::move(*stored);
    return checkSnapshot();
}

Check TrustedSet::delegated(std::string_view bytes, const std::string& role, const std::string& parent) {
    if (auto refusal = checkSnapshot()) return refusal;
    const auto* listing = listedFile(role);
    if (!listing) return Refusal{Reason::notListed, role, 0, "not in the snapshot"};
    const bool topLevel = role == "targets";
    const auto parentTargets = targets_.find(parent);
    if (!topLevel && parentTargets == targets_.end())
        return Refusal{Reason::wrongOrder, role, 0,
                       "its parent " + escaped(parent, 80) + " is not trusted yet"};
    const auto* signers = topLevel ? &root_.roles.at("targets") : parentTargets->second.signersOf(role);
    if (!signers) return Refusal{Reason::notListed, role, 0, "not delegated to by " + escaped(parent, 80)};
    if (auto refusal = verifyBytes(bytes, listing->length, listing->hashes, role))
        return withRole(*refusal, role, listing->version);
    auto envelope = Envelope::read(bytes, role, "targets", sizes_.targets);
    if (!envelope) return envelope.refusal();
    if (auto refusal = envelope->verify(topLevel ? root_.keys : parentTargets->second.keys, *signers, role))
        return refusal;
    auto next = Targets::read(*envelope, role);
    if (!next) return next.refusal();
    if (next->version != listing->version)
        return Refusal{Reason::wrongVersion, role, next->version,
                       versionText(next->version, "listed", listing->version)};
    if (auto refusal = checkExpiry(next->expires, role, next->version)) return refusal;
    targets_.insert_or_assign(role, std::move(*next));
    trustedBy_.emplace(role, parent);
    return {};
}

Check TrustedSet::checkExpiry(UnixSeconds expires, const std::string& role, std::int64_t version) const {
    if (expires > now_) return {};
    return Refusal{Reason::expired, role, version, "at " + formatTime(expires)};
}

Check TrustedSet::checkRoot() const { return checkExpiry(root_.expires, "root", root_.version); }

Check TrustedSet::checkTimestamp() const {
    if (auto refusal = checkRoot()) return refusal;
    if (!timestamp_) return Refusal{Reason::wrongOrder, "timestamp", 0, "none is trusted yet"};
    return checkExpiry(timestamp_->expires, "timestamp", timestamp_->version);
}

Check TrustedSet::checkSnapshot() const {
    if (auto refusal = checkTimestamp()) return refusal;
    if (!snapshot_) return Refusal{Reason::wrongOrder, "snapshot", 0, "none is trusted yet"};
    if (snapshot_->version != timestamp_->snapshot.version)
        return Refusal{Reason::wrongVersion, "snapshot", snapshot_->version,
                       versionText(snapshot_->version, "listed", timestamp_->snapshot.version)};
    return checkExpiry(snapshot_->expires, "snapshot", snapshot_->version);
}

const Targets* TrustedSet::trusted(const std::string& role) const {
    const auto found = targets_.find(role);
    return found == targets_.end() ? nullptr : &found->second;
}

bool TrustedSet::trustedBy(const std::string& role, const std::string& parent) const {
    return trustedBy_.contains({role, parent});
}

const FileInfo* TrustedSet::listedFile(const std::string& role) const {
    if (!snapshot_) return nullptr;
    const auto found = snapshot_->files.find(role + ".json");
    return found == snapshot_->files.end() ? nullptr : &found->second;
}

UnixSeconds TrustedSet::expires() const {
    auto earliest = root_.expires;
    if (timestamp_) earliest = std::min(earliest, timestamp_->expires);
    if (snapshot_) earliest = std::min(earliest, snapshot_->expires);
    for (const auto& [role, document] : targets_) earliest = std::min(earliest, document.expires);
    return earliest;
}

}  // namespace lichenlanding::metadata
