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

constexpr Nanos kPollEvery = 10 * kMillisecond;
constexpr Nanos kTakesAtMost = 30 * kSecond;  // a change that is not everywhere by then has not come
constexpr Nanos kDownFor = 5 * kSecond;       // a control node that is lost

template <typename Done>
Task<bool> waitUntil(Done done, Nanos within) {
    const Nanos end = now() + within;
    while (!done()) {
        if (now() > end) co_return false;
        co_await sleep(kPollEvery);
    }
    co_return true;
}

Json spreadOfOne(Nanos time) { return time > 0 ? spread({time}) : Json(); }

}  // namespace

Snapshot ScaleRun::snapshot() const {
    auto ids = processes_.running();
    ids[kOutsideProcess] = getpid();
    return {Reading::take(ids), observations_.tallies};
}

void ScaleRun::report(const std::string& phase, const Snapshot& from, const Snapshot& to) {
    report_.addPhase(phase, from, to, processes_.roles());
}

bool ScaleRun::allProxiesAppliedBy(std::int64_t version) const {
    return observations_.appliedTimes(version, 0).size() >= static_cast<std::size_t>(plan_.proxies);
}

Task<> ScaleRun::allPhases() {
    co_await startPhase();
    phase_ = "steady";
    co_await steadyPhase();
    phase_ = "changes";
    if (plan_.changes > 0) co_await changesPhase();
    phase_ = "pods";
    if (plan_.podChanges > 0) co_await endpointsPhase();
    phase_ = "restarts";
    if (plan_.restarts > 0) co_await restartsPhase();
    phase_ = "loss";
    if (plan_.loss != 0) co_await lossPhase();
}

// ---- All processes start at once. ----

Task<> ScaleRun::startPhase() {
    const Nanos began = now();
    Snapshot nothing;
    nothing.reading.at = began;
    launchAll();
    co_await operator_.replaceConfiguration(0);
    const Nanos acknowledged = now();
    const auto all = static_cast<std::size_t>(plan_.proxies + plan_.realProxies);
    const auto allReady = [&] { return observations_.readyTimes.size() >= all; };
    const bool came = co_await waitUntil(allReady, plan_.limitSeconds * kSecond);
    std::vector<Nanos> times;
    for (const auto& [_, at] : observations_.readyTimes) times.push_back(at.front() - began);
    report_.addTime("start until ready", {{"spread", spread(times)},
                                          {"missing", all - times.size()},
                                          {"acknowledged_ms", (acknowledged - began) / kMillisecond},
                                          {"body_bytes", operator_.bodyBytes()},
                                          {"connections_ended", observations_.connectionsEnded}});
    report("start", nothing, snapshot());
    if (!came) throw std::runtime_error("not all were ready");
}

// ---- Nothing happens. ----

Task<> ScaleRun::steadyPhase() {
    co_await sleep(plan_.settleMs * kMillisecond);
    const auto from = snapshot();
    const auto ended = observations_.connectionsEnded;
    co_await sleep(plan_.steadyMs * kMillisecond);
    const auto to = snapshot();
    if (plan_.steadyMs > 0) report("steady", from, to);
    CostReport::print({{"phase", "steady"},
                       {"connections_ended", observations_.connectionsEnded - ended},
                       {"list_calls", platform_.calls}});
    publisher_ = endpointPublisher(from, to);
}

// The control node that follows the platform's list: the one that reads most from outside.
std::int64_t ScaleRun::endpointPublisher(const Snapshot& from, const Snapshot& to) const {
    std::int64_t publisher = 0;
    std::uint64_t most = 0;
    const auto roles = peerRoles(processes_.roles());
    for (std::int64_t n = 0; n < plan_.controlNodes; ++n) {
        const auto flows = to.reading.flows(from.reading, RunLayout::controlNodeName(n), roles);
        const auto flow = flows.find(kOutsideRole);
        if (flow == flows.end() || flow->second.in <= most) continue;
        most = flow->second.in;
        publisher = n;
    }
    return publisher;
}

// ---- Changes of configuration. ----

Task<> ScaleRun::changesPhase() {
    const auto from = snapshot();
    std::vector<ConfigurationChange> changes(static_cast<std::size_t>(plan_.changes));
    co_await makeChanges(changes);
    const auto to = snapshot();
    reportChanges(changes);
    report("changes", from, to);
}

