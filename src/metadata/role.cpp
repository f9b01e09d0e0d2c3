#include "metadata/role.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace lichenlanding::metadata {
namespace {

constexpr std::size_t kMaxNameBytes = 200, kMaxPathBytes = 1024;
constexpr std::size_t kMaxKeys = 1024, kMaxSignatures = 1024;
constexpr const char* kTopRoles[] = {"root", "timestamp", "snapshot", "targets"};

Refusal invalid(const Envelope& envelope, const std::string& role, std::string detail) {
    return {Reason::wrongShape, role, envelope.version, std::move(detail)};
}

std::optional<Signers> parseSigners(const Json& object) {
    const auto* ids = member(object, "keyids", Json::value_t::array);
    const auto threshold = integerMember(object, "threshold");
    if (!ids || !threshold || ids->size() > kMaxKeys) return {};
    Signers read{{}, *threshold};
    std::set<std::string> distinct;
    for (const auto& id : *ids) {
        if (!id.is_string() || !distinct.insert(id.get<std::string>()).second) return {};
        read.keyIds.push_back(id.get<std::string>());
    }
    return read;
}

Result<Keys> parseKeys(const Json* object) {
    Keys keys;
    if (!object) return Refusal{Reason::wrongShape, {}, 0, "keys is missing or not an object"};
    if (object->size() > kMaxKeys) return Refusal{Reason::tooMany, {}, 0, "keys"};
    for (const auto& [id, value] : object->items()) {
        auto key = Key::read(id, value);
        if (!key) return key.refusal();
        keys.emplace(id, std::move(*key));
    }
    return keys;
}

std::optional<std::map<std::string, std::string>> parseHashes(const Json& object, bool required) {
    std::map<std::string, std::string> hashes;
    const auto found = object.find("hashes");
    if (found == object.end()) return required ? std::nullopt : std::optional(hashes);
    if (!found->is_object() || found->empty()) return {};
    for (const auto& [name, digits] : found->items()) {
        if (!digits.is_string()) return {};
        hashes[name] = digits.get<std::string>();
    }
    return hashes;
}

std::optional<FileInfo> parseFileInfo(const Json& object) {
    const auto version = integerMember(object, "version");
    if (!version) return {};
    FileInfo read{*version, {}, {}};
    if (object.contains("length")) {
        read.length = integerMember(object, "length", 0);
        if (!read.length) return {};
    }
    auto hashes = parseHashes(object, false);
    if (!hashes) return {};
    read.hashes = std::move(*hashes);
    return read;
}

bool isLowerHex(std::string_view text) {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Check parseDelegations(const Envelope& envelope, const std::string& role, const Json& object,
                       Targets& targets) {
    auto keys = parseKeys(member(object, "keys", Json::value_t::object));
    if (!keys) {
        auto refusal = keys.refusal();
        refusal.role = role;
        refusal.version = envelope.version;
        return refusal;
    }
    targets.keys = std::move(*keys);
    const auto* roles = member(object, "roles", Json::value_t::array);
    const auto* succinct = member(object, "succinct_roles", Json::value_t::object);
    if (!roles == !succinct) return invalid(envelope, role, "delegations need roles or succinct_roles");
    if (succinct) {
        const auto signers = parseSigners(*succinct);
        const auto bits = integerMember(*succinct, "bit_length");
        const auto* prefix = textMember(*succinct, "name_prefix");
        if (!signers || !bits || *bits > 32 || !prefix || !isRoleName(*prefix + "-00000000"))
            return invalid(envelope, role, "invalid succinct_roles");
        targets.bins = HashBins{*signers, static_cast<int>(*bits), *prefix};
        return {};
    }
    for (const auto& entry : *roles) {
        const auto* name = textMember(entry, "name");
        const auto signers = parseSigners(entry);
        const auto* terminating = member(entry, "terminating", Json::value_t::boolean);
        if (!name || !signers || !terminating)
            return invalid(envelope, role, "a delegated role lacks name, keyids, threshold or terminating");
        if (!isRoleName(*name) ||
            std::find(std::begin(kTopRoles), std::end(kTopRoles), *name) != std::end(kTopRoles))
            return Refusal{Reason::badName, role, envelope.version, "role " + escaped(*name, 80)};
        Delegation delegation{*name, *signers, terminating->get<bool>(), {}, {}};
        const auto* paths = member(entry, "paths", Json::value_t::array);
        const auto* prefixes = member(entry, "path_hash_prefixes", Json::value_t::array);
        if (!paths == !prefixes)
            return invalid(envelope, role,
                           "role " + escaped(*name, 80) + " needs either paths or path_hash_prefixes");
        for (const auto& one : paths ? *paths : *prefixes) {
            if (!one.is_string()) return invalid(envelope, role, "role " + escaped(*name, 80) + ": bad path");
            (paths ? delegation.paths : delegation.prefixes).push_back(one.get<std::string>());
            if (prefixes && !isLowerHex(delegation.prefixes.back()))
                return invalid(envelope, role, "role " + escaped(*name, 80) + ": bad path_hash_prefixes");
        }
        const auto number = targets.delegations.size();
        if (!targets.byName.emplace(*name, number).second)
            return invalid(envelope, role, "role " + escaped(*name, 80) + " is delegated to twice");
        targets.index.add(static_cast<std::uint32_t>(number), delegation.paths, delegation.prefixes);
        targets.delegations.push_back(std::move(delegation));
    }
    targets.index.seal();
    return {};
}

}  // namespace

std::optional<UnixSeconds> parseTime(std::string_view text) {
    static constexpr std::string_view kTemplate = "0000-00-00T00:00:00Z";
    if (text.size() != kTemplate.size()) return {};
    int part[6] = {};
    int field = 0;
    for (std::size_t letter = 0; letter < kTemplate.size(); ++letter) {
        if (kTemplate[letter] != '0') {
            if (text[letter] != kTemplate[letter]) return {};
            ++field;
        } else if (text[letter] < '0' || text[letter] > '9') {
            return {};
        } else {
            part[field] = part[field] * 10 + (text[letter] - '0');
        }
    }
    using namespace std::chrono;
    const year_month_day day{year(part[0]), month(static_cast<unsigned>(part[1])),
                             std::chrono::day(static_cast<unsigned>(part[2]))};
    if (!day.ok() || part[3] > 23 || part[4] > 59 || part[5] > 59) return {};
    return duration_cast<seconds>(sys_days(day).time_since_epoch()).count() + part[3] * 3600 + part[4] * 60 +
           part[5];
}

std::string formatTime(UnixSeconds time) {
    using namespace std::chrono;
    const sys_seconds instant{seconds(time)};
    const auto midnight = floor<days>(instant);
    const year_month_day day{midnight};
    const auto secondOfDay = (instant - midnight).count();
    char text[64];
    std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(day.year()),
                  static_cast<unsigned>(day.month()), static_cast<unsigned>(day.day()),
                  static_cast<int>(secondOfDay / 3600), static_cast<int>(secondOfDay / 60 % 60),
                  static_cast<int>(secondOfDay % 60));
    return text;
}

