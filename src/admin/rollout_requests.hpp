/// The outcome of requests for a rollout, given the rollouts stored in the register. See
/// docs/design/admin-requests.md for the alternatives.
///
/// Pure: no I/O, no clock, no random numbers. Thread-safe.
#pragma once

#include "messages/codec.hpp"

namespace lichenlanding::admin {

/// Maximum number of ended rollouts kept, besides the newest completed one of each service, which decides the
/// versions that serve. Enough to recognize repeated requests: clients repeat one for at most `ack`, a few
/// seconds.
constexpr std::size_t kMaxEndedRollouts = 32;

enum class RolloutRequestOutcome {
    begun,     // a new rollout
    known,     // the same request was made before; its rollout runs or has ended
    inForce,   // another rollout to the target was the service's last to complete: nothing to do
    underWay,  // another rollout of the same service to the same target is running: rejected
};
/// A request is identified by service, target and term. classifyRequest() on the value that results from a
/// proposal with addRollout() gives the response to the request, where a new rollout is `known`.
const char* outcomeName(RolloutRequestOutcome outcome);
RolloutRequestOutcome classifyRequest(const std::vector<messages::Rollout>& rollouts,
                                      const messages::Rollout& request);

/// The change to propose to the register: adds the rollout if the request is `begun`, else leaves the value
/// as it is. Throws nlohmann::json::exception on a malformed value.
std::string addRollout(const std::string& value, const messages::Rollout& request);

/// The newest rollout of a service, which rollouts.read returns; null if there is none. `rollouts` is in the
/// order of start.
const messages::Rollout* newestRollout(const std::vector<messages::Rollout>& rollouts,
                                       const std::string& service);

}  // namespace lichenlanding::admin
