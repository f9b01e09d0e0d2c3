// Outcomes counted, sent to the voters, and summed there.
#pragma once

#include "policy/voter_verdict.hpp"

namespace lichenlanding::policy {

struct Pooling : Verdicts {
    using Verdicts::Verdicts;

    void newest(int build) {
        if (build <= trial.build) return;
        trial = Trial{};
        trial.build = build;
        trial.demandBefore = demand;
        const auto n = static_cast<std::size_t>(balancers);
        trial.own = calm;
        calm.assign(edges.size(), {});
        trial.lately.resize(edges.size()), trial.sums.resize(edges.size());
        trial.senders.resize(n), trial.verdicts.resize(n);
        for (auto& sender : trial.senders) sender.seq.resize(edges.size()), sender.last.resize(edges.size());
        // Three voters, hashed from the build number: the same at every sidecar.
        std::vector<std::pair<std::uint64_t, int>> order;
        for (int peer = 0; peer < balancers; ++peer) {
            std::uint64_t hash =
                (static_cast<std::uint64_t>(build) << 20) + static_cast<std::uint64_t>(peer) + 1;
            for (int turn = 0; turn < 2; ++turn) hash = (hash ^ (hash >> 31)) * 0x9e3779b97f4a7c15ull;
            order.emplace_back(hash ^ (hash >> 32), peer);
        }
        std::sort(order.begin(), order.end());
        for (int at = 0; at < std::min(voterCount, balancers); ++at) trial.voters.push_back(order[at].second);
    }

    // Only first forwards count: further ones carry what was slow once, and go to the earlier build alone.
    void count(const Forward& forward, Outcome outcome, Nanos took) {
        if (&forward != &forward.hit->forwards.front() || forward.build->number > trial.build) return;
        if (outcome == Outcome::saturated || outcome == Outcome::unreached) return;
        const auto age = forward.sent - forward.pod->started;
        if (age < skipFirst) return;
        const bool isNew = forward.build->number == trial.build;
        const auto group = static_cast<std::size_t>(forward.hit->group->index);
        auto& tally = trial.own[group][isNew ? 0 : 1];
        if (age < countAfter) {
            // A quiet voter may meet the new build late: the first that does tells, and starts its timer.
            if (!isNew || tally.unranked++ > 0 || trial.counted >= 0) return;
            trial.counted = now;
            return poolCounts();
        }
        if (isNew && trial.counted < 0) trial.counted = now;
        int bin = lastBin;
        if (outcome == Outcome::delivered)
            bin = static_cast<int>(std::upper_bound(edges[group].begin(), edges[group].end(), took) -
                                   edges[group].begin());
        ++tally.bins[static_cast<std::size_t>(bin)];
        if (outcome == Outcome::errored) ++tally.errored, urge(isNew);
        auto& past = calm[group].back().bins;
        if (++past[static_cast<std::size_t>(bin)] >= calmHalveAt)
            for (auto& some : past) some /= 2;
    }

    // Every two seconds the counts go to the voters. Each message carries the sums since the build was seen,
    // of which a voter adds what is new to it: a lost, repeated or late message then changes nothing in the
    // end.
    void poolCounts() {
        auto message = head(Message::Kind::counts);
        tell(encodeCounts(message, trial.own), trial.voters);
        message.groups = trial.own;
        if (isVoter()) absorb(me, message);
    }

    // Exception: an error or a flagged answer of the new build does not wait for the pooling. Guards against
    // a build that turns bad late, with the next one about to be offered, and any that fails much at once.
    // Harm: a good build's few errors cost a message each, two a second at most.
    void urge(bool isNew) {
        if (isNew && now - trial.urged >= judgeAtMost) trial.urged = now, poolCounts();
    }

    void pool() {
        if (trial.build < 0) return;
        poolPods();
        if (told.standing == Standing::withdrawn) return;
        poolCounts();
        if (isVoter()) {
            judge();
            tellVerdict();
            for (std::size_t group = 0; group < edges.size(); ++group) {
                for (auto& bin : trial.lately[group].bins) bin /= 2;
                for (auto& side : trial.sums[group]) side.recent /= 2;
            }
        }
    }

