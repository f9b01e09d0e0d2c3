/// The messages that replicas send to each other, and their JSON forms.
///
/// Pure and thread-safe. The JSON field names and message types are the wire protocol and never change.
/// Every decode function throws nlohmann::json::exception on a message of another shape.
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

/// The highest proposal number that a disk has accepted, for each key that it holds a value of.
using AcceptedNumbers = std::map<std::string, consensus::ProposalNumber>;

/// What a replica tells of itself.
struct PeerStatus {
    consensus::Member member;  ///< its disk is "" until that is open
    bool eligible = false;     ///< `quorum_member` of its settings
    bool leaving = false;      ///< it is about to end
    bool isMember = false;     ///< of the newest epoch on its disk
    std::uint64_t epoch = 0;   ///< the newest that it knows to be open
    std::uint64_t writes = 0;  ///< how often its disk was ever written
    AcceptedNumbers accepted;
    bool operator==(const PeerStatus&) const = default;
};

/// The newest epoch known to be open, and a reconfiguration that has been decided and is not known to be
/// done.
struct EpochNotice {
    consensus::Epoch epoch;
    std::optional<std::pair<consensus::Epoch, consensus::Epoch>> reconfiguration;  ///< from, to
};

/// Sent to every peer at a fixed interval; answered at once by a Pong.
struct Ping {
    Nanos sentAt = 0;  ///< by the sender's clock; returned unchanged
    std::string address;
    std::uint64_t epoch = 0;
    std::string disk;
    std::optional<PeerStatus> status;  ///< present where it differs from the last one sent to all
};

struct Pong {
    Nanos sentAt = 0;  ///< of the ping that it answers
    std::string address;
    std::uint64_t epoch = 0;
    std::string disk;
    bool isMember = false;
    std::string pingedDisk;             ///< the disk that the ping named
    std::uint64_t witnessedWrites = 0;  ///< the highest write count seen of that disk
    AcceptedNumbers accepted;
};

/// Which step of a proposal or reconfiguration a request belongs to; a reply returns it unchanged.
struct RequestStage {
    int step = 0;                    ///< of the proposal, or of the reconfiguration
    std::optional<std::string> key;  ///< reconfiguration only: the key of the transfer's proposal, or ""
    int proposalStep = 0;            ///< reconfiguration only: the step of that proposal
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

/// A proposal of the sender's has succeeded: its number is in force.
struct LearnMessage {
    std::string key;
    consensus::ProposalNumber proposalNumber;
};

/// What a replica's hello tells the others.
struct ReplicaHello {
    std::set<std::string> members;  ///< addresses of all that should be linked to, the sender among them
    bool founded = false;
    bool hasQuorumContact = false;
    PeerStatus status;
    EpochNotice notice;
};

enum class PeerMessageType { request, reply, learn, known, ping, pong, epochNotice, other };

/// The type of a message; `other`: none that replicas exchange.
PeerMessageType typeOf(const Json& message);

Json encode(const Ping& ping);
Ping decodePing(const Json& from);
Json encode(const Pong& pong);
Pong decodePong(const Json& from);
Json encode(const EpochNotice& notice);
EpochNotice decodeEpochNotice(const Json& from);
Json encode(const RequestMessage& message);
RequestMessage decodeRequestMessage(const Json& from);
Json encode(const ReplyMessage& message);
ReplyMessage decodeReplyMessage(const Json& from);
Json encode(const LearnMessage& message);
LearnMessage decodeLearnMessage(const Json& from);
/// Every number that the sender knows to be in force, by key.
AcceptedNumbers decodeKnownMessage(const Json& from);
/// The fields that the register adds to a hello, without its type and address.
Json encode(const ReplicaHello& hello);
PeerStatus decodeHelloStatus(const Json& from);
EpochNotice decodeHelloNotice(const Json& from);

}  // namespace lichenlanding::control_plane
