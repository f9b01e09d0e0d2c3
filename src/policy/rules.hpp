// The five rules: every forward asks lawful() (routing.hpp), every answer mayBounce().
#pragma once

#include "policy/policy_state.hpp"

namespace lichenlanding::policy {

struct Rules : State {
    using State::State;

    bool onTrial(const Build& build) const {
        return build.number > told.build ||
               (build.number == told.build && told.standing != Standing::released);
    }

    bool vouchedFor(const Build& build) const {
        return !attestationNeeded || build.attestation == Attestation::valid;
    }

    // A build that the news does not name yet counts as in the first stage, and so does one that no valid
    // metadata vouch for, whatever stage it was brought to.
    double cap(const Build& build) const {
        if (build.number != told.build) return firstCap;
        return vouchedFor(build) ? told.cap : std::min(told.cap, firstCap);
    }

    double& allowance(Build& build, const PathGroup& group) const {
        return build.allowance[perGroup ? static_cast<std::size_t>(group.index) : 0];
    }

    // No effect twice: what may have run goes again only where its path group drops or stands repeats.
    bool effectOnce(const Hit& hit, const Pod& pod) const {
        for (const auto& earlier : hit.forwards) {
            if (earlier.out) return false;  // never two at once
            if (!earlier.mayHaveRun || hit.group->effect == Effect::repeatable) continue;
            if (hit.group->effect == Effect::mutating || now >= earlier.sent + hit.group->window)
                return false;
            if (hit.group->reach == Reach::zone && pod.zone != earlier.zone) return false;
            if (hit.group->reach == Reach::cell && pod.cell != earlier.cell) return false;
        }
        return true;
    }

    static bool drainKept(const Pod& pod) { return pod.availability == Availability::up; }
    bool cold(const Pod& pod) const { return now - pod.started < coldTime; }

    // A bounce promises that trying again is harmless.
    bool mayBounce(const Hit& hit) const {
        if (hit.group->effect == Effect::repeatable) return true;
        if (hit.group->effect == Effect::tagged && hit.group->reach == Reach::all) return true;
        return std::none_of(hit.forwards.begin(), hit.forwards.end(),
                            [](auto& sent) { return sent.mayHaveRun; });
    }

    // The least that a pod of this age can do, as a share of a warm one.
    double warmth(const Pod& pod) const {
        if (!cold(pod)) return 1;
        return coldFrom + (1 - coldFrom) * std::max<Nanos>(now - pod.started, 0) / coldTime;
    }

    double weight(const Hit& hit) const {
        return hit.work > 0 ? static_cast<double>(hit.work) : typicalWork > 0 ? typicalWork : 1.0;
    }

    // A cold pod may get its part of what this sidecar has lately had delivered by a warm pod, times less
    // than the multiple that the rule allows, and no burst: what each keeps to of its own, all keep to of the
    // whole. Work sent would grow with the jam. A quiet sidecar's part is less than a hit: each starts up to
    // one in debt, by chance, so that hundreds of them add up to their part.
    double coldRoom(Pod& pod) {
        const auto since = std::max(pod.coldMark, pod.started);
        pod.coldSpent += doneRate * warmth(pod) * coldExcess * std::max<Nanos>(now - since, 0) / second;
        pod.coldMark = now;
        return pod.coldSpent = std::min(pod.coldSpent, 0.0);
    }

    // Exposure: each hit taken adds the cap to an allowance no deeper than the free number, each forward
    // takes one, so that over any span forwards stay under the free number plus the cap's share of the hits
    // taken.
    bool exposureKept(const Hit& hit, const Pod& pod) const {
        if (!onTrial(*pod.build)) return true;
        const auto share = cap(*pod.build);
        const auto stage = pod.build->number == told.build ? told.stage : 0;
        if (share <= 0 || (stage < closedStages && hit.group->effect != Effect::repeatable)) return false;
        return allowance(*pod.build, *hit.group) >= 1;
    }

    bool lawful(const Hit& hit, Pod& pod) {
        if (hit.ended || now >= hit.deadline) return false;  // every hit one answer, and nothing after it
        if (!drainKept(pod) || !effectOnce(hit, pod) || !exposureKept(hit, pod)) return false;
        if (oneWay && !hit.key.empty() && told.standing != Standing::goingBack &&
            told.standing != Standing::withdrawn)
            if (const auto found = answeredBy.find(hit.key); found != answeredBy.end())
                if (pod.build->number < found->second) return false;
        return !cold(pod) || coldRoom(pod) >= 0;
    }
};

}  // namespace lichenlanding::policy
