// Request routing: the steps before and after an attempt, and endpoint updates.
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/count_pooling.hpp"

namespace lichenlanding::policy {

struct Routing : CountPooling {
    using CountPooling::CountPooling;

    void run(RoutingContext context, std::initializer_list<Step (Routing::*)(RoutingContext&)> steps) {
        for (auto step : steps)
            if ((this->*step)(context) != Step::proceed) return;
    }

    Step recordArrival(RoutingContext& context) {
        const auto& request = context.request;
        if (!request.isRetry) ++arrivals;
        for (auto* build : trialBuilds) {
            auto& allowed = allowance(*build, *request.group);
            allowed = std::min(settings.freeAttempts, allowed + cap(*build));
        }
        if (request.cost > 0)
            typicalCost += (static_cast<double>(request.cost) - typicalCost) / (typicalCost > 0 ? 64 : 1);
        return Step::proceed;
    }

    bool mostlyInTime() const { return recentOutcomes[1] * 8 <= recentOutcomes[0] + kOutcomeSlack; }

    // Load shedding: limits requests in flight to what is served in a share of the latency target. Guards
    // against a growing backlog. Harm: if the goodput drops for another cause, sheds for about a second.
    Step admit(RoutingContext& context) {
        double inFlight = 0, usable = 0;
        for (auto* pod : pods) {
            if (!acceptsTraffic(*pod) || !healthy(*pod)) continue;
            inFlight += pod->inFlight;
            ++usable;
        }
        // Under low traffic the goodput is noisy: hence floors, and a random fraction of a request.
        const double floor = ticks < kGoodputTicks ? 2 + 2 * usable : mostlyInTime() ? 2 + usable / 2 : 0;
        const double minimum = std::max(floor, kMinInFlightPerPod * usable / sidecars);
        const double limit = std::max(goodput / static_cast<double>(kGoodputTicks * kTickInterval), minimum);
        if (inFlight + 1 <= limit + static_cast<double>(random() % 1000) / 1000) return Step::proceed;
        // Counted as late: otherwise shedding would hide a build that slows all pods.
        const auto group = static_cast<std::size_t>(context.request.group->index);
        if (trial.build >= 0) ++trial.ownCounts[group][1].unranked;
        ++baseline[group].back().bins[kLastBin];
        return finishUnserved(context.request, true);
    }

    bool healthy(const Pod& pod) const {
        const bool silent = pod.inFlight > 0 && now - pod.lastResponseAt > silenceTimeout;
        return now >= pod.backoffUntil && !silent && fitness(pod) >= kMinFitness;
    }

    double fitness(const Pod& pod) const {
        const auto mean = overallStats.attempts > 0 ? overallStats.slowness / overallStats.attempts : 1;
        const auto own = pod.recentStats.slowness / std::max(mean, kMinSlowness);
        const auto slow =
            (own + peerSlowness(pod) * kPooledViewWeight) / (pod.recentStats.attempts + kPooledViewWeight);
        return slow > kSlowFactor ? std::pow(kSlowFactor / slow, 2) : 1;
    }
    double capacityShare(const Pod& pod) const { return warmUpShare(pod) * fitness(pod); }

    // Compares own load; ties, common under low traffic, are broken by fresh load reports.
    bool lessLoaded(const Pod& one, const Pod& other) const {
        const auto share = capacityShare(one), otherShare = capacityShare(other);
        const double load = one.inFlight / share, otherLoad = other.inFlight / otherShare;
        if (load != otherLoad || now - std::min(one.reportedAt, other.reportedAt) > kLoadReportTtl)
            return load < otherLoad;
        return (one.reportedInFlight + 1) / share < (other.reportedInFlight + 1) / otherShare;
    }

    // The permitted pods of the best rank. A retry prefers another pod and an earlier build.
    std::vector<Pod*> candidates(const Request& request) {
        const bool retry = !request.attempts.empty();
        std::vector<Pod*> best;
        int bestRank = 8;
        for (auto* pod : pods) {
            int rank = healthy(*pod) ? 0 : 1;
            if (retry && pod == request.attempts.back().pod) rank += 2;
            if (retry && onTrial(*pod->build)) rank += 4;
            if (rank > bestRank || !permitted(request, *pod)) continue;
            if (rank < bestRank) best.clear();
            bestRank = rank;
            best.push_back(pod);
        }
        // No retry goes to the build on trial while any pod of an earlier build is up.
        for (auto* pod : pods)
            if (bestRank >= 4 && acceptsTraffic(*pod) && !onTrial(*pod->build)) best.clear();
        // To limit connections, uses preferred pods only, as long as two of them are candidates.
        const auto preferred = intersection(best, preferredPods);
        return preferred.size() > 1 ? preferred : best;
    }

