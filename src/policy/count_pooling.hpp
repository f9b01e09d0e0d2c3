// Outcomes are counted, sent to the voters and summed there.
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/voter_verdict.hpp"

namespace lichenlanding::policy {

struct CountPooling : VoterVerdict {
    using VoterVerdict::VoterVerdict;

    void startTrial(int build) {
        if (build <= trial.build) return;
        trial = Trial{};
        trial.build = build;
        trial.demandBaseline = demandRate;
        trial.ownCounts = baseline;
        const auto groups = binEdges.size(), peers = static_cast<std::size_t>(sidecars);
        baseline.assign(groups, {});
        trial.recentSums.resize(groups);
        trial.sums.resize(groups);
        trial.verdicts.resize(peers);
        trial.senders.resize(
            peers, Sender{0, 0, 0, 0, std::vector<std::uint32_t>(groups), std::vector<Tallies>(groups)});
        // The voters are hashed from the build number: the same at every sidecar.
        std::vector<std::pair<std::uint64_t, int>> order;
        for (int peer = 0; peer < sidecars; ++peer) {
            auto hash = (static_cast<std::uint64_t>(build) << 20) + static_cast<std::uint64_t>(peer) + 1;
            for (int turn = 0; turn < 2; ++turn) hash = (hash ^ (hash >> 31)) * 0x9e3779b97f4a7c15ULL;
            order.emplace_back(hash ^ (hash >> 32), peer);
        }
        std::sort(order.begin(), order.end());
        order.resize(std::min<std::size_t>(kVoterCount, peers));
        for (const auto& [hash, peer] : order) trial.voters.push_back(peer);
    }

    // Only first attempts count: retries carry what was slow once, and go to the earlier build alone.
    void countOutcome(const Attempt& attempt, Outcome outcome, Nanos latency) {
        if (&attempt != &attempt.request->attempts.front() || attempt.build->number > trial.build) return;
        if (outcome == Outcome::rejected || outcome == Outcome::unreachable) return;
        const auto age = attempt.sentAt - attempt.pod->startedAt;
        if (age < skipFirst) return;
        const bool isNew = attempt.build->number == trial.build;
        const auto group = static_cast<std::size_t>(attempt.request->group->index);
        auto& tally = trial.ownCounts[group][isNew ? 0 : 1];
        if (age < countAfter) {
            if (!isNew || tally.unranked++ > 0 || trial.firstCountedAt >= 0) return;
            trial.firstCountedAt = now;
            return sendCounts();  // starts the timer of voters that meet the new build late
        }
        if (isNew && trial.firstCountedAt < 0) trial.firstCountedAt = now;
        const auto& edges = binEdges[group];
        const auto* const edge = std::upper_bound(edges.begin(), edges.end(), latency);
        const std::size_t bin = outcome == Outcome::succeeded ? edge - edges.begin() : kLastBin;
        ++tally.bins[bin];
        if (outcome == Outcome::failed) {
            ++tally.errored;
            urgeCounts(isNew);
        }
        auto& past = baseline[group].back().bins;
        if (++past[bin] >= kHalveBaselineAt)
            for (auto& count : past) count /= 2;
    }

    // Messages carry sums since the build was seen, so that lost, repeated and late ones change nothing.
    void sendCounts() {
        auto message = messageHeader(Message::Kind::counts);
        sendToPeers(encodeCounts(message, trial.ownCounts), trial.voters);
        message.groups = trial.ownCounts;
        if (isVoter()) mergeCounts(self, message);
    }

    // Exception: errors and flags of the new build do not wait for the pooling. Guards against a build that
    // turns bad late, or fails much at once. Harm: a good build's errors cost up to two messages a second.
    void urgeCounts(bool isNew) {
        if (!isNew || now - trial.countsUrgedAt < kMinJudgeInterval) return;
        trial.countsUrgedAt = now;
        sendCounts();
    }

    void pool() {
        if (trial.build < 0) return;
        sendPodNotes();
        if (rollout.state == RolloutState::rolledBack) return;
        sendCounts();
        if (!isVoter()) return;
        judge();
        sendVerdict();
        for (std::size_t group = 0; group < binEdges.size(); ++group) {
            for (auto& bin : trial.recentSums[group].bins) bin /= 2;
            for (auto& sums : trial.sums[group]) sums.recent /= 2;
        }
    }

