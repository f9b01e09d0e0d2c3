// Attestations of builds by signed metadata, derived from the targets found and passed on to the policy.
#pragma once

#include "metadata/uptane.hpp"
#include "policy/types.hpp"

namespace lichenlanding::metadata {

/// The builds that a sidecar tracks, with the attestation last reported and whether the build was ever
/// listed: one that is no longer listed counts as withdrawn, also after a restart.
class AttestedBuilds {
  public:
    /// An attestation that differs from the one last reported.
    struct Change {
        int build = 0;
        Attestation attestation = Attestation::none;
    };
    using FoundTargets = std::map<std::string, std::optional<FoundTarget>>;
    using Directives = std::map<std::string, uptane::Directive>;

    /// `pattern`: target path that contains "{build}" once, else std::invalid_argument is thrown.
    explicit AttestedBuilds(std::string pattern);

    /// Tracks a build that is being rolled out or has pods. Returns true if it was not tracked yet, so that
    /// its target should be searched soon. Only the kMaxTracked builds with the highest numbers are tracked.
    bool track(int build);
    std::string pathOf(int build) const;
    std::vector<std::string> paths() const;

    /// Evaluates an accepted update whose metadata expire at `expires`. Returns the changes, by build number.
    /// A listed build is valid unless its "custom" contains "withdrawn": true; a build that is no longer
    /// listed is withdrawn. With directives, a build is valid only if one names it and agrees with the image
    /// repository.
    std::vector<Change> update(const FoundTargets& found, UnixSeconds expires) {
        return update(found, expires, nullptr);
    }
    std::vector<Change> update(const FoundTargets& found, UnixSeconds expires, const Directives& directives) {
        return update(found, expires, &directives);
    }
    /// Once the metadata have expired, valid becomes none; withdrawn stays.
    std::vector<Change> expire(UnixSeconds now);

    /// The attestation last reported.
    Attestation attestationOf(int build) const;

    /// The builds that were ever listed, for the store. restore() ignores bytes that it cannot parse.
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

    std::string prefix_, suffix_;     // the pattern before and after "{build}"
    std::map<int, Tracked> tracked_;  // by build number
    UnixSeconds expires_ = 0;
};

}  // namespace lichenlanding::metadata
