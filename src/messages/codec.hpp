// What the gateway's sidecars tell each other, as JSON values, and rollouts as the register keeps them.
// Encoding only: nothing here decides. Readers throw nlohmann::json::exception on a value of another shape.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "discovery/endpoint_set.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::messages {

using Json = nlohmann::json;

Json encode(const discovery::Endpoint& endpoint);
discovery::Endpoint decodeEndpoint(const Json& from);
// One entry of the platform's list.
discovery::Endpoint decodePlatformEntry(const Json& entry);

// Bytes that need not be text.
Json encodeBytes(const std::string& bytes);
std::string decodeBytes(const Json& from);

Json encode(const consensus::ProposalNumber& proposalNumber);
consensus::ProposalNumber decodeProposalNumber(const Json& from);
Json encode(const consensus::RegisterState& state);
consensus::RegisterState decodeRegisterState(const Json& from);

Json encode(const verdict::Totals& totals);
verdict::Totals decodeTotals(const Json& from);

// One order to bring a version in. Stages: 0 a share; 1 a rehearsal, all traffic for a moment; 2 all traffic,
// before the old pods are let go.
struct Rollout {
    std::string service, target, state = "in_progress";
    int stage = 0;
    std::int64_t number = 0;  // rises with each change of any rollout, but for its ages
    std::int64_t term = 0;    // milliseconds that it may take
    // Milliseconds since the order, and in its stage, as of the last write: verdict::Ages counts on from
    // there.
    std::int64_t age = 0, inStage = 0;
    bool running() const { return state == "in_progress"; }
};

std::string encode(const std::vector<Rollout>& rollouts);
std::vector<Rollout> decodeRollouts(const std::string& text);  // "" is none

}  // namespace lichenlanding::messages
