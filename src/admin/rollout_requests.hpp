// What an order to bring a version in comes to, against the rollouts that the register keeps.
// docs/design/admin-requests.md weighs the ways. Pure: no I/O, no clock, no chance.
#pragma once

#include "messages/codec.hpp"

namespace lichenlanding::admin {

// Ended rollouts that are kept, besides the newest completed one of each service (pods are cast by it). An
// order is sent again for `ack` at the longest, a few seconds.
constexpr std::size_t kEndedKept = 32;

enum class RolloutRequestOutcome {
    begun,     // it is the newest of its service and target
    known,     // the same order: it runs or has ended
    inForce,   // another order for the version that the service has come to last: nothing to do
    underWay,  // another order for the same service and target runs: no second one beside it
};
// Service, target and term make the request. What a list says of one: of the value that a ballot with
// addRollout() has ended with, this is the answer (begun reads as known there).
const char* outcomeName(RolloutRequestOutcome outcome);
RolloutRequestOutcome classifyRequest(const std::vector<messages::Rollout>& rollouts,
                                      const messages::Rollout& request);

// The register's change: the order added where that is `begun`, else the same value. Throws
// nlohmann::json::exception on a value of another shape.
std::string addRollout(const std::string& value, const messages::Rollout& request);

// The newest order of a service, the one that rollouts.read tells; null where there is none. Orders stand as
// they were begun.
const messages::Rollout* newestRollout(const std::vector<messages::Rollout>& rollouts,
                                       const std::string& service);

}  // namespace lichenlanding::admin
