/// Messages that a proxy exchanges with control nodes and other proxies. messages/wire_names.hpp defines the
/// strings on the wire. Configurations, rollouts and endpoints are exchanged in messages of
/// subscription::ConfigurationCache instead. No I/O; may be called from any thread. Decoding throws
/// nlohmann::json::exception on a malformed message.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "messages/wire_names.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::proxy {

using Json = nlohmann::json;

namespace wire {
// Values of "kind" in "hello". Older releases know only these strings.
inline constexpr const char* kProxy = messages::kWireKindProxy;
inline constexpr const char* kControlNode = messages::kWireKindControlNode;
// Message types: values of "t".
inline constexpr const char* kHello = messages::kTypeHello;
inline constexpr const char* kRoster = messages::kTypeRoster;
inline constexpr const char* kCounts = messages::kTypeCounts;
inline constexpr const char* kVote = messages::kTypeVote;
inline constexpr const char* kPeerLost = messages::kTypePeerLost;
inline constexpr const char* kAcknowledgement = messages::kTypeAcknowledgement;
inline constexpr const char* kFetch = messages::kTypeFetch;
inline constexpr const char* kConfiguration = messages::kTypeConfiguration;
inline constexpr const char* kDigest = messages::kTypeDigest;
// Field of a roster: proxy addresses by name.
inline constexpr const char* kRosterProxies = messages::kFieldProxies;
// Field of messages and replies: the content comes from a control node in contact with a majority.
inline constexpr const char* kConfirmed = messages::kFieldConfirmed;
}  // namespace wire

/// The type of a message.
const std::string& typeOf(const Json& message);

/// The first message of a proxy on each connection. `incarnation` is drawn at each start of the process.
struct ProxyHello {
    std::string name, address;
    std::uint64_t incarnation = 0;
};
Json encode(const ProxyHello& hello);

/// The kind of the peer that sent `hello`: wire::kProxy or wire::kControlNode.
std::string peerKindOf(const Json& hello);
/// The addresses of all control nodes, from the "hello" of one.
std::vector<std::string> controlNodesOf(const Json& hello);

/// The proxies that a control node knows: addresses by name.
std::map<std::string, std::string> decodeRoster(const Json& roster);

/// Running totals of one rollout at one proxy. `sequence` increases with each message of an incarnation;
/// receivers ignore older ones.
struct OutcomeCounts {
    std::string from;
    std::uint64_t incarnation = 0, sequence = 0;
    std::string rollout;  ///< its messages::Rollout::key()
    verdict::Totals totals;
};
Json encode(const OutcomeCounts& counts);
OutcomeCounts decodeOutcomeCounts(const Json& message);

/// A voter's evaluation of one stage of a rollout.
struct Vote {
    std::string from, service, target;
    std::int64_t generation = 0;
    int stage = 0;
    bool stable = false;  ///< the target is in service already, so there is nothing to evaluate
    verdict::CanaryEvaluation evaluation;
};
Json encode(const Vote& vote);

/// Reports to control nodes that the connection to a watched proxy has ended.
struct PeerLost {
    std::string name;
};
Json encode(const PeerLost& lost);

/// Reports the configuration version in force at this proxy; 0: none.
struct Acknowledgement {
    std::uint32_t version = 0;
};
Json encode(const Acknowledgement& acknowledgement);

}  // namespace lichenlanding::proxy
