/// The outcome of requests for a rollout, given the rollouts stored in the register. See
/// docs/design/admin-requests.md for the alternatives.
///
/// Pure: no I/O, no clock, no random numbers. Thread-safe.
#pragma once

#include <string>

#include "admin/repeat_window.hpp"

namespace lichenlanding::admin {

/// Maximum number of ended rollouts kept besides those that later answers depend on (NeededRollouts).
constexpr std::size_t kMaxEndedRollouts = 32;

enum class RolloutRequestOutcome {
    begun,     // a new rollout
    known,     // a repeat of a request that was made before; its rollout runs or has ended
    running,   // no repeat, but its rollout is running already: becomes the newest of its service
    inForce,   // the target was the service's last to complete: recorded as completed, nothing else to do
    underWay,  // a rollout of the same service to the same target with another term is running: rejected
};
const char* outcomeName(RolloutRequestOutcome outcome);

/// A request is identified by service, target and term, within `window`. classifyRequest() on the value that
/// results from a proposal with addRollout() gives the response to the request, where a new rollout is
/// `known`.
RolloutRequestOutcome classifyRequest(const messages::Rollouts& rollouts, const messages::Rollout& request,
                                      const RepeatWindow& window);

/// The change to propose to the register: adds the rollout, or makes it the newest of its service, as the
/// outcome of the request says. Throws nlohmann::json::exception on a malformed value.
std::string addRollout(const std::string& value, const messages::Rollout& request,
                       const RepeatWindow& window);

/// The newest rollout of a service, which rollouts.read returns; null if there is none. `rollouts` is in the
/// order of start.
const messages::Rollout* newestRollout(const messages::Rollouts& rollouts, const std::string& service);

}  // namespace lichenlanding::admin
