#include "proxy/rollout_voting.hpp"

#include <algorithm>

#include "verdict/stages.hpp"

namespace lichenlanding::proxy {

using namespace transport;

RolloutVoting::RolloutVoting(asio::io_context& io, const config::BootstrapSettings& settings,
                             std::uint64_t incarnation, routing::Router& router, const FleetMembership& fleet,
                             const PeerConnections& connections, std::function<void()> onEnded)
    : io_(io),
      settings_(settings),
      incarnation_(incarnation),
      router_(router),
      fleet_(fleet),
      connections_(connections),
      onEnded_(std::move(onEnded)) {}

void RolloutVoting::onRollouts() {
    const auto& all = router_.rollouts();
    const bool running =
        std::any_of(all.begin(), all.end(), [](const auto& rollout) { return rollout.running(); });
    if (!running || counting_) return;
    counting_ = true;
    spawn(io_, "outcome_counts", countWhileRunning());
}

// Sends totals every kCountsInterval, and earlier when a canary has new failures.
Task<> RolloutVoting::countWhileRunning() {
    Nanos lastSent = 0;
    std::uint64_t failuresSent = 0;
    for (bool running = true; running;) {
        co_await sleep(verdict::kUrgentCountsInterval);
        const bool due =
            now() - lastSent >= verdict::kCountsInterval || router_.canaryFailures() > failuresSent;
        running = false;
        for (const auto& rollout : router_.rollouts()) {
            if (!rollout.running()) continue;
            running = true;
            if (due) sendCounts(rollout);
            evaluate(rollout);
        }
        if (!due) continue;
        lastSent = now();
        failuresSent = router_.canaryFailures();
    }
    counting_ = false;
    aggregators_.clear();
    onEnded_();
}

void RolloutVoting::sendCounts(const messages::Rollout& rollout) {
    const auto& totals = router_.totals(rollout.service, rollout.target);
    const auto key = rollout.key();
    ++lastSequence_;
    EncodedMessage encoded;
    for (const auto& voter : fleet_.votersOf(rollout)) {
        if (voter == settings_.name) {
            aggregators_[key].update(settings_.name, incarnation_, lastSequence_, totals);
            continue;
        }
        const auto connection = connections_.peer(fleet_.proxies().at(voter));
        if (!connection) continue;
        if (!encoded)
            encoded = PeerConnection::encode(
                encode(OutcomeCounts{settings_.name, incarnation_, lastSequence_, key, totals}));
        connection->send(encoded);
    }
}

void RolloutVoting::onCounts(OutcomeCounts counts) {
    aggregators_[counts.rollout].update(counts.from, counts.incarnation, counts.sequence,
                                        std::move(counts.totals));
}

void RolloutVoting::evaluate(const messages::Rollout& rollout) {
    if (!router_.ready()) return;  // without hosts it can't tell which versions are in service
    const auto voters = fleet_.votersOf(rollout);
    if (std::find(voters.begin(), voters.end(), settings_.name) == voters.end()) return;
    const auto key = rollout.key();
    auto& next = nextEvaluation_[key];
    if (now() < next) return;
    next = now() + verdict::kEvaluationInterval;
    const auto evaluation = verdict::evaluateCanary(aggregators_[key].sum(), random_);
    const bool stable = router_.isStable(rollout.service, rollout.target);
    connections_.sendToControlNodes(encode(Vote{settings_.name, rollout.service, rollout.target,
                                                rollout.generation, rollout.stage, stable, evaluation}));
}

}  // namespace lichenlanding::proxy