    // The voters are told what was seen of each pod, and tell all which pods are slower than the rest.
    void sendPodNotes() {
        std::vector<PodNote> seen, view;
        PodStats all;
        overallStats.halve();
        for (auto& count : recentOutcomes) count /= 2;
        const auto fixedPoint = [](double value) {
            return static_cast<std::uint32_t>(value * kSlownessScale);
        };
        for (auto* pod : pods) {
            pod->recentStats.halve();
            const auto unsent = std::exchange(pod->unsentStats, {});
            const auto attempts = static_cast<std::uint32_t>(unsent.attempts);
            if (unsent.attempts > 0) seen.push_back({pod->id, attempts, fixedPoint(unsent.slowness)});
            if (isVoter()) pod->pooledStats += unsent;
            all += pod->pooledStats;
        }
        sendToPeers(encodePods(messageHeader(Message::Kind::pods), seen, seq), trial.voters);
        if (!isVoter() || all.attempts <= 0) return;
        const double mean = std::max(all.slowness / all.attempts, kMinSlowness);
        for (auto* pod : pods) {
            const auto [attempts, slowness] = pod->pooledStats;
            // With few outcomes a pod counts as slow only beyond what chance would show.
            const double relative = slowness / mean / (attempts + std::sqrt(attempts) + 1);
            if (relative > kSlowFactor) view.push_back({pod->id, 1, fixedPoint(relative)});
            pod->pooledSlowness = std::max(relative, 1.0);
            pod->pooledSlownessAt = now;
            pod->pooledStats.halve();
        }
        sendToPeers(encodePods(messageHeader(Message::Kind::view), view, seq), allPeers);
    }

    void mergePodNotes(int peer, const Message& message) {
        auto& sender = trial.senders[static_cast<std::size_t>(peer)];
        if (sender.podsEpoch == message.epoch && message.seq <= sender.podsSeq) return;  // repeated or late
        sender.podsEpoch = message.epoch;
        sender.podsSeq = message.seq;
        for (const auto& note : message.pods) {
            const auto found = std::lower_bound(pods.begin(), pods.end(), note.id,
                                                [](auto* pod, auto id) { return pod->id < id; });
            if (found == pods.end() || (*found)->id != note.id) continue;
            auto& pod = **found;
            const double slowness = note.slowness / kSlownessScale, most = kMaxSlowness * note.attempts;
            if (message.kind == Message::Kind::pods && isVoter())
                pod.pooledStats += {1.0 * note.attempts, std::min(slowness, most)};
            if (message.kind == Message::Kind::view) {
                pod.pooledSlowness = slowness;
                pod.pooledSlownessAt = now;
            }
        }
    }

    void mergeCounts(int peer, const Message& message) {
        auto& sender = trial.senders[static_cast<std::size_t>(peer)];
        if (message.epoch != sender.epoch) {
            if (message.epoch == sender.previousEpoch) return;  // from before the sender's restart
            sender.previousEpoch = std::exchange(sender.epoch, message.epoch);
            std::fill(sender.seq.begin(), sender.seq.end(), 0);
            std::fill(sender.lastTallies.begin(), sender.lastTallies.end(), Tallies{});
        }
        for (std::size_t at = 0; at < message.groups.size(); ++at) {
            const auto group = message.firstGroup + at;
            if (group >= binEdges.size() || message.seq <= sender.seq[group]) continue;
            sender.seq[group] = message.seq;
            for (std::size_t side = 0; side < message.groups[at].size(); ++side)
                mergeTally(group, side, message.groups[at][side], sender.lastTallies[group][side]);
        }
    }

    // `side`: 0 the new build, 1 the earlier ones, 2 before the build. `last` is what the sender sent before.
    void mergeTally(std::size_t group, std::size_t side, const Tally& tally, Tally& last) {
        auto& sums = trial.sums[group][side];
        auto& recent = trial.recentSums[group].bins;
        const auto growth = [](std::uint32_t now, std::uint32_t then) {
            return now > then ? now - then : 0.0;
        };
        for (int bin = 0; bin < kLatencyBins; ++bin) {
            const double grown = growth(tally.bins[bin], last.bins[bin]);
            sums.bins[bin] += grown;
            sums.recent += grown;
            if (side < 2) recent[bin] += grown;
        }
        sums.errored += growth(tally.errored, last.errored);
        sums.flagged += growth(tally.flagged, last.flagged);
        if (side == 1) recent[kLastBin] += growth(tally.unranked, last.unranked);
        if (side == 0 && sums.total() + tally.unranked > 0 && trial.firstCountedAt < 0)
            trial.firstCountedAt = now;
        if (sums.total() > kHalveSumsAt) {
            for (auto& bin : sums.bins) bin /= 2;
            sums.errored /= 2;
            sums.flagged /= 2;
        }
        last = tally;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
