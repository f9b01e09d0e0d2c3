#include <unistd.h>

#include <algorithm>

#include "scale_test/facts.hpp"
#include "scale_test/hollow.hpp"
#include "scale_test/report.hpp"
#include "scale_test/scale_run.hpp"

namespace lichenlanding::scale_test {

using namespace transport;
using Json = nlohmann::json;

namespace {

constexpr Nanos kPollInterval = 10 * kMillisecond;
// A change that is not applied everywhere by then counts as missing.
constexpr Nanos kPropagationTimeout = 30 * kSecond;
constexpr Nanos kMinOutage = 5 * kSecond;  // of the control node that is stopped

template <typename Done>
Task<bool> waitUntil(Done done, Nanos timeout) {
    const Nanos end = now() + timeout;
    while (!done()) {
        if (now() > end) co_return false;
        co_await sleep(kPollInterval);
    }
    co_return true;
}

Json summarizeOne(Nanos time) { return time > 0 ? summarizeTimes({time}) : Json(); }

}  // namespace

Snapshot ScaleRun::snapshot() const {
    auto ids = processes_.running();
    ids[kOutsideProcess] = getpid();
    return {UsageReading::capture(ids), observations_.messageCounts};
}

void ScaleRun::report(const std::string& phase, const Snapshot& from, const Snapshot& to) {
    report_.addPhase(phase, from, to, processes_.roles());
}

bool ScaleRun::allProxiesAppliedBy(std::int64_t version) const {
    return observations_.appliedTimes(version, 0).size() >= static_cast<std::size_t>(scenario_.proxies);
}

Task<> ScaleRun::executePhases() {
    co_await startPhase();
    phase_ = "steady";
    co_await steadyPhase();
    phase_ = "changes";
    if (scenario_.changes > 0) co_await changesPhase();
    phase_ = "pods";
    if (scenario_.podChanges > 0) co_await endpointsPhase();
    phase_ = "restarts";
    if (scenario_.restarts > 0) co_await restartsPhase();
    phase_ = "loss";
    if (scenario_.loss != 0) co_await lossPhase();
}

// ---- Start: all processes are launched at once. ----

Task<> ScaleRun::startPhase() {
    const Nanos startTime = now();
    Snapshot before;
    before.reading.at = startTime;
    launchAll();
    co_await operator_.replaceConfiguration(0);
    const Nanos acknowledged = now();
    const auto all = static_cast<std::size_t>(scenario_.proxies + scenario_.realProxies);
    const auto allReady = [&] { return observations_.readyTimes.size() >= all; };
    const bool completed = co_await waitUntil(allReady, scenario_.limitSeconds * kSecond);
    std::vector<Nanos> times;
    for (const auto& [_, at] : observations_.readyTimes) times.push_back(at.front() - startTime);
    report_.addTime("start until ready", {{"spread", summarizeTimes(times)},
                                          {"missing", all - times.size()},
                                          {"acknowledged_ms", (acknowledged - startTime) / kMillisecond},
                                          {"body_bytes", operator_.bodyBytes()},
                                          {"connections_ended", observations_.connectionsEnded}});
    report("start", before, snapshot());
    if (!completed) throw std::runtime_error("not all proxies became ready");
}

// ---- Steady state: no changes. ----

Task<> ScaleRun::steadyPhase() {
    co_await sleep(scenario_.settleMs * kMillisecond);
    const auto from = snapshot();
    const auto ended = observations_.connectionsEnded;
    co_await sleep(scenario_.steadyMs * kMillisecond);
    const auto to = snapshot();
    if (scenario_.steadyMs > 0) report("steady", from, to);
    CostReport::print({{"phase", "steady"},
                       {"connections_ended", observations_.connectionsEnded - ended},
                       {"list_calls", platform_.calls}});
    endpointPublisher_ = endpointPublisher(from, to);
}

// The control node that polls the platform: the one that received most bytes from the run's own process.
std::int64_t ScaleRun::endpointPublisher(const Snapshot& from, const Snapshot& to) const {
    std::int64_t publisher = 0;
    std::uint64_t maxBytes = 0;
    const auto roles = peerRoles(processes_.roles());
    for (std::int64_t n = 0; n < scenario_.controlNodes; ++n) {
        const auto flows = to.reading.flows(from.reading, RunLayout::controlNodeName(n), roles);
        const auto flow = flows.find(kOutsideRole);
        if (flow == flows.end() || flow->second.bytesIn <= maxBytes) continue;
        maxBytes = flow->second.bytesIn;
        publisher = n;
    }
    return publisher;
}

// ---- Configuration changes. ----

Task<> ScaleRun::changesPhase() {
    const auto from = snapshot();
    std::vector<ConfigurationChange> changes(static_cast<std::size_t>(scenario_.changes));
    co_await sendChanges(changes);
    const auto to = snapshot();
    reportChanges(changes);
    report("changes", from, to);
}

Task<> ScaleRun::sendChanges(std::vector<ConfigurationChange>& changes) {
    int open = 0;
    const Nanos startTime = now();
    for (std::int64_t n = 1; n <= scenario_.changes; ++n) {
        auto& change = changes[static_cast<std::size_t>(n - 1)];
        change.sent = now();
        co_await operator_.replaceConfiguration(n);
        change.acknowledged = now();
        for (std::int64_t proxy = 0; proxy < scenario_.realProxies; ++proxy) {
            ++open;
            spawn(io_, "route", recordServed(proxy, n, &change.served, &open));
        }
        const Nanos next = startTime + n * scenario_.changeEveryMs * kMillisecond;
        if (now() < next) co_await sleep(next - now());
    }
    const auto appliedEverywhere = [&] { return allProxiesAppliedBy(1 + scenario_.changes) && open == 0; };
    co_await waitUntil(appliedEverywhere, kPropagationTimeout);
}

Task<> ScaleRun::recordServed(std::int64_t proxy, std::int64_t change, std::vector<Nanos>* served,
                              int* open) {
    const Nanos at = co_await operator_.waitForRoute(proxy, change, kPropagationTimeout);
    if (at > 0) served->push_back(at);
    --*open;
}

void ScaleRun::reportChanges(const std::vector<ConfigurationChange>& changes) {
    std::vector<Nanos> acknowledged;
    std::vector<Nanos> halfApplied;
    std::vector<Nanos> lastApplied;
    std::vector<Nanos> served;
    std::int64_t missing = 0;
    std::int64_t version = 1;
    for (const auto& change : changes) {
        acknowledged.push_back(change.acknowledged - change.sent);
        auto applied = observations_.appliedTimes(++version, change.acknowledged);
        std::sort(applied.begin(), applied.end());
        if (applied.size() < static_cast<std::size_t>(scenario_.proxies)) {
            ++missing;
        } else {
            halfApplied.push_back(applied[applied.size() / 2]);
            lastApplied.push_back(applied.back());
        }
        for (const auto at : change.served) served.push_back(at - change.acknowledged);
    }
    const auto missingServed =
        scenario_.changes * scenario_.realProxies - static_cast<std::int64_t>(served.size());
    report_.addTime("change sent until acknowledged",
                    {{"spread", summarizeTimes(acknowledged)}, {"resent", operator_.resent()}});
    report_.addTime("change acknowledged until at half of the proxies",
                    {{"spread", summarizeTimes(halfApplied)}, {"missing", missing}});
    report_.addTime("change acknowledged until at the last proxy",
                    {{"spread", summarizeTimes(lastApplied)}, {"missing", missing}});
    report_.addTime("change acknowledged until served by a real proxy",
                    {{"spread", summarizeTimes(served)}, {"missing", missingServed}});
}

// ---- Endpoints are drained and replaced. ----

// Drains an endpoint. Returns the time until the last proxy knows of it, or 0 after the timeout.
Task<Nanos> ScaleRun::drainEndpoint() {
    const auto id = platform_.replaceEndpoint();
    const Nanos at = now();
    auto& known = observations_.endpointChanges[id];
    const auto knownEverywhere = [&] { return known.size() >= static_cast<std::size_t>(scenario_.proxies); };
    const bool completed = co_await waitUntil(knownEverywhere, kPropagationTimeout);
    Nanos longest = 0;
    for (const auto& [_, knownAt] : known) longest = std::max(longest, knownAt - at);
    co_return completed ? longest : 0;
}

Task<> ScaleRun::recordDrained(std::vector<Nanos>* times, int* open) {
    const Nanos duration = co_await drainEndpoint();
    if (duration > 0) times->push_back(duration);
    --*open;
}

Task<> ScaleRun::endpointsPhase() {
    const auto from = snapshot();
    std::vector<Nanos> durations;
    int open = 0;
    for (std::int64_t n = 0; n < scenario_.podChanges; ++n) {
        ++open;
        spawn(io_, "pod", recordDrained(&durations, &open));
        co_await sleep(scenario_.podChangeEveryMs * kMillisecond);
    }
    const auto allEnded = [&] { return open == 0; };
    co_await waitUntil(allEnded, kPropagationTimeout + kSecond);
    const auto missing = scenario_.podChanges - static_cast<std::int64_t>(durations.size());
    report_.addTime("pod draining until known to the last proxy",
                    {{"spread", summarizeTimes(durations)}, {"missing", missing}});
    report("pods", from, snapshot());
    std::vector<Nanos> gaps;
    for (std::size_t n = 1; n < platform_.listCompletionTimes.size(); ++n)
        gaps.push_back(platform_.listCompletionTimes[n] - platform_.listCompletionTimes[n - 1]);
    report_.addTime("between two whole lists",
                    {{"spread", summarizeTimes(gaps)}, {"rejected", platform_.rejected}});
}

// ---- Simulated proxies are restarted. ----

Task<> ScaleRun::restartsPhase() {
    struct Restart {
        std::string proxy;
        Nanos requestedAt = 0;
        std::size_t previousStarts = 0;  // number of starts before this restart
    };
    const auto from = snapshot();
    auto& ready = observations_.readyTimes;
    std::vector<Restart> restarts;
    std::set<std::string> restarted;
    for (std::int64_t n = 0; n < scenario_.restarts; ++n) {
        const auto proxy = (n * 7919 + scenario_.seed) % scenario_.proxies;
        const auto name = simulatedProxyName(proxy);
        if (restarted.insert(name).second) {
            restarts.push_back({name, now(), ready[name].size()});
            const auto process = simulatorProcessOf(proxy);
            const auto command = facts::kRestartCommand + (" " + name) + "\n";
            co_await processes_.send(process, command);
        }
        co_await sleep(scenario_.restartEveryMs * kMillisecond);
    }
    const auto isBack = [&](const Restart& restart) {
        return ready[restart.proxy].size() > restart.previousStarts;
    };
    const auto allBack = [&] { return std::all_of(restarts.begin(), restarts.end(), isBack); };
    co_await waitUntil(allBack, kPropagationTimeout);
    std::vector<Nanos> times;
    for (const auto& restart : restarts)
        if (isBack(restart)) times.push_back(ready[restart.proxy].back() - restart.requestedAt);
    report_.addTime("restart of a proxy (500 ms away) until ready",
                    {{"spread", summarizeTimes(times)}, {"missing", restarts.size() - times.size()}});
    report("restarts", from, snapshot());
}

// ---- A control node is stopped and restarted. ----

Task<> ScaleRun::lossPhase() {
    const auto lostNode = endpointPublisher_;
    ControlNodeLoss loss;
    const auto from = snapshot();
    const auto endedBefore = observations_.connectionsEnded;
    co_await loseControlNode(lostNode, loss);
    loss.connectionsEnded = observations_.connectionsEnded - endedBefore;
    const auto middle = snapshot();
    const Nanos restartedAt = now();
    launchControlNode(lostNode, false);
    const auto& connected = observations_.connections[layout_.controlNodeAddress(lostNode, kPeerPort)];
    const auto allConnected = [&] { return connected.size() >= static_cast<std::size_t>(scenario_.proxies); };
    const bool joined = co_await waitUntil(allConnected, kPropagationTimeout);
    if (joined) loss.connectedAfter = now() - restartedAt;
    co_await sleep(scenario_.settleMs * kMillisecond);
    loss.connectionsEndedByReturn = observations_.connectionsEnded - endedBefore - loss.connectionsEnded;
    reportLoss(loss);
    report("loss", from, middle);
    report("return", middle, snapshot());
}

// Stops the control node and measures the progress of the others without it.
Task<> ScaleRun::loseControlNode(std::int64_t lostNode, ControlNodeLoss& loss) {
    processes_.stop(RunLayout::controlNodeName(lostNode));
    const Nanos at = now();
    const auto lists = platform_.listCompletionTimes.size();
    const auto listed = [&] { return platform_.listCompletionTimes.size() > lists; };
    co_await waitUntil(listed, kPropagationTimeout);
    if (listed()) loss.nextList = platform_.listCompletionTimes.back() - at;
    loss.drainKnown = co_await drainEndpoint();
    loss.drainKnownAt = now() - at;
    co_await operator_.replaceConfiguration(scenario_.changes + 1);
    const Nanos acknowledged = now();
    const auto version = 2 + scenario_.changes;
    const auto appliedEverywhere = [&] { return allProxiesAppliedBy(version); };
    co_await waitUntil(appliedEverywhere, kPropagationTimeout);
    loss.applied = observations_.appliedTimes(version, acknowledged);
    if (now() - at < kMinOutage) co_await sleep(at + kMinOutage - now());
}

void ScaleRun::reportLoss(const ControlNodeLoss& loss) {
    const auto& applied = loss.applied;
    report_.addTime("control node that publishes endpoints lost until the next whole list",
                    {{"spread", summarizeOne(loss.nextList)}});
    report_.addTime(
        "pod draining after that, until known to the last proxy",
        {{"spread", summarizeOne(loss.drainKnown)}, {"known_after_ms", loss.drainKnownAt / kMillisecond}});
    report_.addTime(
        "change acknowledged without it until at the last proxy",
        {{"spread",
          applied.empty() ? Json() : summarizeTimes({*std::max_element(applied.begin(), applied.end())})},
         {"missing", scenario_.proxies - static_cast<std::int64_t>(applied.size())}});
    report_.addTime("control node back until connected to all",
                    {{"spread", summarizeOne(loss.connectedAfter)},
                     {"connections_ended_by_loss", loss.connectionsEnded},
                     {"connections_ended_by_return", loss.connectionsEndedByReturn}});
}

}  // namespace lichenlanding::scale_test
