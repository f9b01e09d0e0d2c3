// Where each hit goes: the chain out, the chain back, the list of pods.
#pragma once

#include "policy/count_pooling.hpp"

namespace lichenlanding::policy {

struct Routing : Pooling {
    using Pooling::Pooling;

    // ---- The chain out: take, admit, choose, send. ----

    void run(Passage passage, std::initializer_list<Next (Routing::*)(Passage&)> chain) {
        for (auto stage : chain)
            if ((this->*stage)(passage) != Next::pass) return;
    }

    Next take(Passage& passage) {
        if (!passage.hit.repeated) ++arrived;
        for (auto* build : present) {
            auto& allowed = allowance(*build, *passage.hit.group);
            allowed = std::min(free, allowed + cap(*build));
        }
        if (passage.hit.work > 0)
            typicalWork += (static_cast<double>(passage.hit.work) - typicalWork) / (typicalWork > 0 ? 64 : 1);
        return Next::pass;
    }

    // What the pace of answers in time clears within a part of the target latency.
    double paceRoom() const { return pace / static_cast<double>(paceTicks * tickEvery); }

    // A quiet sidecar's pace is a figure of chance: it binds only once hits come late.
    bool inTime() const { return recent[1] * 8 <= recent[0] + fewOutcomes; }

    int openNow() const {
        int open = 0;
        for (auto* pod : pods) open += pod->out;
        return open;
    }

    // Guards against a jam that feeds itself (a burst, dead pods, a slow build, clients that come again): no
    // more hits are open than the pace of answers in time can clear within a part of the target latency. Hits
    // that hang at pods left out are no sign of a jam and do not count. Harm: a pace that falls for another
    // cause bounces hits for up to a second.
    Next admit(Passage& passage) {
        double open = 0, usable = 0;
        for (auto* pod : pods)
            if (pod->availability == Availability::up && wanted(*pod)) open += pod->out, ++usable;
        // No pace is known yet, or hits come in time, or the sidecars' floors add up to some hits a pod. A
        // part of a hit is let in by chance, so that hundreds of sidecars' parts add up too.
        const double floor = ticks < paceTicks ? 2 + 2 * usable : inTime() ? 2 + usable / 2 : 0;
        const double least = std::max(floor, openPerPod * usable / balancers);
        if (open + 1 <= std::max(paceRoom(), least) + static_cast<double>(chance() % 1000) / 1000)
            return Next::pass;
        // To rank now against the time before a build, a hit kept out is as good as late: else the limit
        // would hide that a build slows all pods.
        const auto group = static_cast<std::size_t>(passage.hit.group->index);
        if (trial.build >= 0) ++trial.own[group][1].unranked;
        ++calm[group].back().bins[lastBin];
        return giveUp(passage.hit, true);
    }

    // A pod that owes answers for a while is left out until it speaks, one that turned a hit away rests for a
    // moment, and one that fails or is very slow is left out until that is forgotten.
    bool wanted(const Pod& pod) const {
        return now >= pod.fullUntil && (pod.out == 0 || now - pod.heard <= silentAfter) &&
               fit(pod) >= leastPart;
    }

    double fit(const Pod& pod) const {
        const double usual = std::max(met.tries > 0 ? met.slowness / met.tries : 1, leastSlow);
        const double slow =
            (pod.lately.slowness / usual + word(pod) * viewWeighs) / (pod.lately.tries + viewWeighs);
        return slow > slowPart ? std::pow(slowPart / slow, 2) : 1;
    }
    double part(const Pod& pod) const { return warmth(pod) * fit(pod); }

    // By own load; a tie, as most of a quiet sidecar's are, goes by the pods' reports while they are fresh.
    bool lighter(const Pod& one, const Pod& other) const {
        const double a = one.out / part(one), b = other.out / part(other);
        if (a != b || now - std::min(one.heldAt, other.heldAt) > reportLife) return a < b;
        return (one.holds + 1) / part(one) < (other.holds + 1) / part(other);
    }