Task<> ScaleRun::makeChanges(std::vector<ConfigurationChange>& changes) {
    int open = 0;
    const Nanos began = now();
    for (std::int64_t n = 1; n <= plan_.changes; ++n) {
        auto& change = changes[static_cast<std::size_t>(n - 1)];
        change.sent = now();
        co_await operator_.replaceConfiguration(n);
        change.acknowledged = now();
        for (std::int64_t proxy = 0; proxy < plan_.realProxies; ++proxy) {
            ++open;
            spawn(io_, "route", collectServed(proxy, n, &change.served, &open));
        }
        const Nanos next = began + n * plan_.changeEveryMs * kMillisecond;
        if (now() < next) co_await sleep(next - now());
    }
    const auto everywhere = [&] { return allProxiesAppliedBy(1 + plan_.changes) && open == 0; };
    co_await waitUntil(everywhere, kTakesAtMost);
}

Task<> ScaleRun::collectServed(std::int64_t proxy, std::int64_t change, std::vector<Nanos>* served,
                               int* open) {
    const Nanos at = co_await operator_.askForRoute(proxy, change, kTakesAtMost);
    if (at > 0) served->push_back(at);
    --*open;
}

void ScaleRun::reportChanges(const std::vector<ConfigurationChange>& changes) {
    std::vector<Nanos> acknowledged;
    std::vector<Nanos> half;
    std::vector<Nanos> last;
    std::vector<Nanos> served;
    std::int64_t missing = 0;
    std::int64_t version = 1;
    for (const auto& change : changes) {
        acknowledged.push_back(change.acknowledged - change.sent);
        auto applied = observations_.appliedTimes(++version, change.acknowledged);
        std::sort(applied.begin(), applied.end());
        if (applied.size() < static_cast<std::size_t>(plan_.proxies)) {
            ++missing;
        } else {
            half.push_back(applied[applied.size() / 2]);
            last.push_back(applied.back());
        }
        for (const auto at : change.served) served.push_back(at - change.acknowledged);
    }
    const auto missingServed = plan_.changes * plan_.realProxies - static_cast<std::int64_t>(served.size());
    report_.addTime("change sent until acknowledged",
                    {{"spread", spread(acknowledged)}, {"resent", operator_.resent()}});
    report_.addTime("change acknowledged until at half of the proxies",
                    {{"spread", spread(half)}, {"missing", missing}});
    report_.addTime("change acknowledged until at the last proxy",
                    {{"spread", spread(last)}, {"missing", missing}});
    report_.addTime("change acknowledged until served by a real proxy",
                    {{"spread", spread(served)}, {"missing", missingServed}});
}

// ---- Endpoints drained and replaced. ----

// Until the draining of an endpoint is known to the last proxy; 0 where it does not get there.
Task<Nanos> ScaleRun::drainEndpoint() {
    const auto id = platform_.replaceEndpoint();
    const Nanos at = now();
    auto& known = observations_.endpointChanges[id];
    const auto everywhere = [&] { return known.size() >= static_cast<std::size_t>(plan_.proxies); };
    const bool came = co_await waitUntil(everywhere, kTakesAtMost);
    Nanos last = 0;
    for (const auto& [_, heard] : known) last = std::max(last, heard - at);
    co_return came ? last : 0;
}

Task<> ScaleRun::collectDrained(std::vector<Nanos>* times, int* open) {
    const Nanos last = co_await drainEndpoint();
    if (last > 0) times->push_back(last);
    --*open;
}

Task<> ScaleRun::endpointsPhase() {
    const auto from = snapshot();
    std::vector<Nanos> last;
    int open = 0;
    for (std::int64_t n = 0; n < plan_.podChanges; ++n) {
        ++open;
        spawn(io_, "pod", collectDrained(&last, &open));
        co_await sleep(plan_.podChangeEveryMs * kMillisecond);
    }
    const auto allEnded = [&] { return open == 0; };
    co_await waitUntil(allEnded, kTakesAtMost + kSecond);
    const auto missing = plan_.podChanges - static_cast<std::int64_t>(last.size());
    report_.addTime("pod draining until known to the last proxy",
                    {{"spread", spread(last)}, {"missing", missing}});
    report("pods", from, snapshot());
    std::vector<Nanos> gaps;
    for (std::size_t n = 1; n < platform_.completeLists.size(); ++n)
        gaps.push_back(platform_.completeLists[n] - platform_.completeLists[n - 1]);
    report_.addTime("between two whole lists", {{"spread", spread(gaps)}, {"rejected", platform_.rejected}});
}

// ---- Proxies restarted. ----

