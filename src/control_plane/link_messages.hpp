// Messages on the connections of a control plane process: typed values, and the strings that stand for them
// on the wire. Messages of the replica (ReplicaNode::handleMessage) and of the configuration cache
// (ConfigurationCache) have codecs of their own.
//
// Encoding only. Decoders throw nlohmann::json::exception on a message of another shape.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "messages/wire_names.hpp"
#include "state.hpp"
#include "transport/peer_connection.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::control_plane {

using transport::Json;

/// What PeerConnection::kind says of the other side once its hello has come: the wire's words.
inline const std::string kControlPlaneKind = messages::kWireKindControlNode,
                         kProxyKind = messages::kWireKindProxy;

enum class MessageType { hello, known, want, digest, lost, acknowledgement, vote, other };
MessageType messageType(const Json& message);

/// The first message of the other side.
struct Hello {
    std::string kind;                  ///< kControlPlaneKind or kProxyKind
    std::string address;               ///< a control plane's internal one, a proxy's own
    std::string name;                  ///< of a proxy
    std::uint64_t incarnation = 0;     ///< of a proxy: drawn at its start
    std::vector<std::string> members;  ///< internal addresses of the members that a control plane knows
    bool fromControlPlane() const { return kind == kControlPlaneKind; }
};
Hello decodeHello(const Json& message);
/// This process's hello. `replicaFields` are those of ReplicaNode::helloFields.
Json encodeHello(Json replicaFields, const std::string& name, const std::string& address);

/// How old a running rollout is, as one control plane process knows it.
struct RolloutAge {
    std::string rollout;    ///< its key in RolloutController
    verdict::OrderAge age;  ///< milliseconds
};

/// What control plane processes report to each other every 500 ms, and at once when reachability changes.
struct StateReport {
    std::map<std::string, consensus::ProposalNumber> proposalNumbers;  ///< by key; read by the replica
    std::set<std::string> reachable;                                   ///< addresses
    std::vector<RolloutAge> ages;
};
Json encodeStateReport(const StateReport& report);
/// Parts of a report; null where the sender's version has none.
std::optional<std::set<std::string>> decodeReachable(const Json& report);
std::optional<std::vector<RolloutAge>> decodeAges(const Json& report);

/// A proxy's vote on a rollout in its stage.
struct RolloutVote {
    std::string service, target, voter;
    Verdict verdict = Verdict::none;
    int stage = 0;
    Json message;  ///< as it came: `status` and the log show it with the counts that it rests on
};
RolloutVote decodeVote(const Json& message);

/// The configuration that a proxy uses by now.
std::uint32_t decodeAcknowledgement(const Json& message);
/// The name of the proxy that the sender watches and has lost.
std::string decodeLostProxy(const Json& message);

/// All proxies that are connected: address by name.
Json encodeRoster(const std::map<std::string, std::string>& addresses);

/// Marks a message to proxies: whether its sender is in contact with a majority, and, where it carries
/// digests of the endpoint list, the sender's steady clock in milliseconds, by which proxies act together.
Json withContact(Json message, bool quorumContact, std::int64_t clockMilliseconds);

}  // namespace lichenlanding::control_plane