    Next choose(Passage& passage) {
        auto& hit = passage.hit;
        const bool further = !hit.forwards.empty();
        // Preference falls in steps: a healthy pod, then any; further forwards first go to an earlier build.
        std::vector<Pod*> best;
        int bestRank = 8;
        for (auto* pod : pods) {
            int rank = wanted(*pod) ? 0 : 1;
            if (further && pod == hit.forwards.back().pod) rank += 2;
            if (further && onTrial(*pod->build)) rank += 4;
            if (rank > bestRank || !lawful(hit, *pod)) continue;
            if (rank < bestRank) best.clear();
            bestRank = rank;
            best.push_back(pod);
        }
        // Away from the build on trial, unless no pod of an earlier build is left at all.
        if (bestRank >= 4)
            for (auto* pod : pods)
                if (pod->availability == Availability::up && !onTrial(*pod->build)) best.clear();
        if (best.empty()) return giveUp(hit);
        // Within the pods this sidecar prefers, while two of them are among the best: fewer connections.
        std::vector<Pod*> preferred;
        for (auto* pod : best)
            if (std::find(near.begin(), near.end(), pod) != near.end()) preferred.push_back(pod);
        if (preferred.size() > 1) best = preferred;
        // Two choices, each drawn by what the pod can do; a quiet sidecar's own load is mostly none and
        // decides nothing.
        const auto draw = [&] {
            auto* pod = best[chance() % best.size()];
            for (int turn = 0; turn < 8 && chance() % 1000 >= 1000 * part(*pod); ++turn)
                pod = best[chance() % best.size()];
            return pod;
        };
        // Where reports come to probes alone and own load is none at most pods, the two are drawn from the
        // pods probed for the hits before.
        std::erase_if(scouted, [&](auto* pod) { return now - pod->heldAt > reportLife; });
        std::vector<Pod*> known;
        for (auto* pod : scouted)
            if (std::find(best.begin(), best.end(), pod) != best.end()) known.push_back(pod);
        const bool blind = probesTell && openNow() * blindPart < static_cast<double>(pods.size());
        if (blind && known.size() > 1) best = known;
        passage.pod = draw();
        if (auto* other = draw(); lighter(*other, *passage.pod)) passage.pod = other;
        std::erase(scouted, passage.pod);
        if (blind)  // within what the fleet's pods take, at the pods this sidecar prefers
            for (int probe = 0; probe < probesPerHit && probes.take(now); ++probe)
                door.probe(*near[chance() % near.size()]);
        return Next::pass;
    }

    Next send(Passage& passage) {
        auto& hit = passage.hit;
        auto& pod = *passage.pod;
        if (!lawful(hit, pod)) return giveUp(hit);
        if (cold(pod)) pod.coldSpent -= weight(hit);
        if (onTrial(*pod.build)) allowance(*pod.build, *hit.group) -= 1;
        if (pod.out++ == 0) pod.heard = now;
        hit.forwards.push_back({&hit, &pod, pod.build, pod.zone, pod.cell, now, true, true, false});
        door.forward(hit.forwards.back(), hit.deadline - now);
        return Next::keep;
    }

    // One final answer, at once: a bounce where it may be promised, else an error.
    Next giveUp(Hit& hit, bool full = false) {
        hit.ended = true;
        if (now < hit.deadline && mayBounce(hit)) door.bounce(hit, full || overloaded() ? advice : 0);
        else door.error(hit);
        return Next::end;
    }

    // ---- The chain back: settle, learn, answer. ----

    Next settle(Passage& passage) {
        auto& forward = *passage.forward;
        forward.out = false;
        --forward.pod->out;
        forward.pod->heard = now;
        forward.mayHaveRun = passage.outcome != Outcome::saturated && passage.outcome != Outcome::unreached &&
                             passage.outcome != Outcome::superseded;
        if (passage.closed) passage.hit.ended = true;
        return Next::pass;
    }