Task<> ScaleRun::restartsPhase() {
    struct Restart {
        std::string proxy;
        Nanos asked = 0;
        std::size_t lives = 0;  // before
    };
    const auto from = snapshot();
    auto& ready = observations_.readyTimes;
    std::vector<Restart> restarts;
    std::set<std::string> restarted;
    for (std::int64_t n = 0; n < plan_.restarts; ++n) {
        const auto proxy = (n * 7919 + plan_.seed) % plan_.proxies;
        const auto name = hollowName(proxy);
        if (restarted.insert(name).second) {
            restarts.push_back({name, now(), ready[name].size()});
            const auto process = hollowProcessOf(proxy);
            const auto order = facts::kRestartOrder + (" " + name) + "\n";
            co_await processes_.send(process, order);
        }
        co_await sleep(plan_.restartEveryMs * kMillisecond);
    }
    const auto isBack = [&](const Restart& restart) { return ready[restart.proxy].size() > restart.lives; };
    const auto allBack = [&] { return std::all_of(restarts.begin(), restarts.end(), isBack); };
    co_await waitUntil(allBack, kTakesAtMost);
    std::vector<Nanos> times;
    for (const auto& restart : restarts)
        if (isBack(restart)) times.push_back(ready[restart.proxy].back() - restart.asked);
    report_.addTime("restart of a proxy (500 ms away) until ready",
                    {{"spread", spread(times)}, {"missing", restarts.size() - times.size()}});
    report("restarts", from, snapshot());
}

// ---- A control node lost, and back. ----

Task<> ScaleRun::lossPhase() {
    const auto lost = publisher_;
    ControlNodeLoss loss;
    const auto from = snapshot();
    const auto endedBefore = observations_.connectionsEnded;
    co_await loseControlNode(lost, loss);
    loss.connectionsEnded = observations_.connectionsEnded - endedBefore;
    const auto middle = snapshot();
    const Nanos back = now();
    launchControlNode(lost, false);
    const auto& connected = observations_.connections[layout_.controlNodeAddress(lost, kPeerPort)];
    const auto allConnected = [&] { return connected.size() >= static_cast<std::size_t>(plan_.proxies); };
    const bool joined = co_await waitUntil(allConnected, kTakesAtMost);
    if (joined) loss.connectedAfter = now() - back;
    co_await sleep(plan_.settleMs * kMillisecond);
    loss.connectionsEndedByReturn = observations_.connectionsEnded - endedBefore - loss.connectionsEnded;
    reportLoss(loss);
    report("loss", from, middle);
    report("return", middle, snapshot());
}

// Ends the control node and looks at what still goes on without it.
Task<> ScaleRun::loseControlNode(std::int64_t lost, ControlNodeLoss& loss) {
    processes_.stop(RunLayout::controlNodeName(lost));
    const Nanos at = now();
    const auto lists = platform_.completeLists.size();
    const auto listed = [&] { return platform_.completeLists.size() > lists; };
    co_await waitUntil(listed, kTakesAtMost);
    if (listed()) loss.nextList = platform_.completeLists.back() - at;
    loss.drainKnown = co_await drainEndpoint();
    loss.drainKnownAt = now() - at;
    co_await operator_.replaceConfiguration(plan_.changes + 1);
    const Nanos acknowledged = now();
    const auto version = 2 + plan_.changes;
    const auto everywhere = [&] { return allProxiesAppliedBy(version); };
    co_await waitUntil(everywhere, kTakesAtMost);
    loss.applied = observations_.appliedTimes(version, acknowledged);
    if (now() - at < kDownFor) co_await sleep(at + kDownFor - now());
}

void ScaleRun::reportLoss(const ControlNodeLoss& loss) {
    const auto& applied = loss.applied;
    report_.addTime("control node that publishes endpoints lost until the next whole list",
                    {{"spread", spreadOfOne(loss.nextList)}});
    report_.addTime(
        "pod draining after that, until known to the last proxy",
        {{"spread", spreadOfOne(loss.drainKnown)}, {"known_after_ms", loss.drainKnownAt / kMillisecond}});
    report_.addTime(
        "change acknowledged without it until at the last proxy",
        {{"spread", applied.empty() ? Json() : spread({*std::max_element(applied.begin(), applied.end())})},
         {"missing", plan_.proxies - static_cast<std::int64_t>(applied.size())}});
    report_.addTime("control node back until connected to all",
                    {{"spread", spreadOfOne(loss.connectedAfter)},
                     {"connections_ended_by_loss", loss.connectionsEnded},
                     {"connections_ended_by_return", loss.connectionsEndedByReturn}});
}

}  // namespace lichenlanding::scale_test
