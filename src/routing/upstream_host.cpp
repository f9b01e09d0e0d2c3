#include "routing/upstream_host.hpp"

#include <algorithm>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;
// Without a response for so long, a host gets attempts only if no other can.
constexpr Nanos kUnresponsiveAfter = 900 * kMillisecond;
constexpr Nanos kBackoffBase = 200 * kMillisecond;  // doubled with each failure in a row
constexpr Nanos kBackoffMax = 4 * kSecond;
constexpr int kBackoffMaxDoublings = 5;
constexpr Nanos kBackoffAfterRejection = 120 * kMillisecond;
constexpr int kMaxLostInRow = 3;              // responses lost in a row before a backoff
constexpr Nanos kWarmupPeriod = 2 * kSecond;  // outcomes of a host this new don't count for its version
constexpr double kLatencyWeight = 0.15;       // of the newest response in the moving average
constexpr double kLatencyRatioMin = 0.2, kLatencyRatioMax = 5;

constexpr Nanos kDefaultKeepAlive = 4 * kSecond;  // assumed keep-alive timeout of a host that sends none
constexpr double kKeepAliveFraction = 0.7;  // of the keep-alive timeout during which a connection is reused
constexpr Nanos kSafeIdleTime = 1500 * kMillisecond;  // maximum idle time for a non-idempotent request

void backOff(UpstreamHost& host, Nanos now) {
    const auto doublings = std::min(host.consecutiveFailures, kBackoffMaxDoublings);
    host.backoffUntil = now + std::min(kBackoffBase << doublings, kBackoffMax);
}

}  // namespace

bool isAvailable(const UpstreamHost& host, Nanos now) {
    return !host.gone && !host.endpoint.draining && now >= host.backoffUntil &&
           (host.unansweredSince == 0 || now - host.unansweredSince < kUnresponsiveAfter);
}

bool isWarm(const UpstreamHost& host, Nanos now) {
    return now - host.firstSeen >= kWarmupPeriod && now >= host.slowStartUntil;
}

void onAttemptStarted(UpstreamHost& host, Nanos now) {
    if (host.inFlight++ == 0) host.unansweredSince = now;
}

void onAttemptEnded(UpstreamHost& host, AttemptEvent end, Nanos now) {
    // With nothing in flight no response is due, however the attempt ended. Otherwise a host that failed once
    // would count as unresponsive until it is selected for lack of others.
    if (--host.inFlight == 0) host.unansweredSince = 0;
    else if (end == AttemptEvent::answered || end == AttemptEvent::rejectedByHost ||
             end == AttemptEvent::misdirected)
        host.unansweredSince = now;
    if (end == AttemptEvent::answered) {
        host.consecutiveFailures = 0;
    } else if (end == AttemptEvent::rejectedByHost) {
        host.backoffUntil = now + kBackoffAfterRejection;
    } else if (end == AttemptEvent::misdirected) {
        host.gone = true;  // guarantee ROUTE: another host has the address; the list of endpoints will follow
    } else if (end == AttemptEvent::unreached || end == AttemptEvent::timedOut) {
        backOff(host, now);
        ++host.consecutiveFailures;
    } else if (end != AttemptEvent::cancelled && ++host.consecutiveFailures >= kMaxLostInRow) {
        backOff(host, now);
    }
}

void recordLatency(UpstreamHost& host, double latencyRatio, Nanos now) {
    if (now < host.slowStartUntil) return;
    const auto ratio = std::clamp(latencyRatio, kLatencyRatioMin, kLatencyRatioMax);
    host.relativeLatency += kLatencyWeight * (ratio - host.relativeLatency);
}

void recordLatencyAtLeast(UpstreamHost& host, double latencyRatio, Nanos now) {
    if (latencyRatio > host.relativeLatency) recordLatency(host, latencyRatio, now);
}

Nanos idleLimit(Nanos keepAliveTimeout) {
    const auto timeout = keepAliveTimeout > 0 ? keepAliveTimeout : kDefaultKeepAlive;
    return static_cast<Nanos>(static_cast<double>(timeout) * kKeepAliveFraction);
}

bool safeToReuse(Nanos age, Nanos idleLimit) { return age <= std::min(kSafeIdleTime, idleLimit); }

}  // namespace lichenlanding::routing
