// The five rules of the policy. Every attempt requires permitted(), every rejection mayReject().
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/policy_state.hpp"

namespace lichenlanding::policy {

struct Rules : PolicyState {
    using PolicyState::PolicyState;

    bool onTrial(const Build& build) const {
        return build.number > rollout.build ||
               (build.number == rollout.build && rollout.state != RolloutState::released);
    }
    bool timed() const { return settings.voteMode == VoteMode::timed; }
    bool rollingBack() const {
        return rollout.state == RolloutState::rollingBack || rollout.state == RolloutState::rolledBack;
    }

    bool attested(const Build& build) const {
        return !settings.attestationRequired || build.attestation == Attestation::valid;
    }

    // A build that is not announced yet, or lacks a required attestation, gets the cap of the first stage.
    double cap(const Build& build) const {
        if (build.number != rollout.build) return firstStageCap;
        return attested(build) ? rollout.cap : std::min(rollout.cap, firstStageCap);
    }

    double& allowance(Build& build, const PathGroup& group) const {
        return build.allowance[settings.perGroup ? static_cast<std::size_t>(group.index) : 0];
    }

    // A request that may have been executed is retried only if its path group is idempotent or deduplicated.
    bool executesOnce(const Request& request, const Pod& pod) const {
        const auto& group = *request.group;
        for (const auto& earlier : request.attempts) {
            if (earlier.inFlight) return false;  // never two attempts at once
            if (!earlier.mayHaveRun || group.effect == Effect::idempotent) continue;
            if (group.effect == Effect::nonIdempotent || now >= earlier.sentAt + group.dedupWindow)
                return false;
            if (group.dedupScope == DedupScope::zone && pod.zone != earlier.zone) return false;
            if (group.dedupScope == DedupScope::cell && pod.cell != earlier.cell) return false;
        }
        return true;
    }

    static bool acceptsTraffic(const Pod& pod) { return pod.availability == Availability::up; }
    bool warmingUp(const Pod& pod) const { return now - pod.startedAt < settings.slowStartTime; }

    // A rejection guarantees that the client may safely retry.
    bool mayReject(const Request& request) const {
        const auto& group = *request.group;
        if (group.effect == Effect::idempotent) return true;
        if (group.effect == Effect::deduplicated && group.dedupScope == DedupScope::all) return true;
        return std::none_of(request.attempts.begin(), request.attempts.end(),
                            [](auto& attempt) { return attempt.mayHaveRun; });
    }

    // Slow start: the minimum capacity of a pod of this age, as a share of a warm pod's.
    double warmUpShare(const Pod& pod) const {
        if (!warmingUp(pod)) return 1;
        const auto age = std::max<Nanos>(now - pod.startedAt, 0);
        return settings.slowStartFloor + (1 - settings.slowStartFloor) * age / settings.slowStartTime;
    }

    double costOf(const Request& request) const {
        return request.cost > 0 ? static_cast<double>(request.cost) : typicalCost > 0 ? typicalCost : 1.0;
    }

    // A warming pod gets its share of the cost that warm pods served (cost sent grows with a backlog), below
    // the multiple that overloads it. Random initial debts let hundreds of small shares add up to it.
    double refillSlowStartCredit(Pod& pod) {
        const auto elapsed = std::max<Nanos>(now - std::max(pod.slowStartFilledAt, pod.startedAt), 0);
        pod.slowStartCredit += deliveredRate * warmUpShare(pod) * slowStartExcess * elapsed / kSecond;
        pod.slowStartFilledAt = now;
        return pod.slowStartCredit = std::min(pod.slowStartCredit, 0.0);
    }

    // Each request adds the cap to the allowance, up to the free attempts; each attempt on trial takes 1.
    bool withinExposure(const Request& request, const Pod& pod) const {
        if (!onTrial(*pod.build)) return true;
        const auto stage = pod.build->number == rollout.build ? rollout.stage : 0;
        if (stage < settings.restrictedStages && request.group->effect != Effect::idempotent) return false;
        return cap(*pod.build) > 0 && allowance(*pod.build, *request.group) >= 1;
    }

    bool permitted(const Request& request, Pod& pod) {
        if (request.ended || now >= request.deadline || !acceptsTraffic(pod)) return false;
        if (!executesOnce(request, pod) || !withinExposure(request, pod)) return false;
        if (settings.monotonicKeys && !request.key.empty() && !rollingBack())
            if (const auto found = buildOfKey.find(request.key); found != buildOfKey.end())
                if (pod.build->number < found->second) return false;
        return !warmingUp(pod) || refillSlowStartCredit(pod) >= 0;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
