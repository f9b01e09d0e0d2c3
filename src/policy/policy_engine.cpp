// Entry points of the policy (docs/design.md). "Exception" in comments marks departures from the usual rule.
// Each class extends the one before: policy_state, rules, votes, voter_verdict, count_pooling, routing.
#include "policy/policy_engine.hpp"  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include "policy/routing.hpp"

namespace lichenlanding {

using namespace policy;

struct PolicyEngine::Impl : Routing {
    using Routing::Routing;
};

PolicyEngine::PolicyEngine(const Settings& settings, std::uint64_t seed, PolicyHost& host)
    : impl_(std::make_unique<Impl>(settings, seed, host)) {}
PolicyEngine::~PolicyEngine() = default;

void PolicyEngine::setTime(Nanos now) { impl_->now = now; }

void PolicyEngine::onEndpoints(bool complete, std::span<const EndpointUpdate> updates) {
    impl_->updateEndpoints(complete, updates);
}

void PolicyEngine::onEndpointsUnavailable() {
    if (impl_->settings.pullEndpoints) impl_->host.watchEndpoints();
}

void PolicyEngine::onRequest(Request& request) {
    impl_->run({request}, {&Impl::recordArrival, &Impl::admit, &Impl::choosePod, &Impl::sendAttempt});
}

void PolicyEngine::onResponseHeaders(Attempt& attempt) {
    attempt.request->deadline = std::numeric_limits<Nanos>::max();
}

void PolicyEngine::onOutcome(Attempt& attempt, Outcome outcome, Nanos latency, bool clientDone) {
    Impl::RoutingContext context{*attempt.request, attempt.pod, &attempt, outcome, latency, clientDone};
    impl_->run(context, {&Impl::recordEnd, &Impl::recordOutcome, &Impl::retryOrFinish});
}

void PolicyEngine::onLoadReport(Pod& pod, double inFlight) {
    pod.reportedInFlight = inFlight;
    pod.reportedAt = impl_->now;
    auto& probed = impl_->probedPods;
    if (!impl_->settings.reportsOnProbes || std::find(probed.begin(), probed.end(), &pod) != probed.end())
        return;
    if (probed.size() >= kMaxProbedPods) probed.erase(probed.begin());
    probed.push_back(&pod);
}

void PolicyEngine::onClientDisconnect(Request& request) { request.ended = true; }

void PolicyEngine::onFlaggedResponse(Pod& pod, Nanos age, const PathGroup& group) {
    auto& trial = impl_->trial;
    if (!pod.build || impl_->now - age < pod.startedAt || pod.build->number > trial.build) return;
    const bool isNew = pod.build->number == trial.build;
    auto& counts = trial.ownCounts[static_cast<std::size_t>(group.index)][isNew ? 0 : 1];
    ++counts.flagged;
    ++counts.bins[kLastBin];
    impl_->sendUrgentCounts(isNew);
}

void PolicyEngine::onPeerMessage(int peer, const std::string& bytes) {
    auto& impl = *impl_;
    const auto message = decode(bytes);
    if (!message || peer >= impl.sidecars || peer == impl.self) return;
    if (static_cast<int>(message->build) != impl.trial.build) return;
    if (message->kind == Message::Kind::pods || message->kind == Message::Kind::view)
        return impl.mergePodReports(peer, *message);
    if (message->kind == Message::Kind::counts) {
        if (!impl.isVoter()) return;
        impl.mergeCounts(peer, *message);
        if (impl.now - impl.trial.evaluatedAt >= kMinEvaluationInterval) impl.evaluate();
        return;
    }
    auto& last = impl.trial.verdicts[static_cast<std::size_t>(peer)];
    if (last.epoch == message->epoch && message->seq <= last.seq) return;
    last = {static_cast<Verdict>(message->verdict), message->epoch, message->seq};
    impl.castVote();
}

void PolicyEngine::onRolloutUpdate(int build, int stage, RolloutState state, bool answer,
                                   Outcome answerOutcome, double cap, Nanos age) {
    auto& impl = *impl_;
    if (answer && !impl.handleVoteAnswer(answerOutcome)) return;
    if (build < impl.rollout.build) return;
    if (build == impl.rollout.build && cap < impl.rollout.cap) {  // a lower cap resets the allowances
        auto& allowances = impl.buildFor(build)->allowance;
        std::fill(allowances.begin(), allowances.end(), 0.0);
    }
    const bool moved = build != impl.rollout.build || stage != impl.rollout.stage;
    impl.rollout = {build, stage, state, cap, moved ? impl.now - age : impl.rollout.since};
    if (impl.rollingBack()) impl.buildOfKey.clear();
    impl.updateEndpoints(false, {});
    impl.castVote();
}

void PolicyEngine::onAttestation(int build, Attestation attestation) {
    impl_->buildFor(build)->attestation = attestation;
    impl_->castVote();
}

void PolicyEngine::onTimer() {
    auto& impl = *impl_;
    if (impl.nextTick < 0) {  // the first call
        impl.bootTime = impl.now;
        if (impl.settings.pullEndpoints) impl.host.watchEndpoints();
        impl.nextPooling = impl.now + static_cast<Nanos>(impl.random() % 1000) * (kPoolingInterval / 1000);
    }
    if (impl.now >= impl.nextPooling) {
        impl.nextPooling = impl.now + kPoolingInterval;
        impl.runPooling();
    }
    impl.measureRates();
    const bool undecided = impl.trial.verdict == Verdict::none && impl.trial.firstCountedAt >= 0;
    if (undecided && impl.isVoter() && impl.now - impl.trial.evaluatedAt >= kMinEvaluationInterval)
        impl.evaluate();
    impl.castVote();
    impl.scheduleTick();
}  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding
