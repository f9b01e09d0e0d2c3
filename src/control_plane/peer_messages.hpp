/// The messages between replicas, and their JSON encoding.
///
/// Pure and thread-safe. The JSON field names and message types are the wire protocol and never change.
/// Every decode function throws nlohmann::json::exception if a field is missing or has the wrong type.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "consensus/consensus.hpp"
#include "state.hpp"

namespace lichenlanding::control_plane {

using Json = nlohmann::json;

/// The highest proposal number that a disk has accepted, for each key that it stores a value of.
using AcceptedNumbers = std::map<std::string, consensus::ProposalNumber>;

/// A replica's own state, as it reports it to its peers.
struct PeerStatus {
    consensus::Member member;  ///< the disk id is "" until the store is open
    bool eligible = false;     ///< the setting `quorum_member`
    bool leaving = false;      ///< it is shutting down
    bool isMember = false;     ///< a member of the newest epoch on its disk
    std::uint64_t epoch = 0;   ///< the newest open epoch that it knows
    std::uint64_t writes = 0;  ///< number of writes to its disk since that was first used
    AcceptedNumbers accepted;
    bool operator==(const PeerStatus&) const = default;
};

/// The newest epoch known to be open, and a reconfiguration that has been decided but is not known to be
/// complete.
struct EpochNotice {
    consensus::Epoch epoch;
    std::optional<std::pair<consensus::Epoch, consensus::Epoch>> reconfiguration;  ///< from, to
};

/// Sent to every peer at a fixed interval; answered at once by a Pong.
struct Ping {
    Nanos sentAt = 0;  ///< by the sender's clock; the pong returns it unchanged
    std::string address;
    std::uint64_t epoch = 0;
    std::string disk;
    std::optional<PeerStatus> status;  ///< set if it differs from the last one sent to all peers
};

struct Pong {
    Nanos sentAt = 0;  ///< copied from the ping
    std::string address;
    std::uint64_t epoch = 0;
    std::string disk;
    bool isMember = false;
    std::string pingedDisk;  ///< the disk id in the ping
    /// The highest write count of `pingedDisk` that the sender has seen.
    std::uint64_t witnessedWriteCount = 0;
    AcceptedNumbers accepted;
};

/// The step of a proposal or reconfiguration that a request belongs to. The reply returns it unchanged.
struct RequestStage {
    int step = 0;                    ///< of the proposal or of the reconfiguration
    std::optional<std::string> key;  ///< only in a reconfiguration: the key of the transfer's proposal, or ""
    int proposalStep = 0;            ///< only in a reconfiguration: the step of that proposal
};

struct RequestMessage {
    std::uint64_t id = 0;
    RequestStage stage;
    consensus::Request request;
};

struct ReplyMessage {
    std::uint64_t id = 0;
    RequestStage stage;
    consensus::Reply reply;
};

/// Sent when a proposal of the sender has succeeded: the value with this number is in force.
struct LearnMessage {
    std::string key;
    consensus::ProposalNumber proposalNumber;
};

/// The replica's part of a hello.
struct ReplicaHello {
    std::set<std::string> members;  ///< addresses to connect to, including the sender's
    bool founded = false;
    bool hasQuorumContact = false;
    PeerStatus status;
    EpochNotice notice;
};

enum class PeerMessageType { request, reply, learn, known, ping, pong, epochNotice, other };

/// `other` if it is not a message between replicas.
PeerMessageType typeOf(const Json& message);

Json encode(const Ping& ping);
Ping decodePing(const Json& encoded);
Json encode(const Pong& pong);
Pong decodePong(const Json& encoded);
Json encode(const EpochNotice& notice);
EpochNotice decodeEpochNotice(const Json& encoded);
Json encode(const RequestMessage& message);
RequestMessage decodeRequestMessage(const Json& encoded);
Json encode(const ReplyMessage& message);
ReplyMessage decodeReplyMessage(const Json& encoded);
Json encode(const LearnMessage& message);
LearnMessage decodeLearnMessage(const Json& encoded);
/// The proposal numbers that the sender knows to be in force, by key.
AcceptedNumbers decodeKnownMessage(const Json& encoded);
/// The replica's fields of a hello, without type and address.
Json encode(const ReplicaHello& hello);
PeerStatus decodeHelloStatus(const Json& encoded);
EpochNotice decodeHelloNotice(const Json& encoded);

}  // namespace lichenlanding::control_plane
