#include "messages/peer_messages.hpp"

#include "messages/codec.hpp"

namespace lichenlanding::messages {
namespace {

Json messageOfType(const char* type) { return Json{{kFieldType, type}}; }

template <typename T>
T get(const Json& from, const char* field) {
    return from.at(field).get<T>();
}

template <typename T>
std::optional<T> getOptional(const Json& from, const char* field) {
    const auto found = from.find(field);
    if (found == from.end()) return std::nullopt;
    return found->template get<T>();
}

}  // namespace

const std::string& typeOf(const Json& message) {
    return message.at(kFieldType).get_ref<const std::string&>();
}

Json encode(const discovery::EndpointListVersion& version) {
    return Json::array({version.term, version.sequence});
}

discovery::EndpointListVersion decodeEndpointListVersion(const Json& from) {
    return {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>()};
}

Json encode(const Hello& hello) {
    auto json = messageOfType(kTypeHello);
    json[kFieldKind] = hello.kind;
    json[kFieldName] = hello.name;
    json[kFieldAddress] = hello.address;
    if (hello.incarnation) json[kFieldIncarnation] = *hello.incarnation;
    if (hello.members) json[kFieldMembers] = *hello.members;
    return json;
}

Hello decodeHello(const Json& from) {
    Hello hello;
    hello.kind = get<std::string>(from, kFieldKind);
    hello.name = get<std::string>(from, kFieldName);
    hello.address = get<std::string>(from, kFieldAddress);
    hello.incarnation = getOptional<std::uint64_t>(from, kFieldIncarnation);
    hello.members = getOptional<std::vector<std::string>>(from, kFieldMembers);
    return hello;
}

Json encode(const Roster& roster) {
    auto json = messageOfType(kTypeRoster);
    json[kFieldProxies] = roster.proxies;
    return json;
}

Roster decodeRoster(const Json& from) {
    return {get<std::map<std::string, std::string>>(from, kFieldProxies)};
}

Json encode(const Digest& digest) {
    auto json = messageOfType(kTypeDigest);
    json[kFieldConfiguration] = digest.configuration;
    json[kFieldRollouts] = digest.rollouts;
    if (digest.endpoints) {
        json[kFieldListVersion] = encode(digest.endpoints->version);
        json[kFieldRangeHashes] = digest.endpoints->hashes;
    }
    if (digest.isReply) json[kFieldIsReply] = true;
    return json;
}

Digest decodeDigest(const Json& from) {
    Digest digest;
    digest.configuration = get<std::uint32_t>(from, kFieldConfiguration);
    digest.rollouts = get<std::int64_t>(from, kFieldRollouts);
    if (const auto version = from.find(kFieldListVersion); version != from.end())
        digest.endpoints = {decodeEndpointListVersion(*version), get<RangeHashes>(from, kFieldRangeHashes)};
    digest.isReply = from.contains(kFieldIsReply);
    return digest;
}

Json encode(const FetchRequest& request) {
    auto json = messageOfType(kTypeFetch);
    if (request.configuration) json[kFieldConfiguration] = *request.configuration;
    if (request.rollouts) json[kFieldRollouts] = true;
    if (request.endpoints) {
        json[kFieldHeldIds] = request.endpoints->heldIds;
        json[kFieldWantedVersion] = encode(request.endpoints->version);
    }
    return json;
}

FetchRequest decodeFetchRequest(const Json& from) {
    FetchRequest request;
    request.configuration = getOptional<std::uint32_t>(from, kFieldConfiguration);
    request.rollouts = from.contains(kFieldRollouts);
    if (const auto heldIds = from.find(kFieldHeldIds); heldIds != from.end()) {
        auto& endpoints = request.endpoints.emplace();
        endpoints.version = decodeEndpointListVersion(from.at(kFieldWantedVersion));
        heldIds->get_to(endpoints.heldIds);
    }
    return request;
}

Json encode(const ConfigurationUpdate& update) {
    auto json = messageOfType(kTypeConfiguration);
    json[kFieldVersion] = update.version;
    json[kFieldCompressed] = encodeBytes(update.compressed);
    return json;
}

ConfigurationUpdate decodeConfigurationUpdate(const Json& from) {
    return {get<std::uint32_t>(from, kFieldVersion), decodeBytes(from.at(kFieldCompressed))};
}

Json encode(const RolloutsUpdate& update) {
    auto json = messageOfType(kTypeRollouts);
    json[kFieldNumber] = update.number;
    json[kFieldRolloutList] = update.text;
    return json;
}

RolloutsUpdate decodeRolloutsUpdate(const Json& from) {
    return {get<std::int64_t>(from, kFieldNumber), get<std::string>(from, kFieldRolloutList)};
}

Json encode(const EndpointsUpdate& update) {
    auto json = messageOfType(kTypeEndpoints);
    if (update.baseVersion) json[kFieldBaseVersion] = encode(*update.baseVersion);
    json[kFieldListVersion] = encode(update.version);
    auto& endpoints = json[kFieldEndpoints] = Json::array();
    for (const auto& endpoint : update.endpoints) endpoints.push_back(encode(endpoint));
    json[kFieldRemoved] = update.removed;
    if (update.suspect) json[kFieldSuspect] = *update.suspect;
    return json;
}

EndpointsUpdate decodeEndpointsUpdate(const Json& from) {
    EndpointsUpdate update;
    update.version = decodeEndpointListVersion(from.at(kFieldListVersion));
    if (const auto baseVersion = from.find(kFieldBaseVersion); baseVersion != from.end())
        update.baseVersion = decodeEndpointListVersion(*baseVersion);
    const auto& endpoints = from.at(kFieldEndpoints);
    update.endpoints.reserve(endpoints.size());
    for (const auto& entry : endpoints) update.endpoints.push_back(decodeEndpoint(entry));
    if (auto removed = getOptional<std::vector<std::string>>(from, kFieldRemoved))
        update.removed = std::move(*removed);
    update.suspect = getOptional<std::vector<std::string>>(from, kFieldSuspect);
    return update;
}

Json encode(const Acknowledgement& acknowledgement) {
    auto json = messageOfType(kTypeAcknowledgement);
    json[kFieldConfiguration] = acknowledgement.configuration;
    return json;
}

Acknowledgement decodeAcknowledgement(const Json& from) {
    return {get<std::uint32_t>(from, kFieldConfiguration)};
}

Json encode(const PeerLost& lost) {
    auto json = messageOfType(kTypePeerLost);
    json[kFieldName] = lost.name;
    return json;
}

PeerLost decodePeerLost(const Json& from) { return {get<std::string>(from, kFieldName)}; }

Json encode(const CountsReport& report) {
    auto json = messageOfType(kTypeCounts);
    json[kFieldFrom] = report.from;
    json[kFieldIncarnation] = report.incarnation;
    json[kFieldNumber] = report.number;
    json[kFieldRolloutKey] = report.rolloutKey;
    json[kFieldTotals] = encode(report.totals);
    return json;
}

CountsReport decodeCountsReport(const Json& from) {
    CountsReport report;
    report.rolloutKey = get<std::string>(from, kFieldRolloutKey);
    report.from = get<std::string>(from, kFieldFrom);
    report.incarnation = get<std::uint64_t>(from, kFieldIncarnation);
    report.number = get<std::uint64_t>(from, kFieldNumber);
    report.totals = decodeTotals(from.at(kFieldTotals));
    return report;
}

Json encode(const Vote& vote) {
    auto json = messageOfType(kTypeVote);
    json[kFieldFrom] = vote.from;
    json[kFieldService] = vote.service;
    json[kFieldTarget] = vote.target;
    json[kFieldStage] = vote.stage;
    json[kFieldVerdict] = vote.verdict;
    json[kFieldCanaryCount] = vote.canaryCount;
    json[kFieldBaselineCount] = vote.baselineCount;
    json[kFieldCanaryFailures] = vote.canaryFailures;
    json[kFieldLowerBound] = vote.lowerBound;
    json[kFieldUpperBound] = vote.upperBound;
    return json;
}

Vote decodeVote(const Json& from) {
    Vote vote;
    vote.from = get<std::string>(from, kFieldFrom);
    vote.service = get<std::string>(from, kFieldService);
    vote.target = get<std::string>(from, kFieldTarget);
    vote.stage = get<int>(from, kFieldStage);
    vote.verdict = get<int>(from, kFieldVerdict);
    vote.canaryCount = get<std::uint32_t>(from, kFieldCanaryCount);
    vote.baselineCount = get<std::uint32_t>(from, kFieldBaselineCount);
    vote.canaryFailures = get<std::uint32_t>(from, kFieldCanaryFailures);
    vote.lowerBound = get<double>(from, kFieldLowerBound);
    vote.upperBound = get<double>(from, kFieldUpperBound);
    return vote;
}

}  // namespace lichenlanding::messages
