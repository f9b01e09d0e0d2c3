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

/// An operator's request to roll out a version of a service.
struct Rollout {
    std::string service, target, state = "in_progress";
    // 0: a share of the traffic; 1: all traffic, as a short trial; 2: all traffic until the end.
    int stage = 0;
    std::int64_t number = 0;  // increases with each change of any rollout other than an update of its ages
    std::int64_t timeLimitMs = 0;
    // Milliseconds since the request and since the stage began, as of the last write. verdict::OrderAges adds
    // the time since then.
    std::int64_t ageMs = 0, stageAgeMs = 0;
    // How many earlier rollouts of the same service and version are on record. Tells this one from those.
    std::int64_t generation = 0;

    bool running() const { return state == "in_progress"; }
    /// Service and version, for maps.
    std::string versionKey() const { return service + "\n" + target; }
    /// Identifies this rollout: the versionKey(), and the generation unless that is 0.
    std::string key() const;
    /// Whether `other` comes from an order with the same content, whenever that was given.
    bool hasSameOrder(const Rollout& other) const {
        return service == other.service && target == other.target && timeLimitMs == other.timeLimitMs;
    }
};
/// The key() of a rollout with these fields.
std::string rolloutKey(const std::string& service, const std::string& target, std::int64_t generation);

/// JSON text: the value in the register, and the text of a rollouts message.
std::string encode(const std::vector<Rollout>& rollouts);
std::vector<Rollout> decodeRollouts(const std::string& text);  // "" means none

}  // namespace lichenlanding::messages
