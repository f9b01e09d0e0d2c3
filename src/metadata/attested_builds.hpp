// What signed metadata say of builds: from the targets found to the attestations that the policy is told.
#pragma once

#include "metadata/uptane.hpp"
#include "policy/types.hpp"

namespace lichenlanding::metadata {

/// The builds that a sidecar tracks, what it last reported of each, and which were ever listed, so that one
/// that is no longer listed is known as withdrawn, after a restart too.
class AttestedBuilds {
  public:
    /// An attestation that differs from the one last reported.
    struct Change {
        int build = 0;
        Attestation attestation = Attestation::none;
    };
    using FoundTargets = std::map<std::string, std::optional<FoundTarget>>;
    using Directives = std::map<std::string, uptane::Directive>;

    /// `pattern`: of the targets' paths, with "{build}" once. Throws std::invalid_argument.
    explicit AttestedBuilds(std::string pattern);

    /// A build is on trial or has pods. True if it was not tracked yet: it is to be looked up soon. The
    /// newest kMaxTracked by number are tracked.
    bool track(int build);
    std::string pathOf(int build) const;
    std::vector<std::string> paths() const;

    /// After an accepted update, whose metadata expire at `expires`. Returns the changes, by number. A listed
    /// build is valid, unless its "custom" says "withdrawn": true. One that was listed and no longer is, is
    /// withdrawn. With a director only what it directs some unit to, and the image repository agrees with, is
    /// valid.
    std::vector<Change> update(const FoundTargets& found, UnixSeconds expires) {
        return update(found, expires, nullptr);
    }
    std::vector<Change> update(const FoundTargets& found, UnixSeconds expires, const Directives& directives) {
        return update(found, expires, &directives);
    }
    /// Expired metadata attest nothing: valid becomes none. Withdrawn stays.
    std::vector<Change> expire(UnixSeconds now);

    /// As last reported.
    Attestation attestationOf(int build) const;

    /// For the store: the builds that were ever listed. What cannot be parsed counts as nothing stored.
    std::string serialize() const;
    void restore(std::string_view bytes);

    static constexpr std::size_t kMaxTracked = 16;

  private:
    struct Tracked {
        Attestation reported = Attestation::none;
        bool everListed = false;
    };
    std::vector<Change> update(const FoundTargets& found, UnixSeconds expires, const Directives* directives);
    static Attestation attestationBy(const std::optional<FoundTarget>& found, bool everListed);
    static bool isDirected(const std::string& path, const std::optional<FoundTarget>& found,
                           const Directives& directives);

    std::string prefix_, suffix_;     // of the pattern
    std::map<int, Tracked> tracked_;  // by number
    UnixSeconds expires_ = 0;
};

}  // namespace lichenlanding::metadata
