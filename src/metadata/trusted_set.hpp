// The set of trusted metadata. It takes the document of one role at a time and either accepts it or refuses
// it with a reason; a refusal changes nothing. The order below is enforced. Source: TUF 1.0, 5.3 to 5.6.
//
//     root, root, ... -> timestamp -> snapshot -> targets -> delegated, delegated, ...
//
// All checks use the start time of the update (5.1). Metadata trusted before the update is loaded first, by
// loadTimestamp() and loadSnapshot(). If it is expired, or not the listed version any more, it only sets the
// minimum version.
#pragma once

#include "metadata/role.hpp"

namespace lichenlanding::metadata {

/// Maximum size of a document in bytes. For snapshot and targets a listed length takes precedence.
struct SizeLimits {
    std::size_t root = 512'000, timestamp = 16'384, snapshot = 16'000'000, targets = 32'000'000;

    /// For processes with little memory: parsing a document takes up to 16 times its size.
    static constexpr SizeLimits small(std::size_t bytes = 4'000'000) {
        return {512'000, 16'384, bytes, bytes};
    }
};

class TrustedSet {
  public:
    /// Starts from a root that is already trusted (shipped or stored). It must be signed by its own keys.
    static Result<TrustedSet> start(std::string_view root, UnixSeconds now, const SizeLimits& sizes = {});

    Check root(std::string_view bytes);  ///< the next version; refused once a timestamp is trusted
    /// A document with the trusted version is accepted and changes nothing.
    Check timestamp(std::string_view bytes);
    Check snapshot(std::string_view bytes);
    /// Loads metadata trusted before this update. No refusal means that it can still be used. With a refusal
    /// that check*() gives too, it is loaded and only sets the minimum version.
    Check loadTimestamp(std::string_view bytes);
    Check loadSnapshot(std::string_view bytes);
    Check targets(std::string_view bytes) { return delegated(bytes, "targets", "root"); }
    Check delegated(std::string_view bytes, const std::string& role, const std::string& parent);

    /// Whether the trusted document can be used: refuses with expired, wrongVersion or wrongOrder.
    Check checkRoot() const;
    Check checkTimestamp() const;
    Check checkSnapshot() const;

    const Root& root() const { return root_; }
    const Timestamp* timestamp() const { return timestamp_ ? &*timestamp_ : nullptr; }
    const Snapshot* snapshot() const { return snapshot_ ? &*snapshot_ : nullptr; }
    const Targets* trusted(const std::string& role = "targets") const;
    /// Whether a role was verified with this parent's keys; another parent may list other keys for it.
    bool trustedBy(const std::string& role, const std::string& parent) const;
    /// The role's entry in the snapshot; null if there is none.
    const FileInfo* listedFile(const std::string& role) const;
    const SizeLimits& sizeLimits() const { return sizes_; }
    UnixSeconds now() const { return now_; }
    UnixSeconds expires() const;  ///< earliest expiry of all trusted documents

  private:
    TrustedSet(Root root, UnixSeconds now, const SizeLimits& sizes)
        : root_(std::move(root)), now_(now), sizes_(sizes) {}
    Result<Timestamp> readTimestamp(std::string_view bytes) const;
    Result<Snapshot> readSnapshot(std::string_view bytes) const;
    Check checkExpiry(UnixSeconds expires, const std::string& role, std::int64_t version) const;

    Root root_;
    std::optional<Timestamp> timestamp_;
    std::optional<Snapshot> snapshot_;
    std::map<std::string, Targets> targets_;                   // by role name
    std::set<std::pair<std::string, std::string>> trustedBy_;  // role and parent
    UnixSeconds now_;
    SizeLimits sizes_;
};

}  // namespace lichenlanding::metadata
