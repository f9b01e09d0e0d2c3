// Uptane on top of TUF: a director says which unit should run what, an image repository says what an image
// is, and neither is believed alone. docs/design/metadata.md says what a vehicle, a primary and an ECU (a
// unit, here) stand for in a fleet of pods. Source: Uptane Standard 2.0, 5.2.3 (targets' custom
// fields), 5.4.2 (primary), 5.4.4.2 (partial verification), 5.4.4.3 to 5.4.4.6 (full verification), 5.4.2.1
// (manifests).
#pragma once

#include "metadata/signing_key.hpp"
#include "metadata/update.hpp"

namespace lichenlanding::metadata::uptane {

/// The director's word for one unit.
struct Directive {
    std::string unit, hardware;  ///< "ecuIdentifier", "hardwareId"
    std::int64_t releaseCounter = 0;
    std::string path;
    Target image;
};

/// All directives of the director's targets, by unit. Refuses with wrongShape one that lacks a field, a
/// second one for a unit, and a director that delegates: its targets speak for themselves (5.4.4.5).
Result<std::map<std::string, Directive>> readDirectives(const Targets& director);

/// The image repository lists the same image: length and at least one common hash, all common ones equal, the
/// same hardware and release counter where it tells them. Refuses with disagrees, or notFound if it has none.
Check verifyAgreement(const Directive& directive, const std::optional<FoundTarget>& image);

/// What a unit has: its hardware, and the release counter of what it runs. Refuses with wrongUnit or
/// rollback.
struct Installed {
    std::string unit, hardware;
    std::int64_t releaseCounter = 0;
};
Check checkInstallable(const Directive& directive, const Installed& installed);

/// A secondary that can't verify everything: it knows the director's targets role by its keys alone, and
/// takes its targets document from the primary.
class Secondary {
  public:
    Secondary(Installed installed, Keys keys, Signers director)
        : installed_(std::move(installed)), keys_(std::move(keys)), director_(std::move(director)) {}

    /// The directive for this unit. Refuses as TrustedSet does, and with rollback for a targets version lower
    /// than before, wrongUnit if none is for this unit. A refusal changes nothing.
    Result<Directive> targets(std::string_view bytes, UnixSeconds now);
    /// An image against the directive taken last; what it runs changes with it.
    Check install(std::string_view image);

    const Installed& installed() const { return installed_; }

  private:
    Installed installed_;
    Keys keys_;
    Signers director_;
    std::int64_t version_ = 0;
    std::optional<Directive> directive_;
};

/// What runs on a unit, told by it and signed with its own key.
struct UnitReport {
    std::string unit, path;
    std::int64_t releaseCounter = 0;
    std::map<std::string, std::string> hashes;
    UnixSeconds at = 0;
    std::string attack;  ///< what it refused last, empty if nothing
};

Json report(const UnitReport& of, const SigningKey& unitKey);  ///< signed
/// Of all units, signed by the primary: their reports go in as they came.
Json manifest(const std::string& fleet, const std::string& primary, const std::vector<Json>& reports,
              const SigningKey& primaryKey);

/// The director's side, and an auditor's: verified with the keys it knows. Refuses with unsigned_, badKeyId
/// for a unit that is not known, repeatedKey for a unit that reports twice.
Result<std::vector<UnitReport>> readManifest(std::string_view bytes, const Key& primaryKey,
                                             const std::map<std::string, Key>& unitKeys);

}  // namespace lichenlanding::metadata::uptane
