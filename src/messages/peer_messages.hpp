/// The messages between proxies and control nodes, with their JSON encoding. The messages among the replicas
/// of the register are in src/membership.
///
/// Encoding only, no decisions. Decoders throw nlohmann::json::exception on missing fields and wrong types,
/// which closes the connection (transport/peer_connection.hpp). Values own their data. Thread-safe.
#pragma once

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_set.hpp"
#include "messages/wire_names.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::messages {

using Json = nlohmann::json;

/// The number of hash ranges, by endpoint id, in which two copies of the endpoint list are compared. Part of
/// the protocol.
inline constexpr std::size_t kDigestRanges = 16;
using RangeHashes = std::array<std::uint64_t, kDigestRanges>;

/// The value of kFieldType. The reference is valid as long as the message.
const std::string& typeOf(const Json& message);

Json encode(const discovery::EndpointListVersion& version);
discovery::EndpointListVersion decodeEndpointListVersion(const Json& from);

/// The first message on each connection, in both directions.
struct Hello {
    std::string kind, name, address;
    std::optional<std::uint64_t> incarnation;         // proxies only: random, new at each process start
    std::optional<std::vector<std::string>> members;  // control nodes only: their addresses
};
Json encode(const Hello& hello);
Hello decodeHello(const Json& from);

/// Control node to proxies: all proxies connected to it, addresses by name.
struct Roster {
    std::map<std::string, std::string> proxies;
};
Json encode(const Roster& roster);
Roster decodeRoster(const Json& from);

/// Anti-entropy summary of the sender's state. Sent by control nodes to proxies, and between proxies that
/// monitor each other.
struct Digest {
    struct Endpoints {
        discovery::EndpointListVersion version;
        RangeHashes hashes{};
    };
    std::uint32_t configuration = 0;     // version; 0: none
    std::int64_t rollouts = -1;          // number of the newest change; -1: unknown
    std::optional<Endpoints> endpoints;  // absent if the sender's list is not current or not included
    bool isReply = false;
};
Json encode(const Digest& digest);
Digest decodeDigest(const Json& from);

/// Reply to a digest: requests what the sender is missing.
struct FetchRequest {
    struct Endpoints {
        discovery::EndpointListVersion version;  // the version in the digest
        // The ids that the sender has, by the index of each range that differs.
        std::map<std::string, std::vector<std::string>> heldIds;
    };
    std::optional<std::uint32_t> configuration;  // the version in the digest
    bool rollouts = false;
    std::optional<Endpoints> endpoints;
    bool empty() const { return !configuration && !rollouts && !endpoints; }
};
Json encode(const FetchRequest& request);
FetchRequest decodeFetchRequest(const Json& from);

/// A complete configuration, compressed by transport/compression.hpp.
struct ConfigurationUpdate {
    std::uint32_t version = 0;
    std::string compressed;
};
Json encode(const ConfigurationUpdate& update);
ConfigurationUpdate decodeConfigurationUpdate(const Json& from);

/// All rollouts, as the text in the register (decoded by codec.hpp).
struct RolloutsUpdate {
    std::int64_t number = 0;
    std::string text;
};
Json encode(const RolloutsUpdate& update);
RolloutsUpdate decodeRolloutsUpdate(const Json& from);

/// An incremental change from list version `baseVersion`. Without `baseVersion`: a repair of the receiver's
/// copy, in reply to a FetchRequest.
struct EndpointsUpdate {
    std::optional<discovery::EndpointListVersion> baseVersion;
    discovery::EndpointListVersion version;
    std::vector<discovery::Endpoint> endpoints;
    std::vector<std::string> removed;                 // ids of endpoints that have left for good
    std::optional<std::vector<std::string>> suspect;  // ids missing here, but maybe in a newer version
};
Json encode(const EndpointsUpdate& update);
EndpointsUpdate decodeEndpointsUpdate(const Json& from);

/// Proxy to control nodes: the configuration version that the proxy serves with.
struct Acknowledgement {
    std::uint32_t configuration = 0;
};
Json encode(const Acknowledgement& acknowledgement);
Acknowledgement decodeAcknowledgement(const Json& from);

/// Proxy to control nodes: a proxy that the sender monitors has closed its connection or timed out.
struct PeerLost {
    std::string name;
};
Json encode(const PeerLost& lost);
PeerLost decodePeerLost(const Json& from);

/// Proxy to the voters on a rollout: the request outcomes counted since the proxy started. Replaces earlier
/// reports of the same incarnation.
struct CountsReport {
    std::string from;
    std::uint64_t incarnation = 0, number = 0;
    std::string rolloutKey;  // service, "\n", target version
    verdict::Totals totals;
};
Json encode(const CountsReport& report);
CountsReport decodeCountsReport(const Json& from);

/// Voter to control nodes: the voter's verdict on a stage of a rollout.
struct Vote {
    std::string from, service, target;
    int stage = 0;
    int verdict = 0;  // the numeric value of a lichenlanding::Verdict
    std::uint32_t canaryCount = 0, baselineCount = 0, canaryFailures = 0;
    double lowerBound = 0, upperBound = 0;
};
Json encode(const Vote& vote);
Vote decodeVote(const Json& from);

}  // namespace lichenlanding::messages