    // What was seen of each pod goes the same way; voters tell all which are slower than the rest.
    void poolPods() {
        std::vector<PodNote> seen, view;
        Use all;
        met.halve();
        for (auto& some : recent) some /= 2;
        for (auto* pod : pods) {
            pod->lately.halve();
            if (pod->unsent.tries > 0)
                seen.push_back({pod->id, static_cast<std::uint32_t>(pod->unsent.tries),
                                static_cast<std::uint32_t>(pod->unsent.slowness * noteParts)});
            if (isVoter()) pod->pooled += pod->unsent;
            pod->unsent = {};
            all += pod->pooled;
        }
        tell(encodePods(head(Message::Kind::pods), seen, seq), trial.voters);
        if (!isVoter() || all.tries <= 0) return;
        const double mean = all.slowness / all.tries;
        for (auto* pod : pods) {
            const auto [tries, slowness] = pod->pooled;
            // Few outcomes say little: a pod counts as slow only beyond what chance would show.
            const double against = slowness / std::max(mean, leastSlow) / (tries + std::sqrt(tries) + 1);
            if (against > slowPart)
                view.push_back({pod->id, 1, static_cast<std::uint32_t>(against * noteParts)});
            pod->viewed = std::max(against, 1.0), pod->viewedAt = now;
            pod->pooled.halve();
        }
        tell(encodePods(head(Message::Kind::view), view, seq), everyone);
    }

    void absorbPods(int peer, const Message& message) {
        auto& last = trial.senders[static_cast<std::size_t>(peer)].pods;
        if (last.first == message.epoch && message.seq <= last.second) return;  // repeated, or overtaken
        last = {message.epoch, message.seq};
        for (const auto& note : message.pods) {
            const auto found = std::lower_bound(pods.begin(), pods.end(), note.id,
                                                [](auto* pod, auto id) { return pod->id < id; });
            if (found == pods.end() || (*found)->id != note.id) continue;
            const Use use{1.0 * note.tries, std::min(note.slowness / noteParts, slowest * note.tries)};
            if (message.kind == Message::Kind::pods && isVoter()) (*found)->pooled += use;
            if (message.kind == Message::Kind::view)
                (*found)->viewed = note.slowness / noteParts, (*found)->viewedAt = now;
        }
    }

    void absorb(int peer, const Message& message) {
        auto& sender = trial.senders[static_cast<std::size_t>(peer)];
        if (message.epoch != sender.epoch) {
            if (message.epoch == sender.before) return;  // from before the sender's restart
            sender.before = sender.epoch;
            sender.epoch = message.epoch;
            std::fill(sender.seq.begin(), sender.seq.end(), 0);
            std::fill(sender.last.begin(), sender.last.end(), Tallies{});
        }
        for (std::size_t at = 0; at < message.groups.size(); ++at) {
            const auto group = message.firstGroup + at;
            if (group >= edges.size() || message.seq <= sender.seq[group]) continue;
            sender.seq[group] = message.seq;
            for (std::size_t which = 0; which < message.groups[at].size(); ++which) {
                const auto& came = message.groups[at][which];
                const auto& had = sender.last[group][which];
                auto& side = trial.sums[group][which];
                const auto more = [](std::uint32_t now, std::uint32_t then) {
                    return now > then ? now - then : 0.0;
                };
                for (int bin = 0; bin < latencyBins; ++bin) {
                    const double grew = more(came.bins[bin], had.bins[bin]);
                    side.bins[bin] += grew, side.recent += grew;
                    if (which < 2) trial.lately[group].bins[bin] += grew;
                }
                side.errored += more(came.errored, had.errored);
                side.flagged += more(came.flagged, had.flagged);
                if (which == 1) trial.lately[group].bins[lastBin] += more(came.unranked, had.unranked);
                if (which == 0 && side.all() + came.unranked > 0 && trial.counted < 0) trial.counted = now;
                if (side.all() > halveAt) {
                    for (auto& bin : side.bins) bin /= 2;
                    side.errored /= 2, side.flagged /= 2;
                }
                sender.last[group][which] = came;
            }
        }
    }
};

}  // namespace lichenlanding::policy
