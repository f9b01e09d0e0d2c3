/// Encodes parts of messages as JSON values, and rollouts as JSON text (their form in the register). Complete
/// messages between proxies and control nodes are in peer_messages.hpp.
///
/// Encoding only, no decisions. Decoders throw nlohmann::json::exception on missing fields and wrong types.
/// Thread-safe.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "discovery/endpoint_set.hpp"
#include "messages/rollout.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::messages {

using Json = nlohmann::json;

/// An endpoint as exchanged between the gateway's processes: an object with one-letter field names.
Json encode(const discovery::Endpoint& endpoint);
discovery::Endpoint decodeEndpoint(const Json& from);
/// Decodes an entry of the platform's instance list. Also throws ParseError, on an invalid warm-up duration.
discovery::Endpoint decodePlatformEntry(const Json& entry);

/// Arbitrary bytes as a JSON binary value, which CBOR carries unescaped.
Json encodeBytes(const std::string& bytes);
std::string decodeBytes(const Json& from);

/// [round, writer].
Json encode(const consensus::ProposalNumber& proposalNumber);
consensus::ProposalNumber decodeProposalNumber(const Json& from);
/// [promised, accepted, value].
Json encode(const consensus::RegisterState& state);
consensus::RegisterState decodeRegisterState(const Json& from);

/// By route, for either side of the comparison: the histogram bins, then the number of failures.
Json encode(const verdict::Totals& totals);
verdict::Totals decodeTotals(const Json& from);

/// JSON text: the value in the register, and the text of a rollouts message.
std::string encode(const Rollouts& rollouts);
Rollouts decodeRollouts(const std::string& text);  // "" means none

}  // namespace lichenlanding::messages
