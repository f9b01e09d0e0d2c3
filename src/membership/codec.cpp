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
    for (const auto& one : epoch.members)
        members.push_back(
            {{kAddress, one.address}, {kDisk, one.disk}, {kZone, one.zone}, {kRegion, one.region}});
    return {{kNumber, epoch.number}, {kMembers, std::move(members)}};
}

consensus::Epoch decodeEpoch(const Json& from) {
    consensus::Epoch epoch;
    from.at(kNumber).get_to(epoch.number);
    for (const auto& one : from.at(kMembers))
        epoch.members.push_back({one.at(kAddress).get<std::string>(), one.at(kDisk).get<std::string>(),
                                 one.at(kZone).get<std::string>(), one.at(kRegion).get<std::string>()});
    return epoch;
}

Json encode(const consensus::EpochState& state) {
    Json encoded{{kEpoch, encode(state.epoch)}, {kOpen, state.open}};
    if (state.successor) encoded[kNext] = encode(*state.successor);
    if (state.predecessor) encoded[kBefore] = encode(*state.predecessor);
    return encoded;
}

consensus::EpochState decodeEpochState(const Json& from) {
    consensus::EpochState state;
    state.epoch = decodeEpoch(from.at(kEpoch));
    from.at(kOpen).get_to(state.open);
    if (from.contains(kNext)) state.successor = decodeEpoch(from.at(kNext));
    if (from.contains(kBefore)) state.predecessor = decodeEpoch(from.at(kBefore));
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

consensus::Request decodeRequest(const Json& from) {
    consensus::Request request;
    const auto kind = from.at(kKind).get<int>();
    request.kind = static_cast<consensus::Request::Kind>(kind);
    from.at(kEpoch).get_to(request.epoch);
    if (from.contains(kKey)) from.at(kKey).get_to(request.key);
    if (from.contains(kProposalNumber))
        request.proposalNumber = messages::decodeProposalNumber(from.at(kProposalNumber));
    if (request.kind == consensus::Request::Kind::accept)
        request.value = messages::decodeBytes(from.at(kValue));
    if (from.contains(kHeldNumber))
        request.knownNumber = messages::decodeProposalNumber(from.at(kHeldNumber));
    if (from.contains(kHeldNumbers))
        for (const auto& [key, proposalNumber] : from.at(kHeldNumbers).items())
            request.knownNumbers[key] = messages::decodeProposalNumber(proposalNumber);
    if (from.contains(kSuccessor)) request.successor = decodeEpoch(from.at(kSuccessor));
    if (from.contains(kPredecessor)) request.predecessor = decodeEpoch(from.at(kPredecessor));
    if (from.contains(kOpen)) from.at(kOpen).get_to(request.open);
    using Kind = consensus::Request::Kind;
    const bool changesEpoch = request.kind == Kind::seal || request.kind == Kind::install;
    if (kind < 0 || kind > static_cast<int>(Kind::install) || changesEpoch != request.successor.has_value())
        from.at("no such request");  // throws: the field is never there
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

consensus::Reply decodeReply(const Json& from) {
    consensus::Reply reply;
    from.at(kRejected).get_to(reply.rejected);
    from.at(kAccepted).get_to(reply.accepted);
    from.at(kEpoch).get_to(reply.epoch);
    from.at(kSealed).get_to(reply.sealed);
    from.at(kWrites).get_to(reply.writeCount);
    reply.state = messages::decodeRegisterState(from.at(kState));
    reply.valueOmitted = from.contains(kValueOmitted);
    if (from.contains(kStates))
        for (const auto& [key, state] : from.at(kStates).items())
            reply.states[key] = messages::decodeRegisterState(state);
    return reply;
}

}  // namespace lichenlanding::membership
