#include "control_plane/peer_messages.hpp"

#include "membership/codec.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::control_plane {
namespace {

// Message types and field names of the wire protocol.
constexpr const char* kType = "t";
constexpr const char* kRequestType = "reg";
constexpr const char* kReplyType = "reply";
constexpr const char* kLearnType = "learn";
constexpr const char* kKnownType = "known";
constexpr const char* kPingType = "ping";
constexpr const char* kPongType = "pong";
constexpr const char* kEpochNoticeType = "standing";

constexpr const char* kAddress = "at";
constexpr const char* kDisk = "disk";
constexpr const char* kZone = "zone";
constexpr const char* kRegion = "region";
constexpr const char* kEligible = "eligible";
constexpr const char* kLeaving = "leaving";
constexpr const char* kEpoch = "epoch";
constexpr const char* kIsMember = "seated";
constexpr const char* kWrites = "writes";
constexpr const char* kAccepted = "held";
constexpr const char* kStatus = "about";  // of a ping or hello
constexpr const char* kSentAt = "sent";
constexpr const char* kPingedDisk = "of";
constexpr const char* kWitnessedWrites = "seen";
constexpr const char* kPredecessor = "from";
constexpr const char* kSuccessor = "to";
constexpr const char* kId = "id";
constexpr const char* kStage = "about";  // of a request or reply
constexpr const char* kRequest = "request";
constexpr const char* kReply = "reply";
constexpr const char* kKey = "key";
constexpr const char* kProposalNumber = "ballot";
constexpr const char* kProposalNumbers = "ballots";
constexpr const char* kMembers = "members";
constexpr const char* kFounded = "formed";
constexpr const char* kHasQuorumContact = "sure";
constexpr const char* kNotice = "standing";  // of a hello

Json encode(const AcceptedNumbers& accepted) {
    Json encoded = Json::object();
    for (const auto& [key, proposalNumber] : accepted) encoded[key] = messages::encode(proposalNumber);
    return encoded;
}

AcceptedNumbers decodeAcceptedNumbers(const Json& encoded) {
    AcceptedNumbers accepted;
    for (const auto& [key, proposalNumber] : encoded.items())
        accepted[key] = messages::decodeProposalNumber(proposalNumber);
    return accepted;
}

Json encode(const PeerStatus& status) {
    return {{kAddress, status.member.address},
            {kDisk, status.member.disk},
            {kZone, status.member.zone},
            {kRegion, status.member.region},
            {kEligible, status.eligible},
            {kLeaving, status.leaving},
            {kEpoch, status.epoch},
            {kIsMember, status.isMember},
            {kWrites, status.writes},
            {kAccepted, encode(status.accepted)}};
}

PeerStatus decodeStatus(const Json& encoded) {
    PeerStatus status;
    status.member = {encoded.at(kAddress).get<std::string>(), encoded.at(kDisk).get<std::string>(),
                     encoded.at(kZone).get<std::string>(), encoded.at(kRegion).get<std::string>()};
    encoded.at(kEligible).get_to(status.eligible);
    encoded.at(kLeaving).get_to(status.leaving);
    encoded.at(kEpoch).get_to(status.epoch);
    encoded.at(kIsMember).get_to(status.isMember);
    status.accepted = decodeAcceptedNumbers(encoded.at(kAccepted));
    encoded.at(kWrites).get_to(status.writes);
    return status;
}

Json encode(const RequestStage& stage) {
    if (!stage.key) return Json::array({stage.step});
    return Json::array({stage.step, *stage.key, stage.proposalStep});
}

RequestStage decodeStage(const Json& encoded) {
    RequestStage stage;
    encoded.at(0).get_to(stage.step);
    if (encoded.size() == 1) return stage;
    stage.key = encoded.at(1).get<std::string>();
    encoded.at(2).get_to(stage.proposalStep);
    return stage;
}

}  // namespace

PeerMessageType typeOf(const Json& message) {
    const auto& type = message.at(kType).get_ref<const std::string&>();
    if (type == kRequestType) return PeerMessageType::request;
    if (type == kReplyType) return PeerMessageType::reply;
    if (type == kLearnType) return PeerMessageType::learn;
    if (type == kKnownType) return PeerMessageType::known;
    if (type == kPingType) return PeerMessageType::ping;
    if (type == kPongType) return PeerMessageType::pong;
    if (type == kEpochNoticeType) return PeerMessageType::epochNotice;
    return PeerMessageType::other;
}