    static std::vector<Pod*> intersection(const std::vector<Pod*>& first, const std::vector<Pod*>& second) {
        std::vector<Pod*> both;
        for (auto* pod : first)
            if (std::find(second.begin(), second.end(), pod) != second.end()) both.push_back(pod);
        return both;
    }

    Step choosePod(RoutingContext& context) {
        auto best = candidates(context.request);
        if (best.empty()) return finishUnserved(context.request);
        // Uses recently probed pods if only probes bring load reports and the own load is no indicator.
        std::erase_if(probedPods, [&](auto* pod) { return now - pod->reportedAt > kLoadReportTtl; });
        int inFlight = 0;
        for (auto* pod : pods) inFlight += pod->inFlight;
        const bool sparse = settings.reportsOnProbes && inFlight * kSparseLoadFactor < 1.0 * pods.size();
        if (const auto probed = intersection(probedPods, best); sparse && probed.size() > 1) best = probed;
        // Power of two choices: the less loaded of two random pods, weighted by capacity.
        const auto draw = [&] {
            auto* pod = best[random() % best.size()];
            for (int tries = 0; tries < 8 && random() % 1000 >= 1000 * capacityShare(*pod); ++tries)
                pod = best[random() % best.size()];
            return pod;
        };
        context.pod = draw();
        if (auto* other = draw(); lessLoaded(*other, *context.pod)) context.pod = other;
        std::erase(probedPods, context.pod);
        for (int probe = 0; sparse && probe < kProbesPerRequest && probeBudget.take(now); ++probe)
            host.probe(*preferredPods[random() % preferredPods.size()]);
        return Step::proceed;
    }

    Step sendAttempt(RoutingContext& context) {
        auto& request = context.request;
        auto& pod = *context.pod;
        if (!permitted(request, pod)) return finishUnserved(request);
        if (warmingUp(pod)) pod.slowStartCredit -= costOf(request);
        if (onTrial(*pod.build)) allowance(*pod.build, *request.group) -= 1;
        if (pod.inFlight++ == 0) pod.lastResponseAt = now;
        request.attempts.push_back({&request, &pod, pod.build, pod.zone, pod.cell, now, true, true});
        host.forward(request.attempts.back(), request.deadline - now);
        return Step::pending;
    }

    // Gives the final answer of a request that no pod serves: a rejection where permitted, else an error.
    Step finishUnserved(Request& request, bool shed = false) {
        request.ended = true;
        const bool rejects = now < request.deadline && mayReject(request);
        if (rejects) host.reject(request, shed || overloaded() ? retryAfter : 0);
        else host.fail(request);
        return Step::finished;
    }

    Step recordEnd(RoutingContext& context) {
        auto& attempt = *context.attempt;
        attempt.inFlight = false;
        --attempt.pod->inFlight;
        attempt.pod->lastResponseAt = now;
        const auto outcome = context.outcome;
        attempt.mayHaveRun =
            outcome != Outcome::rejected && outcome != Outcome::unreachable && outcome != Outcome::superseded;
        if (context.clientDone) context.request.ended = true;
        return Step::proceed;
    }