std::string percentEncoded(std::string_view name, bool keepSlash) {
    static constexpr char kDigits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : name) {
        const bool unreserved = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
                                (letter >= 'A' && letter <= 'Z') || letter == '.' || letter == '_' ||
                                letter == '-' || letter == '~' || (keepSlash && letter == '/');
        const auto byte = static_cast<unsigned char>(letter);
        if (unreserved) {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += kDigits[byte >> 4];
        encoded += kDigits[byte & 15];
    }
    return encoded;
}

bool isRoleName(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameBytes && percentEncoded(name).size() <= kMaxNameBytes &&
           std::none_of(name.begin(), name.end(), [](char letter) { return letter >= 0 && letter < ' '; });
}

bool isTargetName(std::string_view name) {
    return !name.empty() && name.size() <= kMaxPathBytes &&
           std::none_of(name.begin(), name.end(), [](char letter) { return letter >= 0 && letter < ' '; });
}

std::string locationOf(const std::string& path, const Target& target) {
    const auto slash = path.rfind('/');
    const auto name = slash == std::string::npos ? path : path.substr(slash + 1);
    const auto directory = slash == std::string::npos ? std::string() : path.substr(0, slash + 1);
    const auto& hashes = target.hashes;
    const auto hash = hashes.contains("sha256") ? hashes.at("sha256") : hashes.begin()->second;
    return directory + hash + "." + name;
}

