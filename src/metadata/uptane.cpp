#include "metadata/uptane.hpp"

#include "metadata/authoring.hpp"

namespace lichenlanding::metadata::uptane {
namespace {

constexpr std::size_t kMaxManifestBytes = 4U << 20;

Refusal invalid(const std::string& role, std::string detail) {
    return {Reason::wrongShape, role, 0, std::move(detail)};
}

Check verifySignature(const Json& envelope, const Key& key, const std::string& role) {
    const auto* document = member(envelope, "signed", Json::value_t::object);
    const auto* signatures = member(envelope, "signatures", Json::value_t::array);
    if (!document || !signatures) return invalid(role, "signed or signatures is missing");
    for (const auto& one : *signatures) {
        const auto* id = textMember(one, "keyid");
        const auto* sig = textMember(one, "sig");
        if (id && sig && *id == key.id() && key.verifies(canonical(*document), parseHex(*sig).value_or("")))
            return {};
    }
    return Refusal{Reason::unsigned_, role, 0, "no valid signature by key " + key.id().substr(0, 12)};
}

}  // namespace

Result<std::map<std::string, Directive>> readDirectives(const Targets& director) {
    if (!director.delegations.empty() || director.bins)
        return invalid("director", "the director must not delegate");
    std::map<std::string, Directive> all;
    for (const auto& [path, target] : director.targets) {
        const auto* unit = textMember(target.custom, "ecuIdentifier");
        const auto* hardware = textMember(target.custom, "hardwareId");
        const auto counter = integerMember(target.custom, "releaseCounter", 0);
        if (!unit || !hardware || !counter)
            return invalid("director",
                           escaped(path, 80) + " lacks ecuIdentifier, hardwareId or releaseCounter");
        if (!all.emplace(*unit, Directive{*unit, *hardware, *counter, path, target}).second)
            return invalid("director", "two directives for unit " + escaped(*unit, 80));
    }
    return all;
}

Check verifyAgreement(const Directive& directive, const std::optional<FoundTarget>& image) {
    const auto role = escaped(directive.path, 80);
    if (!image) return Refusal{Reason::notFound, role, 0, "the image repository does not list it"};
    const auto disagreement = [&](const char* field) { return Refusal{Reason::disagrees, role, 0, field}; };
    if (image->target.length != directive.image.length) return disagreement("length");
    int common = 0;
    for (const auto& [name, digits] : directive.image.hashes)
        if (const auto other = image->target.hashes.find(name); other != image->target.hashes.end()) {
            ++common;
            if (other->second != digits) return disagreement("hash");
        }
    if (common == 0) return disagreement("no common hash algorithm");
    const auto& custom = image->target.custom;
    if (const auto* hardware = textMember(custom, "hardwareId"); hardware && *hardware != directive.hardware)
        return disagreement("hardware");
    if (const auto counter = integerMember(custom, "releaseCounter", 0);
        counter && *counter != directive.releaseCounter)
        return disagreement("release counter");
    return {};
}

Check checkInstallable(const Directive& directive, const Installed& installed) {
    if (directive.unit != installed.unit || directive.hardware != installed.hardware)
        return Refusal{Reason::wrongUnit, escaped(directive.path, 80), 0,
                       "the directive is for unit " + escaped(directive.unit, 60) + " on hardware " +
                           escaped(directive.hardware, 60)};
    if (directive.releaseCounter < installed.releaseCounter)
        return Refusal{Reason::rollback, escaped(directive.path, 80), 0,
                       "release counter " + std::to_string(directive.releaseCounter) + ", installed " +
                           std::to_string(installed.releaseCounter)};
    return {};
}

Result<Directive> Secondary::targets(std::string_view bytes, UnixSeconds now) {
    const auto envelope = Envelope::read(bytes, "targets", "targets", SizeLimits{}.targets);
    if (!envelope) return envelope.refusal();
    if (const auto refusal = envelope->verify(keys_, director_, "targets")) return *refusal;
    if (envelope->version < version_)
        return Refusal{Reason::rollback, "targets", envelope->version,
                       "last accepted version " + std::to_string(version_)};
    if (envelope->expires <= now)
        return Refusal{Reason::expired, "targets", envelope->version, "at " + formatTime(envelope->expires)};
    const auto read = Targets::read(*envelope, "targets");
    if (!read) return read.refusal();
    const auto all = readDirectives(*read);
    if (!all) return all.refusal();
    const auto own = all->find(installed_.unit);
    if (own == all->end())
        return Refusal{Reason::wrongUnit, "targets", envelope->version,
                       "no directive for unit " + escaped(installed_.unit, 60)};
    if (const auto refusal = checkInstallable(own->second, installed_)) return *refusal;
    version_ = envelope->version;
    directive_ = own->second;
    return own->second;
}

Check Secondary::install(std::string_view image) {
    if (!directive_) return Refusal{Reason::wrongOrder, installed_.unit, 0, "no directive accepted yet"};
    if (auto refusal =
            verifyBytes(image, directive_->image.length, directive_->image.hashes, directive_->path))
        return refusal;
    installed_.releaseCounter = directive_->releaseCounter;
    return {};
}

Json report(const UnitReport& unitReport, const SigningKey& unitKey) {
    Json hashes = Json::object();
    for (const auto& [name, digits] : unitReport.hashes) hashes[name] = digits;
    Json envelope = {{"signatures", Json::array()},
                     {"signed",
                      {{"ecuIdentifier", unitReport.unit},
                       {"installedImage",
                        {{"filepath", unitReport.path},
                         {"hashes", hashes},
                         {"releaseCounter", unitReport.releaseCounter}}},
                       {"time", formatTime(unitReport.at)},
                       {"attacksDetected", unitReport.attack}}}};
    sign(envelope, unitKey);
    return envelope;
}

Json manifest(const std::string& fleet, const std::string& primary, const std::vector<Json>& reports,
              const SigningKey& primaryKey) {
    Json all = Json::array();
    for (const auto& one : reports) all.push_back(one);
    Json envelope = {
        {"signatures", Json::array()},
        {"signed",
         {{"vehicleIdentifier", fleet}, {"primaryIdentifier", primary}, {"ecuVersionReports", all}}}};
    sign(envelope, primaryKey);
    return envelope;
}

Result<std::vector<UnitReport>> readManifest(std::string_view bytes, const Key& primaryKey,
                                             const std::map<std::string, Key>& unitKeys) {
    const auto whole = parseJson(bytes, kMaxManifestBytes);
    if (!whole) return whole.refusal();
    if (const auto refusal = verifySignature(*whole, primaryKey, "manifest")) return *refusal;
    const auto* reports = member((*whole)["signed"], "ecuVersionReports", Json::value_t::array);
    if (!reports) return invalid("manifest", "ecuVersionReports is missing or not an array");
    std::vector<UnitReport> all;
    std::set<std::string> reportedUnits;
    for (const auto& one : *reports) {
        const auto* document = member(one, "signed", Json::value_t::object);
        const auto* unit = document ? textMember(*document, "ecuIdentifier") : nullptr;
        if (!unit) return invalid("manifest", "a report lacks ecuIdentifier");
        const auto role = escaped(*unit, 60);
        const auto key = unitKeys.find(*unit);
        if (key == unitKeys.end()) return Refusal{Reason::badKeyId, role, 0, "unknown unit"};
        if (!reportedUnits.insert(*unit).second)
            return Refusal{Reason::repeatedKey, role, 0, "two reports of this unit"};
        if (const auto refusal = verifySignature(one, key->second, role)) return *refusal;
        const auto* image = member(*document, "installedImage", Json::value_t::object);
        const auto* path = image ? textMember(*image, "filepath") : nullptr;
        const auto counter = image ? metadata::integerMember(*image, "releaseCounter", 0) : std::nullopt;
        const auto* hashes = image ? member(*image, "hashes", Json::value_t::object) : nullptr;
        const auto* time = textMember(*document, "time");
        const auto at = time ? parseTime(*time) : std::nullopt;
        const auto* attack = textMember(*document, "attacksDetected");
        if (!path || !counter || !hashes || !at)
            return invalid(role, "the report lacks a field or has an invalid time");
        UnitReport read{*unit, *path, *counter, {}, *at, attack ? *attack : ""};
        for (const auto& [name, digits] : hashes->items())
            if (digits.is_string()) read.hashes[name] = digits.get<std::string>();
        all.push_back(std::move(read));
    }
    return all;
}

}  // namespace lichenlanding::metadata::uptane