    Step recordOutcome(RoutingContext& context) {
        auto& attempt = *context.attempt;
        auto& pod = *attempt.pod;
        const auto outcome = context.outcome;
        if (outcome == Outcome::superseded || outcome == Outcome::cancelled) return Step::proceed;
        if (outcome == Outcome::rejected) pod.backoffUntil = now + silenceTimeout;  // it would look idle
        countOutcome(attempt, outcome, context.latency);
        const bool success = outcome == Outcome::succeeded;
        const auto target = context.request.group->target;
        const auto slowness = static_cast<double>(context.latency) / static_cast<double>(target);
        const PodStats stats{1, success ? std::min(slowness, kMaxSlowness) : kMaxSlowness};
        overallStats += stats;
        if (!warmingUp(pod)) {  // a warming pod is expected to be slow
            pod.recentStats += stats;
            pod.unsentStats += stats;
        }
        if (success) deliveredCost += costOf(context.request);
        if (success && context.latency <= target) goodput += static_cast<double>(target) * kInFlightShare;
        const bool late = outcome == Outcome::rejected || outcome == Outcome::timedOut ||
                          (success && context.latency > target);
        if (fitness(pod) >= kMinFitness && (success || late))
            if (++recentOutcomes[late ? 1 : 0] + recentOutcomes[late ? 0 : 1] >= 64)
                for (auto& count : recentOutcomes) count /= 2;
        if (success && settings.monotonicKeys && !context.request.key.empty() && onTrial(*attempt.build))
            buildOfKey[context.request.key] = attempt.build->number;
        return Step::proceed;
    }

    Step retryOrFinish(RoutingContext& context) {
        auto& request = context.request;
        if (request.ended) return Step::finished;
        const bool exhausted = static_cast<int>(request.attempts.size()) >= maxAttempts;
        if (exhausted || overloaded() || now >= request.deadline) return finishUnserved(request);
        run({request}, {&Routing::choosePod, &Routing::sendAttempt});
        return Step::pending;
    }

    // More than a third of the recent own outcomes were late or rejected.
    bool overloaded() const { return recentOutcomes[1] * 2 > recentOutcomes[0] + kOutcomeSlack; }

    void updateEndpoints(bool complete, std::span<const EndpointUpdate> updates) {
        if (complete)
            for (auto* pod : std::exchange(pods, {})) pod->availability = Availability::removed;
        int highest = rollout.build;
        for (const auto& update : updates) {
            updatePod(*update.pod, update);
            highest = std::max(highest, update.build);
        }
        std::sort(pods.begin(), pods.end(), [](auto* one, auto* other) { return one->id < other->id; });
        const auto subsetSize = limits::subsetSize(pods.size(), sidecars);
        preferredPods = limits::subset(pods, static_cast<std::uint32_t>(self), subsetSize);
        probeBudget.setRate(limits::probeRate(pods.size(), sidecars));
        trialBuilds.clear();
        for (auto* pod : pods)
            if (onTrial(*pod->build) &&
                std::find(trialBuilds.begin(), trialBuilds.end(), pod->build) == trialBuilds.end())
                trialBuilds.push_back(pod->build);
        startTrial(highest);
    }

    void updatePod(Pod& pod, const EndpointUpdate& update) {
        // A restarted process, or an id that is used again by another build: statistics are reset.
        if (update.startedAt != pod.startedAt || (pod.build && pod.build->number != update.build)) {
            pod.recentStats = pod.unsentStats = pod.pooledStats = {};
            pod.pooledSlowness = 1;
            const auto debt = static_cast<double>(random() % 1000 + 1);
            pod.slowStartCredit = -std::max(typicalCost, 1.0) * debt / 1000;
            pod.slowStartFilledAt = now;
        }
        const bool removed = update.availability == Availability::removed;
        const bool lost = removed && (pod.lost || pod.availability == Availability::up);
        lostPods += lost - pod.lost;
        pod.lost = lost;
        pod.build = buildFor(update.build);
        pod.zone = update.zone;
        pod.cell = update.cell;
        pod.startedAt = update.startedAt;
        pod.availability = update.availability;
        std::erase(pods, &pod);
        if (!removed) pods.push_back(&pod);
    }

    // Updates, once a second, the demand and the cost served per warm pod.
    void measureRates() {
        if (now < nextSecond) return;
        nextSecond = now + kSecond;
        demandRate += (arrivals - demandRate) / std::min(++measuredSeconds, kDemandSeconds);
        double capacity = 0;
        for (auto* pod : pods)
            if (acceptsTraffic(*pod)) capacity += warmUpShare(*pod);
        const auto window = std::min(measuredSeconds, 10);
        if (capacity > 0) deliveredRate += (deliveredCost / capacity - deliveredRate) / window;
        arrivals = deliveredCost = 0;
    }

    void scheduleTick() {
        if (nextTick > now) return;
        nextTick = now + kTickInterval;
        ++ticks;
        goodput *= 1 - 1.0 / kGoodputTicks;
        host.scheduleTimer(kTickInterval);
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
