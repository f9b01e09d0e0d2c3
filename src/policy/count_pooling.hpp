// Counts the outcomes of attempts, sends the counts to the voters and sums them there.
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
        trial.senders.resize(peers, SenderState{0, 0, 0, 0, std::vector<std::uint32_t>(groups),
                                                std::vector<GroupCounts>(groups)});
        // Voters are chosen by a hash of the build number, so every sidecar chooses the same ones.
        std::vector<std::pair<std::uint64_t, int>> order;
        for (int peer = 0; peer < sidecars; ++peer) {
            auto hash = (static_cast<std::uint64_t>(build) << 20) + static_cast<std::uint64_t>(peer) + 1;
            for (int round = 0; round < 2; ++round) hash = (hash ^ (hash >> 31)) * 0x9e3779b97f4a7c15ULL;
            order.emplace_back(hash ^ (hash >> 32), peer);
        }
        std::sort(order.begin(), order.end());
        order.resize(std::min<std::size_t>(kVoterCount, peers));
        for (const auto& [hash, peer] : order) trial.voters.push_back(peer);
    }

    // Counts first attempts only: retries select requests that were slow before and avoid the new build.
    void countOutcome(const Attempt& attempt, Outcome outcome, Nanos latency) {
        if (&attempt != &attempt.request->attempts.front() || attempt.build->number > trial.build) return;
        if (outcome == Outcome::rejected || outcome == Outcome::unreachable) return;
        const auto age = attempt.sentAt - attempt.pod->startedAt;
        if (age < ignoredAge) return;
        const bool isNew = attempt.build->number == trial.build;
        const auto group = static_cast<std::size_t>(attempt.request->group->index);
        auto& counts = trial.ownCounts[group][isNew ? 0 : 1];
        if (age < countedAge) {
            if (!isNew || counts.unranked++ > 0 || trial.firstCountedAt >= 0) return;
            trial.firstCountedAt = now;
            return sendCounts();  // starts the timeout of voters that have no outcome of the new build yet
        }
        if (isNew && trial.firstCountedAt < 0) trial.firstCountedAt = now;
        const auto& edges = binEdges[group];
        const auto* const edge = std::upper_bound(edges.begin(), edges.end(), latency);
        const std::size_t bin = outcome == Outcome::succeeded ? edge - edges.begin() : kLastBin;
        ++counts.bins[bin];
        if (outcome == Outcome::failed) {
            ++counts.errored;
            sendUrgentCounts(isNew);
        }
        auto& history = baseline[group].back().bins;
        if (++history[bin] >= kHalveBaselineAt)
            for (auto& count : history) count /= 2;
    }

    // Messages carry running totals since the build was first seen: lost, repeated and late ones do no harm.
    void sendCounts() {
        auto message = messageHeader(Message::Kind::counts);
        sendToPeers(encodeCounts(message, trial.ownCounts), trial.voters);
        message.groups = trial.ownCounts;
        if (isVoter()) mergeCounts(self, message);
    }

    // Exception: errors and flags of the new build don't wait for the pooling. Guards against a build that
    // turns bad late or fails often at once. Harm: a good build's errors cost up to two messages a second.
    void sendUrgentCounts(bool isNew) {
        if (!isNew || now - trial.urgentCountsSentAt < kMinEvaluationInterval) return;
        trial.urgentCountsSentAt = now;
        sendCounts();
    }

    void runPooling() {
        if (trial.build < 0) return;
        sendPodReports();
        if (rollout.state == RolloutState::rolledBack) return;
        sendCounts();
        if (!isVoter()) return;
        evaluate();
        sendVerdict();
        for (std::size_t group = 0; group < binEdges.size(); ++group) {
            for (auto& bin : trial.recentSums[group].bins) bin /= 2;
            for (auto& sums : trial.sums[group]) sums.recent /= 2;
        }
    }

    // Sends own statistics of each pod to the voters; a voter sends all peers the pods that are slow.
    void sendPodReports() {
        std::vector<PodReport> observed, view;
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
            if (unsent.attempts > 0) observed.push_back({pod->id, attempts, fixedPoint(unsent.slowness)});
            if (isVoter()) pod->pooledStats += unsent;
            all += pod->pooledStats;
        }
        sendToPeers(encodePods(messageHeader(Message::Kind::pods), observed, seq), trial.voters);
        if (!isVoter() || all.attempts <= 0) return;
        const double mean = std::max(all.slowness / all.attempts, kMinSlowness);
        for (auto* pod : pods) {
            const auto [attempts, slowness] = pod->pooledStats;
            // The square root widens the margin for pods with few outcomes, whose mean varies by chance.
            const double relative = slowness / mean / (attempts + std::sqrt(attempts) + 1);
            if (relative > kSlowFactor) view.push_back({pod->id, 1, fixedPoint(relative)});
            pod->pooledSlowness = std::max(relative, 1.0);
            pod->pooledSlownessAt = now;
            pod->pooledStats.halve();
        }
        sendToPeers(encodePods(messageHeader(Message::Kind::view), view, seq), allPeers);
    }

    void mergePodReports(int peer, const Message& message) {
        auto& sender = trial.senders[static_cast<std::size_t>(peer)];
        if (sender.podsEpoch == message.epoch && message.seq <= sender.podsSeq) return;  // repeated or old
        sender.podsEpoch = message.epoch;
        sender.podsSeq = message.seq;
        for (const auto& report : message.pods) {
            const auto found = std::lower_bound(pods.begin(), pods.end(), report.id,
                                                [](auto* pod, auto id) { return pod->id < id; });
            if (found == pods.end() || (*found)->id != report.id) continue;
            auto& pod = **found;
            const double slowness = report.slowness / kSlownessScale, maxSum = kMaxSlowness * report.attempts;
            if (message.kind == Message::Kind::pods && isVoter())
                pod.pooledStats += {1.0 * report.attempts, std::min(slowness, maxSum)};
            if (message.kind == Message::Kind::view) {
                pod.pooledSlowness = slowness;
                pod.pooledSlownessAt = now;
            }
        }
    }

    void mergeCounts(int peer, const Message& message) {
        auto& sender = trial.senders[static_cast<std::size_t>(peer)];
        if (message.epoch != sender.epoch) {
            if (message.epoch == sender.previousEpoch) return;  // sent before the sender restarted
            sender.previousEpoch = std::exchange(sender.epoch, message.epoch);
            std::fill(sender.seq.begin(), sender.seq.end(), 0);
            std::fill(sender.lastCounts.begin(), sender.lastCounts.end(), GroupCounts{});
        }
        for (std::size_t at = 0; at < message.groups.size(); ++at) {
            const auto group = message.firstGroup + at;
            if (group >= binEdges.size() || message.seq <= sender.seq[group]) continue;
            sender.seq[group] = message.seq;
            for (std::size_t side = 0; side < message.groups[at].size(); ++side)
                mergeSideCounts(group, side, message.groups[at][side], sender.lastCounts[group][side]);
        }
    }

    // `side`: 0 the new build, 1 earlier builds, 2 before the new one. `last`: the sender's previous totals.
    void mergeSideCounts(std::size_t group, std::size_t side, const SideCounts& counts, SideCounts& last) {
        auto& sums = trial.sums[group][side];
        auto& recent = trial.recentSums[group].bins;
        const auto increase = [](std::uint32_t total, std::uint32_t previous) {
            return total > previous ? total - previous : 0.0;
        };
        for (int bin = 0; bin < kLatencyBins; ++bin) {
            const double added = increase(counts.bins[bin], last.bins[bin]);
            sums.bins[bin] += added;
            sums.recent += added;
            if (side < 2) recent[bin] += added;
        }
        sums.errored += increase(counts.errored, last.errored);
        sums.flagged += increase(counts.flagged, last.flagged);
        if (side == 1) recent[kLastBin] += increase(counts.unranked, last.unranked);
        if (side == 0 && sums.total() + counts.unranked > 0 && trial.firstCountedAt < 0)
            trial.firstCountedAt = now;
        if (sums.total() > kHalveSumsAt) {
            for (auto& bin : sums.bins) bin /= 2;
            sums.errored /= 2;
            sums.flagged /= 2;
        }
        last = counts;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
