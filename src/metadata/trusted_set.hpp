// All trust in one object. It takes the bytes of one role at a time and either advances or refuses with one
// reason; a refusal changes nothing. It can't be called in a wrong order: each role needs those before it.
// Source: TUF 1.0, 5.3 to 5.6.
//
//     root, root, ... -> timestamp -> snapshot -> targets -> delegated, delegated, ...
//
// Time is the update's start, the same for all checks (5.1). Metadata trusted before an update is put in by
// the same calls first, as minimum: it may be expired, or not fit the new timestamp; it then bounds versions
// from below and nothing else.
#pragma once

#include "metadata/role.hpp"

namespace lichenlanding::metadata {

/// Bounds of one document, in bytes. A listed length goes before the last two.
struct SizeLimits {
    std::size_t root = 512'000, timestamp = 16'384, snapshot = 16'000'000, targets = 32'000'000;

    /// For a process of little memory: while a document is read it takes up to 16 times its size.
    static constexpr SizeLimits small(std::size_t bytes = 4'000'000) {
        return {512'000, 16'384, bytes, bytes};
    }
};

class TrustedSet {
  public:
    /// From a root that is trusted already: shipped, or stored before. It must be signed by itself.
    static Result<TrustedSet> start(std::string_view root, UnixSeconds now, const SizeLimits& sizes = {});

    Check root(std::string_view bytes);  ///< the next version; refused once a timestamp is there
    /// A version that equals the trusted one is accepted and changes nothing.
    Check timestamp(std::string_view bytes);
    Check snapshot(std::string_view bytes);
    /// The metadata trusted before this update. Nothing if it may be used as it is; a refusal that stands*()
    /// gives too means that it is the minimum now.
    Check loadTimestamp(std::string_view bytes);
    Check loadSnapshot(std::string_view bytes);
    Check targets(std::string_view bytes) { return delegated(bytes, "targets", "root"); }
    Check delegated(std::string_view bytes, const std::string& role, const std::string& parent);

    /// Whether what is there may be used: refuses with expired, wrongVersion or wrongOrder.
    Check checkRoot() const;
    Check checkTimestamp() const;
    Check checkSnapshot() const;

    const Root& root() const { return root_; }
    const Timestamp* timestamp() const { return timestamp_ ? &*timestamp_ : nullptr; }
    const Snapshot* snapshot() const { return snapshot_ ? &*snapshot_ : nullptr; }
    const Targets* trusted(const std::string& role = "targets") const;
    /// Whether a role is trusted by this parent's word; another parent may name other keys for it.
    bool trustedBy(const std::string& role, const std::string& parent) const;
    const FileInfo* listedFile(const std::string& role) const;  ///< by the snapshot; none if it is not there
    const SizeLimits& sizeLimits() const { return sizes_; }
    UnixSeconds now() const { return now_; }
    UnixSeconds expires() const;  ///< the earliest of all that is there and in use

  private:
    TrustedSet(Root root, UnixSeconds now, const SizeLimits& sizes)
        : root_(std::move(root)), now_(now), sizes_(sizes) {}
    Result<Timestamp> readTimestamp(std::string_view bytes) const;
    Result<Snapshot> readSnapshot(std::string_view bytes) const;
    Check checkExpiry(UnixSeconds expires, const std::string& role, std::int64_t version) const;

    Root root_;
    std::optional<Timestamp> timestamp_;
    std::optional<Snapshot> snapshot_;
    std::map<std::string, Targets> targets_;                   // by role
    std::set<std::pair<std::string, std::string>> trustedBy_;  // role and parent
    UnixSeconds now_;
    SizeLimits sizes_;
};

}  // namespace lichenlanding::metadata
