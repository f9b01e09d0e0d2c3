// Uptane on top of TUF: the director repository assigns images to units, the image repository describes the
// images, and both must agree. docs/design/metadata.md describes what a vehicle, a primary and an ECU (here:
// a unit) correspond to in a fleet of pods. Source: Uptane Standard 2.0, 5.2.3 (targets' custom
// fields), 5.4.2 (primary), 5.4.4.2 (partial verification), 5.4.4.3 to 5.4.4.6 (full verification), 5.4.2.1
// (manifests).
#pragma once

#include "metadata/signing_key.hpp"
#include "metadata/update.hpp"

namespace lichenlanding::metadata::uptane {

/// The director's instruction which image a unit has to run.
struct Directive {
    std::string unit, hardware;  ///< "ecuIdentifier", "hardwareId"
    std::int64_t releaseCounter = 0;
    std::string path;
    Target image;
};

/// All directives in the director's targets, by unit. Refuses with wrongShape a directive that lacks a field,
/// a second one for a unit, and delegations, which the director must not use (5.4.4.5).
Result<std::map<std::string, Directive>> readDirectives(const Targets& director);

/// Verifies that the image repository lists the same image: equal length, at least one common hash algorithm,
/// equal hashes for all common ones, and equal hardware and release counter where it lists them. Refuses with
/// disagrees, or with notFound if it does not list the image.
Check verifyAgreement(const Directive& directive, const std::optional<FoundTarget>& image);

/// A unit, its hardware, and the release counter of the image that it runs.
struct Installed {
    std::string unit, hardware;
    std::int64_t releaseCounter = 0;
};
/// Refuses with wrongUnit or rollback.
Check checkInstallable(const Directive& directive, const Installed& installed);

/// A secondary with partial verification: it holds the keys of the director's targets role and gets that
/// role's document from the primary.
class Secondary {
  public:
    Secondary(Installed installed, Keys keys, Signers director)
        : installed_(std::move(installed)), keys_(std::move(keys)), director_(std::move(director)) {}

    /// Returns the directive for this unit. Refuses as TrustedSet does, with rollback for a targets version
    /// lower than the last accepted one, and with wrongUnit if there is no directive for this unit. A refusal
    /// changes nothing.
    Result<Directive> targets(std::string_view bytes, UnixSeconds now);
    /// Verifies an image against the last accepted directive and records it as installed.
    Check install(std::string_view image);

    const Installed& installed() const { return installed_; }

  private:
    Installed installed_;
    Keys keys_;
    Signers director_;
    std::int64_t version_ = 0;
    std::optional<Directive> directive_;
};

/// What a unit runs, reported by the unit and signed with its key (an ECU version report).
struct UnitReport {
    std::string unit, path;
    std::int64_t releaseCounter = 0;
    std::map<std::string, std::string> hashes;
    UnixSeconds at = 0;  ///< time of the report
    std::string attack;  ///< the attack detected last; empty if none
};

Json report(const UnitReport& unitReport, const SigningKey& unitKey);  ///< signed
/// The reports of all units, unchanged, signed by the primary (a vehicle version manifest).
Json manifest(const std::string& fleet, const std::string& primary, const std::vector<Json>& reports,
              const SigningKey& primaryKey);

/// Verifies a manifest with the given keys, for the director or an auditor. Refuses with unsigned_, with
/// badKeyId for an unknown unit and with repeatedKey for a second report of a unit.
Result<std::vector<UnitReport>> readManifest(std::string_view bytes, const Key& primaryKey,
                                             const std::map<std::string, Key>& unitKeys);

}  // namespace lichenlanding::metadata::uptane
