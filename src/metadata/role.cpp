#include "metadata/role.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace lichenlanding::metadata {
namespace {

constexpr std::size_t kMaxNameBytes = 200, kMaxPathBytes = 1024;
constexpr std::size_t kMaxKeys = 1024, kMaxSignatures = 1024;
constexpr const char* kTopRoles[] = {"root", "timestamp", "snapshot", "targets"};

Refusal shape(const Envelope& envelope, const std::string& role, std::string detail) {
    return {Reason::wrongShape, role, envelope.version, std::move(detail)};
}

std::optional<Signers> signersIn(const Json& object) {
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

Result<Keys> keysIn(const Json* object) {
    Keys keys;
    if (!object) return Refusal{Reason::wrongShape, {}, 0, "keys"};
    if (object->size() > kMaxKeys) return Refusal{Reason::tooMany, {}, 0, "keys"};
    for (const auto& [id, value] : object->items()) {
        auto key = Key::read(id, value);
        if (!key) return key.refusal();
        keys.emplace(id, std::move(*key));
    }
    return keys;
}

std::optional<std::map<std::string, std::string>> hashesIn(const Json& object, bool needed) {
    std::map<std::string, std::string> hashes;
    const auto found = object.find("hashes");
    if (found == object.end()) return needed ? std::nullopt : std::optional(hashes);
    if (!found->is_object() || found->empty()) return {};
    for (const auto& [name, digits] : found->items()) {
        if (!digits.is_string()) return {};
        hashes[name] = digits.get<std::string>();
    }
    return hashes;
}

std::optional<FileInfo> fileIn(const Json& object) {
    const auto version = integerMember(object, "version");
    if (!version) return {};
    FileInfo read{*version, {}, {}};
    if (object.contains("length")) {
        read.length = integerMember(object, "length", 0);
        if (!read.length) return {};
    }
    auto hashes = hashesIn(object, false);
    if (!hashes) return {};
    read.hashes = std::move(*hashes);
    return read;
}

bool hexDigits(std::string_view text) {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Check delegationsIn(const Envelope& envelope, const std::string& role, const Json& object, Targets& into) {
    auto keys = keysIn(member(object, "keys", Json::value_t::object));
    if (!keys) {
        auto refusal = keys.refusal();
        refusal.role = role;
        refusal.version = envelope.version;
        return refusal;
    }
    into.keys = std::move(*keys);
    const auto* roles = member(object, "roles", Json::value_t::array);
    const auto* succinct = member(object, "succinct_roles", Json::value_t::object);
    if (!roles == !succinct) return shape(envelope, role, "delegations need either roles or succinct_roles");
    if (succinct) {
        const auto signers = signersIn(*succinct);
        const auto bits = integerMember(*succinct, "bit_length");
        const auto* prefix = textMember(*succinct, "name_prefix");
        if (!signers || !bits || *bits > 32 || !prefix || !isRoleName(*prefix + "-00000000"))
            return shape(envelope, role, "succinct_roles");
        into.bins = HashBins{*signers, static_cast<int>(*bits), *prefix};
        return {};
    }
    for (const auto& entry : *roles) {
        const auto* name = textMember(entry, "name");
        const auto signers = signersIn(entry);
        const auto* terminating = member(entry, "terminating", Json::value_t::boolean);
        if (!name || !signers || !terminating) return shape(envelope, role, "a delegated role lacks a field");
        if (!isRoleName(*name) ||
            std::find(std::begin(kTopRoles), std::end(kTopRoles), *name) != std::end(kTopRoles))
            return Refusal{Reason::badName, role, envelope.version, "role " + escaped(*name, 80)};
        Delegation made{*name, *signers, terminating->get<bool>(), {}, {}};
        const auto* paths = member(entry, "paths", Json::value_t::array);
        const auto* prefixes = member(entry, "path_hash_prefixes", Json::value_t::array);
        if (!paths == !prefixes)
            return shape(envelope, role,
                         "role " + escaped(*name, 80) + " needs either paths or path_hash_prefixes");
        for (const auto& one : paths ? *paths : *prefixes) {
            if (!one.is_string()) return shape(envelope, role, "role " + escaped(*name, 80) + ": paths");
            (paths ? made.paths : made.prefixes).push_back(one.get<std::string>());
            if (prefixes && !hexDigits(made.prefixes.back()))
                return shape(envelope, role, "role " + escaped(*name, 80) + ": path_hash_prefixes");
        }
        const auto number = into.delegations.size();
        if (!into.byName.emplace(*name, number).second)
            return shape(envelope, role, "role " + escaped(*name, 80) + " twice");
        into.index.add(static_cast<std::uint32_t>(number), made.paths, made.prefixes);
        into.delegations.push_back(std::move(made));
    }
    into.index.seal();
    return {};
}

}  // namespace

std::optional<UnixSeconds> parseTime(std::string_view text) {
    static constexpr std::string_view kForm = "0000-00-00T00:00:00Z";
    if (text.size() != kForm.size()) return {};
    int part[6] = {};
    int at = 0;
    for (std::size_t letter = 0; letter < kForm.size(); ++letter) {
        if (kForm[letter] != '0') {
            if (text[letter] != kForm[letter]) return {};
            ++at;
        } else if (text[letter] < '0' || text[letter] > '9') {
            return {};
        } else {
            part[at] = part[at] * 10 + (text[letter] - '0');
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
    const sys_seconds at{seconds(time)};
    const auto midnight = floor<days>(at);
    const year_month_day day{midnight};
    const auto of = (at - midnight).count();
    char text[64];
    std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(day.year()),
                  static_cast<unsigned>(day.month()), static_cast<unsigned>(day.day()),
                  static_cast<int>(of / 3600), static_cast<int>(of / 60 % 60), static_cast<int>(of % 60));
    return text;
}

std::string percentEncoded(std::string_view name, bool keepSlash) {
    static constexpr char kDigits[] = "0123456789ABCDEF";
    std::string made;
    for (const char letter : name) {
        const bool plain = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
                           (letter >= 'A' && letter <= 'Z') || letter == '.' || letter == '_' ||
                           letter == '-' || letter == '~' || (keepSlash && letter == '/');
        const auto byte = static_cast<unsigned char>(letter);
        if (plain) {
            made += letter;
            continue;
        }
        made += '%';
        made += kDigits[byte >> 4];
        made += kDigits[byte & 15];
    }
    return made;
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
    const auto folder = slash == std::string::npos ? std::string() : path.substr(0, slash + 1);
    const auto& hashes = target.hashes;
    const auto hash = hashes.contains("sha256") ? hashes.at("sha256") : hashes.begin()->second;
    return folder + hash + "." + name;
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
    if (!document || !signatures) return shape(read, role, "no signed document");
    read.version = metadata::integerMember(*document, "version").value_or(0);
    const auto* kind = metadata::textMember(*document, "_type");
    if (!kind) return shape(read, role, "_type");
    if (*kind != type) return Refusal{Reason::wrongType, role, read.version, escaped(*kind, 40)};
    const auto* spec = metadata::textMember(*document, "spec_version");
    if (!spec) return shape(read, role, "spec_version");
    const bool major = spec->size() >= 3 && spec->compare(0, 2, "1.") == 0 &&
                       spec->find_first_not_of("0123456789.") ==
                           std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos;
    if (!major) return Refusal{Reason::wrongSpec, role, read.version, escaped(*spec, 40)};
    if (read.version < 1) return shape(read, role, "version");
    const auto* expires = metadata::textMember(*document, "expires");
    const auto time = expires ? parseTime(*expires) : std::nullopt;
    if (!time) return shape(read, role, "expires");
    if (signatures->size() > kMaxSignatures)
        return Refusal{Reason::tooMany, role, read.version, "signatures"};
    for (const auto& one : *signatures) {
        const auto* id = metadata::textMember(one, "keyid");
        const auto* sig = metadata::textMember(one, "sig");
        if (!id || !sig) return shape(read, role, "signatures");
        // An empty or spoilt one counts for nothing; offline signing leaves such places.
        if (!read.signatures.emplace(*id, parseHex(*sig).value_or("")).second)
            return Refusal{Reason::repeatedKey, role, read.version, "key id " + escaped(*id, 64)};
    }
    read.type = type;
    read.expires = *time;
    read.bytes = canonical(*document);
    read.document = std::move((*whole)["signed"]);
    return read;
}

std::int64_t Envelope::countSigners(const Keys& keys, const Signers& by) const {
    std::set<std::string> good;
    for (const auto& id : by.keyIds) {
        if (static_cast<std::int64_t>(good.size()) >= by.threshold) break;
        const auto key = keys.find(id);
        const auto signature = signatures.find(id);
        if (key == keys.end() || signature == signatures.end() || good.contains(key->second.identity()))
            continue;
        if (key->second.verifies(bytes, signature->second)) good.insert(key->second.identity());
    }
    return static_cast<std::int64_t>(good.size());
}

Check Envelope::verify(const Keys& keys, const Signers& by, const std::string& role) const {
    const auto count = countSigners(keys, by);
    if (count >= by.threshold) return {};
    return Refusal{Reason::unsigned_, role, version,
                   std::to_string(count) + " of " + std::to_string(by.threshold) + " signatures"};
}

Check verifyBytes(std::string_view bytes, const std::optional<std::int64_t>& length,
                  const std::map<std::string, std::string>& hashes, const std::string& role) {
    if (length && static_cast<std::int64_t>(bytes.size()) != *length)
        return Refusal{Reason::wrongLength, role, 0,
                       std::to_string(bytes.size()) + " bytes, listed " + std::to_string(*length)};
    bool any = false;
    for (const auto& [name, digits] : hashes) {
        const auto made = digest(name, bytes);
        if (made.empty()) continue;
        any = true;
        if (made != digits) return Refusal{Reason::wrongHash, role, 0, name};
    }
    if (!any && !hashes.empty()) return Refusal{Reason::wrongHash, role, 0, "no known kind of hash"};
    return {};
}

Result<Root> Root::read(const Envelope& envelope) {
    const auto& document = envelope.document;
    Root read;
    read.version = envelope.version;
    read.expires = envelope.expires;
    if (document.contains("consistent_snapshot")) {
        const auto* consistent = member(document, "consistent_snapshot", Json::value_t::boolean);
        if (!consistent) return shape(envelope, "root", "consistent_snapshot");
        read.consistent = consistent->get<bool>();
    } else {
        read.consistent = false;
    }
    auto keys = keysIn(member(document, "keys", Json::value_t::object));
    if (!keys) {
        auto refusal = keys.refusal();
        refusal.role = "root";
        refusal.version = envelope.version;
        return refusal;
    }
    read.keys = std::move(*keys);
    const auto* roles = member(document, "roles", Json::value_t::object);
    if (!roles) return shape(envelope, "root", "roles");
    for (const auto* name : kTopRoles) {
        const auto* role = member(*roles, name, Json::value_t::object);
        const auto signers = role ? signersIn(*role) : std::nullopt;
        if (!signers) return shape(envelope, "root", std::string("role ") + name);
        read.roles[name] = *signers;
    }
    return read;
}

Result<Timestamp> Timestamp::read(const Envelope& envelope) {
    const auto* meta = member(envelope.document, "meta", Json::value_t::object);
    const auto* entry = meta ? member(*meta, "snapshot.json", Json::value_t::object) : nullptr;
    const auto file = entry ? fileIn(*entry) : std::nullopt;
    if (!file || meta->size() != 1) return shape(envelope, "timestamp", "meta");
    return Timestamp{envelope.version, envelope.expires, *file};
}

Result<Snapshot> Snapshot::read(const Envelope& envelope) {
    const auto* meta = member(envelope.document, "meta", Json::value_t::object);
    if (!meta) return shape(envelope, "snapshot", "meta");
    Snapshot read{envelope.version, envelope.expires, {}};
    for (const auto& [name, entry] : meta->items()) {
        const auto file = fileIn(entry);
        if (!file) return shape(envelope, "snapshot", "meta of " + escaped(name, 80));
        read.files.emplace(name, *file);
    }
    if (!read.files.contains("targets.json")) return shape(envelope, "snapshot", "meta lacks targets.json");
    return read;
}

Result<Targets> Targets::read(const Envelope& envelope, const std::string& role) {
    const auto* targets = member(envelope.document, "targets", Json::value_t::object);
    if (!targets) return shape(envelope, role, "targets");
    Targets read;
    read.version = envelope.version;
    read.expires = envelope.expires;
    for (const auto& [path, entry] : targets->items()) {
        if (!isTargetName(path))
            return Refusal{Reason::badName, role, envelope.version, "target " + escaped(path, 80)};
        const auto length = integerMember(entry, "length", 0);
        auto hashes = entry.is_object() ? hashesIn(entry, true) : std::nullopt;
        if (!length || !hashes) return shape(envelope, role, "target " + escaped(path, 80));
        const auto* custom = member(entry, "custom", Json::value_t::object);
        read.targets.emplace(path, Target{*length, std::move(*hashes), custom ? *custom : Json()});
    }
    if (envelope.document.contains("delegations")) {
        const auto* delegations = member(envelope.document, "delegations", Json::value_t::object);
        if (!delegations) return shape(envelope, role, "delegations");
        if (auto refusal = delegationsIn(envelope, role, *delegations, read)) return *refusal;
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
        role[prefix.size()] != '-' || !hexDigits(std::string_view(role).substr(prefix.size() + 1)))
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
