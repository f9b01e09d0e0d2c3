/// Parts of messages as JSON values, and rollouts as the register's text has them. Whole messages between
/// proxies and control nodes are in peer_messages.hpp.
///
/// Encoding only: nothing here decides. Decoders throw nlohmann::json::exception on a value of another shape.
/// Any thread.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "discovery/endpoint_set.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::messages {

using Json = nlohmann::json;

/// An endpoint as processes tell it to each other: an object with a letter for each field.
Json encode(const discovery::Endpoint& endpoint);
discovery::Endpoint decodeEndpoint(const Json& from);
/// One entry of the platform's list of instances. Throws ParseError as well, on a warm-up time that is none.
discovery::Endpoint decodePlatformEntry(const Json& entry);

/// Bytes that need not be text, as a JSON binary value (CBOR has them as they are).
Json encodeBytes(const std::string& bytes);
std::string decodeBytes(const Json& from);

/// [round, writer].
Json encode(const consensus::ProposalNumber& proposalNumber);
consensus::ProposalNumber decodeProposalNumber(const Json& from);
/// [promised, accepted, value].
Json encode(const consensus::RegisterState& state);
consensus::RegisterState decodeRegisterState(const Json& from);

/// By route, both sides: the bins and, last, the failures.
Json encode(const verdict::Totals& totals);
verdict::Totals decodeTotals(const Json& from);

/// An operator's order to bring a version of a service in.
struct Rollout {
    std::string service, target, state = "in_progress";
    int stage = 0;  // 0: a share of the traffic; 1: all of it, for a moment; 2: all of it, to the end
    std::int64_t number = 0;  // rises with each change of any rollout, but for its ages
    std::int64_t term = 0;    // milliseconds that it may take
    // Milliseconds since the order, and in its stage, as of the last write: verdict::OrderAges counts on from
    // there.
    std::int64_t age = 0, inStage = 0;
    bool running() const { return state == "in_progress"; }
};

/// JSON as text: the register's value, and the text of a rollouts message.
std::string encode(const std::vector<Rollout>& rollouts);
std::vector<Rollout> decodeRollouts(const std::string& text);  // "" is none

}  // namespace lichenlanding::messages
