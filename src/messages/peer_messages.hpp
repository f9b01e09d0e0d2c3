/// The messages between proxies and control nodes as values, and the one place where they become JSON and are
/// read again. The messages of the register's replicas among themselves are in src/membership.
///
/// Encoding only: nothing here decides. Decoders throw nlohmann::json::exception on a value of another shape;
/// a connection ends there (transport/peer_connection.hpp). Values own what they hold. Any thread.
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

/// Endpoints are compared in so many ranges of the hash of their ids. Part of the protocol.
inline constexpr std::size_t kDigestRanges = 16;
using RangeHashes = std::array<std::uint64_t, kDigestRanges>;

/// The message's type, a value of kFieldType. Valid as long as the message.
const std::string& typeOf(const Json& message);

Json encode(const discovery::EndpointListVersion& version);
discovery::EndpointListVersion decodeEndpointListVersion(const Json& from);

/// The first message on each connection, both ways.
struct Hello {
    std::string kind, name, address;
    std::optional<std::uint64_t> incarnation;         // of a proxy
    std::optional<std::vector<std::string>> members;  // of a control node: addresses to connect to
};
Json encode(const Hello& hello);
Hello decodeHello(const Json& from);

/// Control node to proxies: all proxies that it is connected to, address by name.
struct Roster {
    std::map<std::string, std::string> proxies;
};
Json encode(const Roster& roster);
Roster decodeRoster(const Json& from);

/// What the sender holds, in short. Control node to proxies, and between proxies that watch each other.
struct Digest {
    struct Endpoints {
        discovery::EndpointListVersion version;
        RangeHashes hashes{};
    };
    std::uint32_t configuration = 0;     // 0: none
    std::int64_t rollouts = -1;          // -1: not known
    std::optional<Endpoints> endpoints;  // absent where the sender's list is not current, or not told
    bool isReply = false;
};
Json encode(const Digest& digest);
Digest decodeDigest(const Json& from);

/// What the sender lacks, as an answer to a digest.
struct FetchRequest {
    struct Endpoints {
        discovery::EndpointListVersion version;  // that the digest named
        std::map<std::string, std::vector<std::string>>
            heldIds;  // ids, by the number of each range that differs
    };
    std::optional<std::uint32_t> configuration;  // the version that was named
    bool rollouts = false;
    std::optional<Endpoints> endpoints;
    bool empty() const { return !configuration && !rollouts && !endpoints; }
};
Json encode(const FetchRequest& request);
FetchRequest decodeFetchRequest(const Json& from);

/// A whole configuration, compressed (transport/compression.hpp).
struct ConfigurationUpdate {
    std::uint32_t version = 0;
    std::string compressed;
};
Json encode(const ConfigurationUpdate& update);
ConfigurationUpdate decodeConfigurationUpdate(const Json& from);

/// All rollouts, as the register's text has them (codec.hpp reads it).
struct RolloutsUpdate {
    std::int64_t number = 0;
    std::string text;
};
Json encode(const RolloutsUpdate& update);
RolloutsUpdate decodeRolloutsUpdate(const Json& from);

/// A change of the endpoints from the list version `before`, or, where there is none, what mends a copy.
struct EndpointsUpdate {
    std::optional<discovery::EndpointListVersion> baseVersion;
    discovery::EndpointListVersion version;
    std::vector<discovery::Endpoint> endpoints;
    std::vector<std::string> removed;                 // seen to go: never back
    std::optional<std::vector<std::string>> suspect;  // not in this list version, but maybe in a newer one
};
Json encode(const EndpointsUpdate& update);
EndpointsUpdate decodeEndpointsUpdate(const Json& from);

/// Proxy to control nodes: the configuration that it serves by.
struct Acknowledgement {
    std::uint32_t configuration = 0;
};
Json encode(const Acknowledgement& acknowledgement);
Acknowledgement decodeAcknowledgement(const Json& from);

/// Proxy to control nodes: a proxy that it watches has closed its connection or fallen silent.
struct PeerLost {
    std::string name;
};
Json encode(const PeerLost& lost);
PeerLost decodePeerLost(const Json& from);

/// Proxy to the voters on a rollout: its outcomes since its start. Replaces its earlier reports.
struct CountsReport {
    std::string from;
    std::uint64_t incarnation = 0, number = 0;
    std::string rolloutKey;  // service, line feed, target version
    verdict::Totals totals;
};
Json encode(const CountsReport& report);
CountsReport decodeCountsReport(const Json& from);

/// Voter to control nodes: its judgement of a rollout's stage.
struct Vote {
    std::string from, service, target;
    int stage = 0;
    int verdict = 0;  // the number of a lichenlanding::Verdict
    std::uint32_t canaryCount = 0, baselineCount = 0, canaryFailures = 0;
    double lowerBound = 0, upperBound = 0;
};
Json encode(const Vote& vote);
Vote decodeVote(const Json& from);

}  // namespace lichenlanding::messages