Json encode(const Ping& ping) {
    Json encoded{{kType, kPingType},
                 {kSentAt, ping.sentAt},
                 {kAddress, ping.address},
                 {kEpoch, ping.epoch},
                 {kDisk, ping.disk}};
    if (ping.status) encoded[kStatus] = encode(*ping.status);
    return encoded;
}

Ping decodePing(const Json& encoded) {
    Ping ping;
    if (encoded.contains(kStatus)) ping.status = decodeStatus(encoded.at(kStatus));
    encoded.at(kAddress).get_to(ping.address);
    encoded.at(kDisk).get_to(ping.disk);
    encoded.at(kSentAt).get_to(ping.sentAt);
    encoded.at(kEpoch).get_to(ping.epoch);
    return ping;
}

Json encode(const Pong& pong) {
    return {{kType, kPongType},
            {kSentAt, pong.sentAt},
            {kAddress, pong.address},
            {kEpoch, pong.epoch},
            {kDisk, pong.disk},
            {kIsMember, pong.isMember},
            {kPingedDisk, pong.pingedDisk},
            {kAccepted, encode(pong.accepted)},
            {kWitnessedWrites, pong.witnessedWriteCount}};
}

Pong decodePong(const Json& encoded) {
    Pong pong;
    encoded.at(kAddress).get_to(pong.address);
    encoded.at(kSentAt).get_to(pong.sentAt);
    encoded.at(kEpoch).get_to(pong.epoch);
    encoded.at(kIsMember).get_to(pong.isMember);
    pong.accepted = decodeAcceptedNumbers(encoded.at(kAccepted));
    encoded.at(kDisk).get_to(pong.disk);
    encoded.at(kPingedDisk).get_to(pong.pingedDisk);
    encoded.at(kWitnessedWrites).get_to(pong.witnessedWriteCount);
    return pong;
}

Json encode(const EpochNotice& notice) {
    Json encoded{{kType, kEpochNoticeType}, {kEpoch, membership::encode(notice.epoch)}};
    if (notice.reconfiguration) {
        encoded[kPredecessor] = membership::encode(notice.reconfiguration->first);
        encoded[kSuccessor] = membership::encode(notice.reconfiguration->second);
    }
    return encoded;
}

EpochNotice decodeEpochNotice(const Json& encoded) {
    EpochNotice notice;
    notice.epoch = membership::decodeEpoch(encoded.at(kEpoch));
    if (encoded.contains(kSuccessor))
        notice.reconfiguration = {membership::decodeEpoch(encoded.at(kPredecessor)),
                                  membership::decodeEpoch(encoded.at(kSuccessor))};
    return notice;
}

Json encode(const RequestMessage& message) {
    return {{kType, kRequestType},
            {kId, message.id},
            {kStage, encode(message.stage)},
            {kRequest, membership::encode(message.request)}};
}

RequestMessage decodeRequestMessage(const Json& encoded) {
    return {encoded.at(kId).get<std::uint64_t>(), decodeStage(encoded.at(kStage)),
            membership::decodeRequest(encoded.at(kRequest))};
}

Json encode(const ReplyMessage& message) {
    return {{kType, kReplyType},
            {kId, message.id},
            {kStage, encode(message.stage)},
            {kReply, membership::encode(message.reply)}};
}

ReplyMessage decodeReplyMessage(const Json& encoded) {
    return {encoded.at(kId).get<std::uint64_t>(), decodeStage(encoded.at(kStage)),
            membership::decodeReply(encoded.at(kReply))};
}

Json encode(const LearnMessage& message) {
    return {{kType, kLearnType},
            {kKey, message.key},
            {kProposalNumber, messages::encode(message.proposalNumber)}};
}

LearnMessage decodeLearnMessage(const Json& encoded) {
    return {encoded.at(kKey).get<std::string>(), messages::decodeProposalNumber(encoded.at(kProposalNumber))};
}

AcceptedNumbers decodeKnownMessage(const Json& encoded) {
    return decodeAcceptedNumbers(encoded.at(kProposalNumbers));
}

Json encode(const ReplicaHello& hello) {
    return {{kMembers, hello.members},
            {kFounded, hello.founded},
            {kHasQuorumContact, hello.hasQuorumContact},
            {kStatus, encode(hello.status)},
            {kNotice, encode(hello.notice)}};
}

PeerStatus decodeHelloStatus(const Json& encoded) { return decodeStatus(encoded.at(kStatus)); }

EpochNotice decodeHelloNotice(const Json& encoded) { return decodeEpochNotice(encoded.at(kNotice)); }

}  // namespace lichenlanding::control_plane