    Next learn(Passage& passage) {
        auto& forward = *passage.forward;
        auto& pod = *forward.pod;
        const auto outcome = passage.outcome;
        if (outcome == Outcome::superseded || outcome == Outcome::recalled) return Next::pass;
        // A full pod answers at once and so looks idle by own load: it would draw all hits. It rests for a
        // moment.
        if (outcome == Outcome::saturated) pod.fullUntil = now + silentAfter;
        count(forward, outcome, passage.took);
        const bool well = outcome == Outcome::delivered;
        const double ratio =
            static_cast<double>(passage.took) / static_cast<double>(passage.hit.group->target);
        const Use use{1, well ? std::min(ratio, slowest) : slowest};
        met += use;
        if (!cold(pod)) pod.lately += use, pod.unsent += use;  // a cold one is slow by right
        if (well) {
            done += weight(passage.hit);
            const auto target = passage.hit.group->target;
            if (passage.took <= target) pace += static_cast<double>(target) * openPart;
        }
        const bool late = outcome == Outcome::saturated || outcome == Outcome::overdue ||
                          (well && passage.took > passage.hit.group->target);
        if (fit(pod) >= leastPart && (well || late))
            if (++recent[late ? 1 : 0] + recent[late ? 0 : 1] >= 64)
                for (auto& some : recent) some /= 2;
        if (well && oneWay && !passage.hit.key.empty() && onTrial(*forward.build))
            answeredBy[passage.hit.key] = forward.build->number;
        return Next::pass;
    }

    Next answer(Passage& passage) {
        auto& hit = passage.hit;
        if (hit.ended) return Next::end;
        const bool more =
            static_cast<int>(hit.forwards.size()) < forwardsAtMost && !overloaded() && now < hit.deadline;
        if (!more) return giveUp(hit);
        run({hit}, {&Routing::choose, &Routing::send});
        return Next::keep;
    }

    // The sidecar sees overload when a third of its own outcomes lately came late or were turned away.
    bool overloaded() const { return recent[1] * 2 > recent[0] + fewOutcomes; }

    // ---- Pods: the list, and which are left out for a while. ----

    void listed(bool whole, std::span<const Listing> lines) {
        std::vector<Pod*> before;
        if (whole) {
            before.swap(pods);
            for (auto* pod : before) pod->availability = Availability::gone;
        }
        int highest = told.build;
        for (const auto& line : lines) {
            auto& pod = *line.pod;
            // Another process, or an id that came back with another build: nothing known of it, and cold.
            if (line.started != pod.started || (pod.build && pod.build->number != line.build)) {
                pod.lately = pod.unsent = pod.pooled = {};
                pod.viewed = 1;
                pod.coldSpent = -std::max(typicalWork, 1.0) * static_cast<double>(chance() % 1000 + 1) / 1000;
                pod.coldMark = now;
            }
            const bool lost =
                line.availability == Availability::gone && (pod.lost || pod.availability == Availability::up);
            lostPods += lost - pod.lost;
            pod.lost = lost;
            pod.build = buildOf(line.build);
            pod.zone = line.zone, pod.cell = line.cell;
            pod.started = line.started, pod.availability = line.availability;
            highest = std::max(highest, line.build);
            std::erase(pods, &pod);
            if (line.availability != Availability::gone) pods.push_back(&pod);
        }
        std::sort(pods.begin(), pods.end(), [](auto* one, auto* other) { return one->id < other->id; });
        near =
            limits::subset(pods, static_cast<std::uint32_t>(me), limits::subsetSize(pods.size(), balancers));
        probes.rate(limits::probeRate(pods.size(), balancers));
        present.clear();
        for (auto* pod : pods)
            if (onTrial(*pod->build) &&
                std::find(present.begin(), present.end(), pod->build) == present.end())
                present.push_back(pod->build);
        newest(highest);
    }

    // Once a second: what a warm pod's worth of capacity has lately delivered to this sidecar.
    void measure() {
        if (now < nextSecond) return;
        nextSecond = now + second;
        demand += (arrived - demand) / std::min(++secondsSeen, demandSeconds);
        double capacity = 0;
        for (auto* pod : pods)
            if (pod->availability == Availability::up) capacity += warmth(*pod);
        if (capacity > 0) doneRate += (done / capacity - doneRate) / std::min(secondsSeen, 10);
        arrived = done = 0;
    }

    void renewTick() {
        if (nextTick > now) return;
        nextTick = now + tickEvery, ++ticks;
        pace *= 1 - 1.0 / paceTicks;
        door.wake(tickEvery);
    }
};

}  // namespace lichenlanding::policy
