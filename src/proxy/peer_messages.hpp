/// What a proxy sends to control nodes and to other proxies, and what it hears, as values; the codec has the
/// wire's strings. Configurations, rollouts and endpoints travel in messages of
/// subscription::ConfigurationCache instead. Pure; any thread. Decoding throws nlohmann::json::exception on a
/// message of another shape.
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
// Kinds of peers, as they travel in "hello"; older releases know them by these words alone.
inline constexpr const char* kProxy = messages::kWireKindProxy;
inline constexpr const char* kControlNode = messages::kWireKindControlNode;
// Types of messages ("t").
inline constexpr const char* kHello = messages::kTypeHello;
inline constexpr const char* kRoster = messages::kTypeRoster;
inline constexpr const char* kCounts = messages::kTypeCounts;
inline constexpr const char* kVote = messages::kTypeVote;
inline constexpr const char* kPeerLost = messages::kTypePeerLost;
inline constexpr const char* kAcknowledgement = messages::kTypeAcknowledgement;
inline constexpr const char* kWant = messages::kTypeFetch;
inline constexpr const char* kConfiguration = messages::kTypeConfiguration;
inline constexpr const char* kDigest = messages::kTypeDigest;
// The proxies of a roster: addresses by name.
inline constexpr const char* kRosterProxies = messages::kFieldProxies;
// Of messages and of replies: the sender speaks, or was told, for a majority of the control nodes.
inline constexpr const char* kSure = messages::kFieldConfirmed;
}  // namespace wire

/// The type of any message.
const std::string& typeOf(const Json& message);

/// The first message of a proxy on each connection. `life` is drawn at each start.
struct ProxyHello {
    std::string name, address;
    std::uint64_t life = 0;
};
Json encode(const ProxyHello& hello);

/// The kind of the peer that says hello: wire::kProxy or wire::kControlNode.
std::string peerKindOf(const Json& hello);
/// Addresses of all control nodes, as one of them says hello.
std::vector<std::string> controlNodesOf(const Json& hello);

/// The proxies that a control node knows: addresses by name.
std::map<std::string, std::string> decodeRoster(const Json& roster);

/// Running totals of one rollout at one proxy; `number` rises with each message of its life.
struct OutcomeCounts {
    std::string from;
    std::uint64_t life = 0, number = 0;
    std::string rollout;  ///< its key: service, newline, version
    verdict::Totals totals;
};
Json encode(const OutcomeCounts& counts);
OutcomeCounts decodeOutcomeCounts(const Json& message);

/// A voter's judgement of one stage of a rollout.
struct Vote {
    std::string from, service, target;
    int stage = 0;
    verdict::CanaryEvaluation judgement;
};
Json encode(const Vote& vote);

/// The connection to a watched proxy has ended.
struct PeerLost {
    std::string name;
};
Json encode(const PeerLost& lost);

/// The version of the configuration that is in force here; 0: none.
struct Acknowledgement {
    std::uint32_t version = 0;
};
Json encode(const Acknowledgement& acknowledgement);

}  // namespace lichenlanding::proxy
