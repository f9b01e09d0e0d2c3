// A policy under test with a clock that the test sets, and a trace of the effects that the policy requests.
#pragma once

#include <map>
#include <memory>
#include <utility>

#include "policy/gossip.hpp"
#include "policy/policy_engine.hpp"
#include "support/trace.hpp"

inline Settings testSettings() {
    Settings settings;
    settings.index = 0;
    settings.sidecarCount = 3;
    settings.zones = {"a", "b"};
    settings.groups = {
        {"read", 1000 * kMs, 2500 * kMs, 1, Effect::idempotent, DedupScope::all, 0, false, 0},
        {"order", 500 * kMs, 2000 * kMs, 2, Effect::deduplicated, DedupScope::zone, 1200 * kMs, false, 1},
        {"certify", 500 * kMs, 2000 * kMs, 2, Effect::nonIdempotent, DedupScope::all, 0, false, 2}};
    settings.peerMessages = true;
    settings.maxAttempts = 4;
    settings.drainGrace = 2000 * kMs;
    settings.slowStartTime = 4000 * kMs;
    settings.slowStartFloor = 0.4;
    settings.overloadMultiple = 2;
    settings.overloadTime = 1500 * kMs;
    settings.caps = {0.5, 1};
    settings.freeAttempts = 1;
    settings.exposureWindow = 6000 * kMs;
    settings.voteTtl = 6000 * kMs;
    settings.voteTimeout = 800 * kMs;
    settings.votesPerSecond = 100;
    return settings;
}

/// Starts with build 5 released.
class PolicyFixture : public PolicyHost {
  public:
    explicit PolicyFixture(Settings settings_ = testSettings(), std::uint64_t seed = 7)
        : settings(std::move(settings_)), seed_(seed) {
        start();
    }

    /// Starts or restarts the policy.
    void start() {
        policy = std::make_unique<PolicyEngine>(settings, seed_, *this);
        advanceTo(0);
        policy->onTimer();
        updateRollout(5, 1, RolloutState::released, 1);
    }
    /// Advances the clock and fires the policy's timers that become due.
    void advanceTo(Nanos time) {
        while (timerAt_ >= 0 && timerAt_ <= time) {
            now = timerAt_;
            timerAt_ = -1;
            policy->setTime(now);
            policy->onTimer();
        }
        now = time;
        policy->setTime(now);
    }
    void listPod(std::uint32_t id, int build, int zone = 0, Availability availability = Availability::up,
                 Nanos startedAt = -1) {
        pods[id].id = id;
        EndpointUpdate update{&pods[id], build, zone, 0, availability};
        if (startedAt >= 0) update.startedAt = startedAt;
        policy->onEndpoints(false, {&update, 1});
    }
    void updateRollout(int build, int stage, RolloutState state, double cap) {
        policy->onRolloutUpdate(build, stage, state, false, Outcome::succeeded, cap, 0);
    }
    Request& request(const std::string& id, int group, Nanos timeout = 2000 * kMs) {
        auto& request = requests[id];
        request.id = id;
        request.group = &settings.groups[static_cast<std::size_t>(group)];
        request.deadline = now + timeout;
        policy->onRequest(request);
        return request;
    }
    /// Sends a request; its attempt, if there is one, succeeds immediately.
    void serve(const std::string& id, int group) {
        if (auto& served = request(id, group); !served.attempts.empty()) finish(served, Outcome::succeeded);
    }
    /// Ends the last attempt of a request.
    void finish(Request& request, Outcome outcome, Nanos latency = 10 * kMs, bool clientDone = false) {
        const bool done = clientDone || outcome == Outcome::succeeded;
        policy->onOutcome(request.attempts.back(), outcome, latency, done);
    }
    void note(const std::string& text) { trace << "# " << text << '\n'; }

    void matches(const std::string& name) { matchesTrace(name, trace.str()); }

    void forward(const Attempt& attempt, Nanos timeout) override {
        line() << "forward " << attempt.request->id << " to pod " << attempt.pod->id << " of build "
               << attempt.build->number << ", timeout " << timeout / kMs << '\n';
    }
    void reject(const Request& request, Nanos /*retryAfter*/) override {
        line() << "reject " << request.id << '\n';
    }
    void fail(const Request& request) override { line() << "fail " << request.id << '\n'; }
    void cancel(const Request& request, int attempt) override {
        line() << "cancel " << request.id << " " << attempt << '\n';
    }
    void probe(const Pod& pod) override { line() << "probe " << pod.id << '\n'; }
    void sendToPeer(int peer, const std::string& bytes) override {
        lastSent[peer] = bytes;
        if (peer == 1) sentToPeer1.push_back(bytes);
        CHECK(bytes.size() <= kMaxMessageBytes);
    }
    void vote(Verdict verdict, int build, int stage) override {
        static const char* words[] = {"none", "advance", "hold", "roll back"};
        ++votes;
        line() << "vote " << words[static_cast<int>(verdict)] << " on build " << build << " stage " << stage
               << '\n';
    }
    void scheduleTimer(Nanos delay) override { timerAt_ = now + delay; }
    void watchEndpoints() override { line() << "watch endpoints\n"; }

    Settings settings;
    Nanos now = 0;
    std::unique_ptr<PolicyEngine> policy;
    std::map<std::uint32_t, Pod> pods;
    std::map<std::string, Request> requests;
    std::map<int, std::string> lastSent;   // by peer
    std::vector<std::string> sentToPeer1;  // all messages
    int votes = 0;                         // number cast; tests may decrement it
    std::stringstream trace;
    bool notesOnly = false;  // traces only note() and direct writes by the test

  private:
    std::ostream& line() {
        discarded_.str("");
        return (notesOnly ? discarded_ : trace) << now / kMs << " ";
    }
    std::stringstream discarded_;
    std::uint64_t seed_;
    Nanos timerAt_ = -1;
};