Result<Envelope> Envelope::read(std::string_view text, const std::string& role, const std::string& type,
                                std::size_t maxBytes) {
    auto whole = parseJson(text, maxBytes);
    if (!whole) {
        auto refusal = whole.refusal();
        refusal.role = role;
        return refusal;
    }
    Envelope read;
    const auto* document = member(*whole, "signed", Json::value_t::object);
    const auto* signatures = member(*whole, "signatures", Json::value_t::array);
    if (!document || !signatures) return invalid(read, role, "signed or signatures is missing");
    read.version = metadata::integerMember(*document, "version").value_or(0);
    const auto* kind = metadata::textMember(*document, "_type");
    if (!kind) return invalid(read, role, "_type is missing");
    if (*kind != type) return Refusal{Reason::wrongType, role, read.version, escaped(*kind, 40)};
    const auto* spec = metadata::textMember(*document, "spec_version");
    if (!spec) return invalid(read, role, "spec_version is missing");
    const bool supported = spec->size() >= 3 && spec->compare(0, 2, "1.") == 0 &&
                           spec->find_first_not_of("0123456789.") ==
                               std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos;
    if (!supported) return Refusal{Reason::wrongSpec, role, read.version, escaped(*spec, 40)};
    if (read.version < 1) return invalid(read, role, "version is missing or below 1");
    const auto* expires = metadata::textMember(*document, "expires");
    const auto time = expires ? parseTime(*expires) : std::nullopt;
    if (!time) return invalid(read, role, "expires is not a UTC time like 2026-12-01T09:30:00Z");
    if (signatures->size() > kMaxSignatures)
        return Refusal{Reason::tooMany, role, read.version, "signatures"};
    for (const auto& one : *signatures) {
        const auto* id = metadata::textMember(one, "keyid");
        const auto* sig = metadata::textMember(one, "sig");
        if (!id || !sig) return invalid(read, role, "a signature lacks keyid or sig");
        // An empty or malformed signature is ignored; offline signing leaves such placeholders.
        if (!read.signatures.emplace(*id, parseHex(*sig).value_or("")).second)
            return Refusal{Reason::repeatedKey, role, read.version, "key id " + escaped(*id, 64)};
    }
    read.type = type;
    read.expires = *time;
    read.bytes = canonical(*document);
    read.document = std::move((*whole)["signed"]);
    return read;
}

std::int64_t Envelope::countSigners(const Keys& keys, const Signers& signers) const {
    std::set<std::string> validKeys;
    for (const auto& id : signers.keyIds) {
        if (static_cast<std::int64_t>(validKeys.size()) >= signers.threshold) break;
        const auto key = keys.find(id);
        const auto signature = signatures.find(id);
        if (key == keys.end() || signature == signatures.end() || validKeys.contains(key->second.identity()))
            continue;
        if (key->second.verifies(bytes, signature->second)) validKeys.insert(key->second.identity());
    }
    return static_cast<std::int64_t>(validKeys.size());
}

Check Envelope::verify(const Keys& keys, const Signers& signers, const std::string& role) const {
    const auto count = countSigners(keys, signers);
    if (count >= signers.threshold) return {};
    return Refusal{Reason::unsigned_, role, version,
                   std::to_string(count) + " of " + std::to_string(signers.threshold) +
                       " required signatures are valid"};
}

Check verifyBytes(std::string_view bytes, const std::optional<std::int64_t>& length,
                  const std::map<std::string, std::string>& hashes, const std::string& role) {
    if (length && static_cast<std::int64_t>(bytes.size()) != *length)
        return Refusal{Reason::wrongLength, role, 0,
                       std::to_string(bytes.size()) + " bytes, listed " + std::to_string(*length)};
    bool anySupported = false;
    for (const auto& [name, digits] : hashes) {
        const auto actual = digest(name, bytes);
        if (actual.empty()) continue;
        anySupported = true;
        if (actual != digits) return Refusal{Reason::wrongHash, role, 0, name};
    }
    if (!anySupported && !hashes.empty())
        return Refusal{Reason::wrongHash, role, 0, "no hash of a supported algorithm"};
    return {};
}

Result<Root> Root::read(const Envelope& envelope) {
    const auto& document = envelope.document;
    Root read;
    read.version = envelope.version;
    read.expires = envelope.expires;
    if (document.contains("consistent_snapshot")) {
        const auto* consistent = member(document, "consistent_snapshot", Json::value_t::boolean);
        if (!consistent) return invalid(envelope, "root", "consistent_snapshot is not a boolean");
        read.consistent = consistent->get<bool>();
    } else {
        read.consistent = false;
    }
    auto keys = parseKeys(member(document, "keys", Json::value_t::object));
    if (!keys) {
        auto refusal = keys.refusal();
        refusal.role = "root";
        refusal.version = envelope.version;
        return refusal;
    }
    read.keys = std::move(*keys);
    const auto* roles = member(document, "roles", Json::value_t::object);
    if (!roles) return invalid(envelope, "root", "roles is missing or not an object");
    for (const auto* name : kTopRoles) {
        const auto* role = member(*roles, name, Json::value_t::object);
        const auto signers = role ? parseSigners(*role) : std::nullopt;
        if (!signers) return invalid(envelope, "root", std::string("invalid role ") + name);
        read.roles[name] = *signers;
    }
    return read;
}

Result<Timestamp> Timestamp::read(const Envelope& envelope) {
    const auto* meta = member(envelope.document, "meta", Json::value_t::object);
    const auto* entry = meta ? member(*meta, "snapshot.json", Json::value_t::object) : nullptr;
    const auto file = entry ? parseFileInfo(*entry) : std::nullopt;
    if (!file || meta->size() != 1)
        return invalid(envelope, "timestamp", "meta needs a valid entry of snapshot.json only");
    return Timestamp{envelope.version, envelope.expires, *file};
}

Result<Snapshot> Snapshot::read(const Envelope& envelope) {
    const auto* meta = member(envelope.document, "meta", Json::value_t::object);
    if (!meta) return invalid(envelope, "snapshot", "meta is missing or not an object");
    Snapshot read{envelope.version, envelope.expires, {}};
    for (const auto& [name, entry] : meta->items()) {
        const auto file = parseFileInfo(entry);
        if (!file) return invalid(envelope, "snapshot", "invalid meta entry of " + escaped(name, 80));
        read.files.emplace(name, *file);
    }
    if (!read.files.contains("targets.json")) return invalid(envelope, "snapshot", "meta lacks targets.json");
    return read;
}

Result<Targets> Targets::read(const Envelope& envelope, const std::string& role) {
    const auto* targets = member(envelope.document, "targets", Json::value_t::object);
    if (!targets) return invalid(envelope, role, "targets is missing or not an object");
    Targets read;
    read.version = envelope.version;
    read.expires = envelope.expires;
    for (const auto& [path, entry] : targets->items()) {
        if (!isTargetName(path))
            return Refusal{Reason::badName, role, envelope.version, "target " + escaped(path, 80)};
        const auto length = integerMember(entry, "length", 0);
        auto hashes = entry.is_object() ? parseHashes(entry, true) : std::nullopt;
        if (!length || !hashes) return invalid(envelope, role, "invalid target " + escaped(path, 80));
        const auto* custom = member(entry, "custom", Json::value_t::object);
        read.targets.emplace(path, Target{*length, std::move(*hashes), custom ? *custom : Json()});
    }
    if (envelope.document.contains("delegations")) {
        const auto* delegations = member(envelope.document, "delegations", Json::value_t::object);
        if (!delegations) return invalid(envelope, role, "delegations is not an object");
        if (auto refusal = parseDelegations(envelope, role, *delegations, read)) return *refusal;
    }
    return read;
}

std::string HashBins::roleOf(std::string_view pathHash) const {
    std::uint32_t first = 0;
    std::from_chars(pathHash.data(), pathHash.data() + std::min<std::size_t>(pathHash.size(), 8), first, 16);
    char number[16];
    const int digits = (bits + 3) / 4;
    std::snprintf(number, sizeof number, "%0*x", digits, bits == 32 ? first : first >> (32 - bits));
    return prefix + "-" + number;
}

bool HashBins::contains(const std::string& role) const {
    const auto digits = static_cast<std::size_t>((bits + 3) / 4);
    if (role.size() != prefix.size() + 1 + digits || role.compare(0, prefix.size(), prefix) != 0 ||
        role[prefix.size()] != '-' || !isLowerHex(std::string_view(role).substr(prefix.size() + 1)))
        return false;
    std::uint64_t number = 0;
    std::from_chars(role.data() + prefix.size() + 1, role.data() + role.size(), number, 16);
    return number < std::uint64_t{1} << bits;
}

std::vector<Targets::Step> Targets::rolesFor(const std::string& path) const {
    const auto hash = digest("sha256", path);
    if (bins) return {{bins->roleOf(hash), true}};
    std::vector<Step> steps;
    for (const auto number : index.matching(path, hash)) {
        const auto& role = delegations[number];
        steps.push_back({role.name, role.terminating});
        if (role.terminating) break;
    }
    return steps;
}

const Signers* Targets::signersOf(const std::string& role) const {
    if (bins) return bins->contains(role) ? &bins->signers : nullptr;
    const auto found = byName.find(role);
    return found == byName.end() ? nullptr : &delegations[found->second].signers;
}

}  // namespace lichenlanding::metadata
