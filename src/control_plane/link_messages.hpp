// Messages on the connections of a control node: typed values and their wire format. Messages of the replica
// (ReplicaNode::handleMessage) and of the configuration cache (ConfigurationCache) have codecs of their own.
//
// Encoding only. Decoders throw nlohmann::json::exception if a field is missing or has the wrong type.
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

/// Values of PeerConnection::kind after a hello was received, as on the wire.
inline const std::string kControlPlaneKind = messages::kWireKindControlNode,
                         kProxyKind = messages::kWireKindProxy;

enum class MessageType { hello, known, want, digest, lost, acknowledgement, vote, other };
MessageType messageType(const Json& message);

/// The first message from the other side of a connection.
struct Hello {
    std::string kind;                  ///< kControlPlaneKind or kProxyKind
    std::string address;               ///< internal address of a control node, or address of a proxy
    std::string name;                  ///< proxies only
    std::uint64_t incarnation = 0;     ///< proxies only: a random number chosen at its start
    std::vector<std::string> members;  ///< control nodes only: internal addresses of known members
    bool fromControlPlane() const { return kind == kControlPlaneKind; }
};
Hello decodeHello(const Json& message);
/// This process's hello. `replicaFields` is the result of ReplicaNode::helloFields.
Json encodeHello(Json replicaFields, const std::string& name, const std::string& address);

/// The age of a running rollout, as known to one control node.
struct RolloutAge {
    std::string rollout;    ///< the key that RolloutController uses for it
    verdict::OrderAge age;  ///< milliseconds
};

/// Sent between control nodes every 500 ms, and at once when reachability changes.
struct StateReport {
    /// The numbers in force, by key. Decoded by the replica.
    std::map<std::string, consensus::ProposalNumber> proposalNumbers;
    std::set<std::string> reachable;  ///< addresses of reachable control nodes
    std::vector<RolloutAge> ages;
};
Json encodeStateReport(const StateReport& report);
/// Parts of a report. Null if the sender's version does not send the field.
std::optional<std::set<std::string>> decodeReachable(const Json& report);
std::optional<std::vector<RolloutAge>> decodeAges(const Json& report);

/// A proxy's vote on a rollout in its current stage.
struct RolloutVote {
    std::string service, target, voter;
    Verdict verdict = Verdict::none;
    int stage = 0;
    bool stable = false;  ///< the target is in service already
    std::optional<std::int64_t>
        generation;  ///< of the rollout; null: 0, or any from a proxy of an earlier version
    Json message;    ///< as received: `status` and the log show it, including the counts behind it
};
RolloutVote decodeVote(const Json& message);

/// The version of the configuration that a proxy uses.
std::uint32_t decodeAcknowledgement(const Json& message);
/// The name of the proxy with which the sender has lost contact.
std::string decodeLostProxy(const Json& message);

/// The connected proxies: address by name.
Json encodeRoster(const std::map<std::string, std::string>& addresses);

/// Adds to a message to proxies whether its sender has quorum contact. If it carries digests of the endpoint
/// list, also adds the sender's steady clock in milliseconds, by which proxies synchronize their actions.
Json withContact(Json message, bool quorumContact, std::int64_t clockMilliseconds);

}  // namespace lichenlanding::control_plane
