/// JSON encoding of the consensus types: in messages between replicas, in the epoch-state note on disk, and
/// as the value that the members of an epoch agree on for its successor.
///
/// Pure and thread-safe. Field names are part of the wire protocol and of the disk format and must not
/// change. Every decode function throws nlohmann::json::exception on a malformed value.
#pragma once

#include <nlohmann/json.hpp>

#include "consensus/consensus.hpp"

namespace lichenlanding::membership {

using Json = nlohmann::json;

Json encode(const consensus::Epoch& epoch);
consensus::Epoch decodeEpoch(const Json& json);

Json encode(const consensus::EpochState& state);
consensus::EpochState decodeEpochState(const Json& json);

Json encode(const consensus::Request& request);
/// Also throws on an unknown kind, on a seal or install without a successor epoch, and on another request
/// with one: an acceptor would have to guess what was meant.
consensus::Request decodeRequest(const Json& json);

Json encode(const consensus::Reply& reply);
consensus::Reply decodeReply(const Json& json);

}  // namespace lichenlanding::membership
