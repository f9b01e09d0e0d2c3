#include "metadata/authoring.hpp"

#include <algorithm>

namespace lichenlanding::metadata {
namespace {

Json newEnvelope(const char* type, UnixSeconds expires) {
    return {{"signatures", Json::array()},
            {"signed",
             {{"_type", type},
              {"spec_version", kSpecVersion},
              {"version", 1},
              {"expires", formatTime(expires)}}}};
}

Json toArray(const std::vector<std::string>& texts) {
    Json list = Json::array();
    for (const auto& text : texts) list.push_back(text);
    return list;
}

Check unknownRole(const std::string& role) { return Refusal{Reason::wrongShape, role, 0, "no such role"}; }

// Removes the keys that are in none of the lists of key ids.
void removeUnusedKeys(Json& keys, const std::vector<const Json*>& usedIds) {
    for (auto at = keys.begin(); at != keys.end();) {
        const bool used = std::any_of(usedIds.begin(), usedIds.end(), [&](const Json* ids) {
            return std::find(ids->begin(), ids->end(), Json(at.key())) != ids->end();
        });
        if (used) ++at;
        else at = keys.erase(at);
    }
}

void removeUnusedRootKeys(Json& document) {
    std::vector<const Json*> usedIds;
    for (const auto& role : document["roles"]) usedIds.push_back(&role["keyids"]);
    removeUnusedKeys(document["keys"], usedIds);
}

Json& delegationsOf(Json& envelope) {
    auto& document = documentOf(envelope);
    if (!document.contains("delegations")) document["delegations"] = {{"keys", Json::object()}};
    return document["delegations"];
}

void removeUnusedDelegationKeys(Json& delegations) {
    std::vector<const Json*> usedIds;
    if (delegations.contains("roles"))
        for (const auto& role : delegations["roles"]) usedIds.push_back(&role["keyids"]);
    if (delegations.contains("succinct_roles")) usedIds.push_back(&delegations["succinct_roles"]["keyids"]);
    removeUnusedKeys(delegations["keys"], usedIds);
}

Check checkSignable(const Signers& signers, const std::string& role) {
    if (signers.threshold >= 1 && signers.threshold <= static_cast<std::int64_t>(signers.keyIds.size()))
        return {};
    return Refusal{Reason::wrongShape, role, 0,
                   "threshold " + std::to_string(signers.threshold) + " with " +
                       std::to_string(signers.keyIds.size()) + " keys"};
}

}  // namespace

Json newRoot(UnixSeconds expires, bool consistent) {
    auto envelope = newEnvelope("root", expires);
    auto& document = documentOf(envelope);
    document["consistent_snapshot"] = consistent;
    document["keys"] = Json::object();
    for (const auto* role : {"root", "timestamp", "snapshot", "targets"})
        document["roles"][role] = {{"keyids", Json::array()}, {"threshold", 1}};
    return envelope;
}

Json newTargets(UnixSeconds expires) {
    auto envelope = newEnvelope("targets", expires);
    documentOf(envelope)["targets"] = Json::object();
    return envelope;
}

Json newSnapshot(UnixSeconds expires) {
    auto envelope = newEnvelope("snapshot", expires);
    documentOf(envelope)["meta"] = Json::object();
    return envelope;
}

Json newTimestamp(UnixSeconds expires) {
    auto envelope = newEnvelope("timestamp", expires);
    documentOf(envelope)["meta"] = Json::object();
    return envelope;
}

Json& documentOf(Json& envelope) { return envelope["signed"]; }

std::int64_t versionOf(const Json& envelope) {
    const auto* document = member(envelope, "signed", Json::value_t::object);
    return document ? integerMember(*document, "version").value_or(0) : 0;
}

std::string textOf(const Json& envelope) { return envelope.dump(1) + "\n"; }

void bumpVersion(Json& envelope, UnixSeconds expires) {
    auto& document = documentOf(envelope);
    document["version"] = versionOf(envelope) + 1;
    document["expires"] = formatTime(expires);
    envelope["signatures"] = Json::array();
}

void sign(Json& envelope, const SigningKey& key) {
    auto& signatures = envelope["signatures"];
    const auto& id = key.key().id();
    const Json signature = {{"keyid", id}, {"sig", hex(key.sign(canonical(documentOf(envelope))))}};
    for (auto& existing : signatures)
        if (existing.value("keyid", "") == id) return void(existing = signature);
    signatures.push_back(signature);
}

Check addKey(Json& root, const std::string& role, const Key& key) {
    auto& document = documentOf(root);
    if (!document["roles"].contains(role)) return unknownRole(role);
    document["keys"][key.id()] = key.object();
    auto& ids = document["roles"][role]["keyids"];
    if (std::find(ids.begin(), ids.end(), Json(key.id())) == ids.end()) ids.push_back(key.id());
    return {};
}

Check removeKey(Json& root, const std::string& role, const std::string& keyId) {
    auto& document = documentOf(root);
    if (!document["roles"].contains(role)) return unknownRole(role);
    auto& ids = document["roles"][role]["keyids"];
    const auto found = std::find(ids.begin(), ids.end(), Json(keyId));
    if (found == ids.end())
        return Refusal{Reason::badKeyId, role, 0, "the role has no key " + escaped(keyId, 64)};
    ids.erase(found);
    removeUnusedRootKeys(document);
    return {};
}

Check setThreshold(Json& root, const std::string& role, std::int64_t threshold) {
    auto& document = documentOf(root);
    if (!document["roles"].contains(role)) return unknownRole(role);
    auto& entry = document["roles"][role];
    Signers signers{entry["keyids"].get<std::vector<std::string>>(), threshold};
    if (auto refusal = checkSignable(signers, role)) return refusal;
    entry["threshold"] = threshold;
    return {};
}

Check addTarget(Json& targets, const std::string& path, std::string_view bytes, const Json& custom) {
    if (!isTargetName(path)) return Refusal{Reason::badName, escaped(path, 80), 0, "not a valid target name"};
    auto& entry = documentOf(targets)["targets"][path];
    entry = {{"length", static_cast<std::int64_t>(bytes.size())},
             {"hashes", {{"sha256", digest("sha256", bytes)}}}};
    if (!custom.is_null()) entry["custom"] = custom;
    return {};
}

bool removeTarget(Json& targets, const std::string& path) {
    return documentOf(targets)["targets"].erase(path) > 0;
}

Check delegate(Json& targets, const Delegation& to, const std::vector<Key>& keys) {
    if (!isRoleName(to.name))
        return Refusal{Reason::badName, escaped(to.name, 80), 0, "not a valid role name"};
    if (to.paths.empty() == to.prefixes.empty())
        return Refusal{Reason::wrongShape, to.name, 0, "needs either path patterns or hash prefixes"};
    if (auto refusal = checkSignable(to.signers, to.name)) return refusal;
    auto& delegations = delegationsOf(targets);
    if (delegations.contains("succinct_roles"))
        return Refusal{Reason::wrongShape, to.name, 0, "cannot be combined with hash bins"};
    for (const auto& key : keys) delegations["keys"][key.id()] = key.object();
    Json entry = {{"name", to.name},
                  {"keyids", toArray(to.signers.keyIds)},
                  {"threshold", to.signers.threshold},
                  {"terminating", to.terminating}};
    entry[to.paths.empty() ? "path_hash_prefixes" : "paths"] =
        toArray(to.paths.empty() ? to.prefixes : to.paths);
    auto& roles = delegations["roles"];
    bool replaced = false;
    for (auto& existing : roles)
        if (existing["name"] == to.name) existing = entry, replaced = true;
    if (!replaced) roles.push_back(entry);
    removeUnusedDelegationKeys(delegations);
    return {};
}

Check delegateBins(Json& targets, const HashBins& to, const std::vector<Key>& keys) {
    if (to.bits < 1 || to.bits > 32 || !isRoleName(to.prefix + "-00000000"))
        return Refusal{Reason::badName, escaped(to.prefix, 80), 0,
                       "needs 1 to 32 bits and a valid name prefix"};
    if (auto refusal = checkSignable(to.signers, to.prefix)) return refusal;
    auto& delegations = delegationsOf(targets);
    if (delegations.contains("roles") && !delegations["roles"].empty())
        return Refusal{Reason::wrongShape, to.prefix, 0,
                       "hash bins cannot be combined with other delegations"};
    delegations.erase("roles");
    for (const auto& key : keys) delegations["keys"][key.id()] = key.object();
    delegations["succinct_roles"] = {{"keyids", toArray(to.signers.keyIds)},
                                     {"threshold", to.signers.threshold},
                                     {"bit_length", to.bits},
                                     {"name_prefix", to.prefix}};
    removeUnusedDelegationKeys(delegations);
    return {};
}

bool revoke(Json& targets, const std::string& role) {
    auto& delegations = delegationsOf(targets);
    if (!delegations.contains("roles")) return false;
    auto& roles = delegations["roles"];
    for (auto at = roles.begin(); at != roles.end(); ++at)
        if ((*at)["name"] == role) {
            roles.erase(at);
            removeUnusedDelegationKeys(delegations);
            return true;
        }
    return false;
}

Json listingOf(std::int64_t version, std::string_view bytes, bool hashed) {
    Json listing = {{"version", version}};
    if (hashed) {
        listing["length"] = static_cast<std::int64_t>(bytes.size());
        listing["hashes"] = {{"sha256", digest("sha256", bytes)}};
    }
    return listing;
}

void addListing(Json& snapshot, const std::string& fileName, const Json& listing) {
    documentOf(snapshot)["meta"][fileName] = listing;
}

Check verifySignedBy(const Json& envelope, const std::string& role, const std::string& type, const Keys& keys,
                     const Signers& signers) {
    const auto text = textOf(envelope);
    const auto read = Envelope::read(text, role, type, text.size());
    if (!read) return read.refusal();
    return read->verify(keys, signers, role);
}

}  // namespace lichenlanding::metadata
