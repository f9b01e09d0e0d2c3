#include "membership/codec.hpp"

#include "messages/codec.hpp"

namespace lichenlanding::membership {
namespace {

// Field names on the wire and on disk.
constexpr const char* kNumber = "number";
constexpr const char* kMembers = "members";
constexpr const char* kAddress = "address";
constexpr const char* kDisk = "disk";
constexpr const char* kZone = "zone";
constexpr const char* kRegion = "region";
constexpr const char* kEpoch = "epoch";
constexpr const char* kOpen = "open";
constexpr const char* kNext = "next";
constexpr const char* kBefore = "before";
constexpr const char* kKind = "kind";
constexpr const char* kKey = "key";
constexpr const char* kProposalNumber = "ballot";
constexpr const char* kValue = "value";
constexpr const char* kHeldNumber = "held";
constexpr const char* kHeldNumbers = "holds";
constexpr const char* kSuccessor = "to";
constexpr const char* kPredecessor = "from";
constexpr const char* kRejected = "refused";
constexpr const char* kAccepted = "taken";
constexpr const char* kSealed = "sealed";
constexpr const char* kWrites = "writes";
constexpr const char* kState = "cell";
constexpr const char* kStates = "cells";
constexpr const char* kValueOmitted = "spared";

}  // namespace

Json encode(const consensus::Epoch& epoch) {
    Json members = Json::array();
    for (const auto& member : epoch.members)
        members.push_back({{kAddress, member.address},
                           {kDisk, member.disk},
                           {kZone, member.zone},
                           {kRegion, member.region}});
    return {{kNumber, epoch.number}, {kMembers, std::move(members)}};
}

consensus::Epoch decodeEpoch(const Json& json) {
    consensus::Epoch epoch;
    json.at(kNumber).get_to(epoch.number);
    for (const auto& member : json.at(kMembers))
        epoch.members.push_back({member.at(kAddress).get<std::string>(), member.at(kDisk).get<std::string>(),
                                 member.at(kZone).get<std::string>(), member.at(kRegion).get<std::string>()});
    return epoch;
}

Json encode(const consensus::EpochState& state) {
    Json encoded{{kEpoch, encode(state.epoch)}, {kOpen, state.open}};
    if (state.successor) encoded[kNext] = encode(*state.successor);
    if (state.predecessor) encoded[kBefore] = encode(*state.predecessor);
    return encoded;
}

consensus::EpochState decodeEpochState(const Json& json) {
    consensus::EpochState state;
    state.epoch = decodeEpoch(json.at(kEpoch));
    json.at(kOpen).get_to(state.open);
    if (json.contains(kNext)) state.successor = decodeEpoch(json.at(kNext));
    if (json.contains(kBefore)) state.predecessor = decodeEpoch(json.at(kBefore));
    return state;
}

Json encode(const consensus::Request& request) {
    Json encoded{{kKind, static_cast<int>(request.kind)}, {kEpoch, request.epoch}};
    if (!request.key.empty()) encoded[kKey] = request.key;
    if (request.proposalNumber.round > 0) encoded[kProposalNumber] = messages::encode(request.proposalNumber);
    if (request.kind == consensus::Request::Kind::accept)
        encoded[kValue] = messages::encodeBytes(request.value);
    if (request.knownNumber.round > 0) encoded[kHeldNumber] = messages::encode(request.knownNumber);
    for (const auto& [key, proposalNumber] : request.knownNumbers)
        encoded[kHeldNumbers][key] = messages::encode(proposalNumber);
    if (request.successor) encoded[kSuccessor] = encode(*request.successor);
    if (request.predecessor) encoded[kPredecessor] = encode(*request.predecessor);
    if (request.open) encoded[kOpen] = true;
    return encoded;
}

consensus::Request decodeRequest(const Json& json) {
    consensus::Request request;
    const auto kind = json.at(kKind).get<int>();
    request.kind = static_cast<consensus::Request::Kind>(kind);
    json.at(kEpoch).get_to(request.epoch);
    if (json.contains(kKey)) json.at(kKey).get_to(request.key);
    if (json.contains(kProposalNumber))
        request.proposalNumber = messages::decodeProposalNumber(json.at(kProposalNumber));
    if (request.kind == consensus::Request::Kind::accept)
        request.value = messages::decodeBytes(json.at(kValue));
    if (json.contains(kHeldNumber))
        request.knownNumber = messages::decodeProposalNumber(json.at(kHeldNumber));
    if (json.contains(kHeldNumbers))
        for (const auto& [key, proposalNumber] : json.at(kHeldNumbers).items())
            request.knownNumbers[key] = messages::decodeProposalNumber(proposalNumber);
    if (json.contains(kSuccessor)) request.successor = decodeEpoch(json.at(kSuccessor));
    if (json.contains(kPredecessor)) request.predecessor = decodeEpoch(json.at(kPredecessor));
    if (json.contains(kOpen)) json.at(kOpen).get_to(request.open);
    using Kind = consensus::Request::Kind;
    const bool changesEpoch = request.kind == Kind::seal || request.kind == Kind::install;
    if (kind < 0 || kind > static_cast<int>(Kind::install) || changesEpoch != request.successor.has_value())
        json.at("valid kind and successor epoch");  // always throws: there is no such field
    return request;
}

Json encode(const consensus::Reply& reply) {
    Json encoded{{kRejected, reply.rejected}, {kAccepted, reply.accepted},
                 {kEpoch, reply.epoch},       {kSealed, reply.sealed},
                 {kWrites, reply.writeCount}, {kState, messages::encode(reply.state)}};
    if (reply.valueOmitted) encoded[kValueOmitted] = true;
    for (const auto& [key, state] : reply.states) encoded[kStates][key] = messages::encode(state);
    return encoded;
}

consensus::Reply decodeReply(const Json& json) {
    consensus::Reply reply;
    json.at(kRejected).get_to(reply.rejected);
    json.at(kAccepted).get_to(reply.accepted);
    json.at(kEpoch).get_to(reply.epoch);
    json.at(kSealed).get_to(reply.sealed);
    json.at(kWrites).get_to(reply.writeCount);
    reply.state = messages::decodeRegisterState(json.at(kState));
    reply.valueOmitted = json.contains(kValueOmitted);
    if (json.contains(kStates))
        for (const auto& [key, state] : json.at(kStates).items())
            reply.states[key] = messages::decodeRegisterState(state);
    return reply;
}

}  // namespace lichenlanding::membership
