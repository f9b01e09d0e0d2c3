#include "routing/canary.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hashing/rendezvous.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
// Of its share that a canary receives before the full-traffic trial.
constexpr double kWatchedShareFraction = 0.45;
constexpr double kInitialSlackFraction = 0.7;       // of the slack that is granted at the start of a rollout
constexpr double kMaxGrant = 4;                     // requests; a proxy may not know of the other proxies yet
constexpr Nanos kFocusPeriod = 500 * kMillisecond;  // the share goes to the same few hosts for this period
constexpr double kFullTrialShareFraction = 0.9;     // of the share, including the full-traffic trial
constexpr Nanos kFullTrialDuration = 600 * kMillisecond;
constexpr double kMaxCredit = 1.5;    // requests to a canary that can be saved up
constexpr int kMinLocalFailures = 4;  // failures at this proxy before it stops sending to a canary
constexpr double kMaxLocalFailureRatio = 0.3;

}  // namespace

struct CanaryExposure::Canary {
    double credit = 0;            // requests that it may receive now
    double granted = 0;           // requests beyond its share that this proxy may send
    double grantRemaining = 0;    // part of `granted` not yet added to the credit
    double sent = 0;              // attempts to the canary since this proxy received its rollout
    double serviceSent = 0;       // attempts to its service since then
    int stage = 0;                // verdict::Stage
    std::int64_t generation = 0;  // of its rollout
    Nanos stageStarted = 0;
    bool ended = false;
    std::uint32_t outcomes = 0;
    std::uint32_t failures = 0;
    verdict::Totals totals;

    bool stoppedLocally() const {
        return failures >= kMinLocalFailures && failures > outcomes * kMaxLocalFailureRatio;
    }
};

// ---- Rollouts and versions. ----

void CanaryExposure::onHostAdded(const std::string& service, const ServiceHosts& hosts) {
    stableVersions_.onHostAdded(service, hosts, rollouts_);
}

void CanaryExposure::onHostsKnown(const HostsByService& hosts) {
    hostsKnown_ = true;
    if (known_) stableVersions_.settle(hosts, rollouts_);
}

void CanaryExposure::setRollouts(messages::Rollouts rollouts, const HostsByService& hosts,
                                 std::size_t proxies, Nanos now, std::mt19937_64& random) {
    // A rollout in the first list may have started, and used its slack, before this proxy started.
    const bool observedFromStart = std::exchange(known_, true);
    rollouts_ = std::move(rollouts);
    std::map<std::string, const messages::Rollout*> newest;  // a version may be rolled out again
    for (const auto& rollout : rollouts_) newest[rollout.versionKey()] = &rollout;
    std::erase_if(canaries_, [&](const auto& canary) { return !newest.contains(canary.first); });
    for (const auto& rollout : rollouts_) {
        if (newest.at(rollout.versionKey()) != &rollout) continue;
        const auto& canary = canaries_[rollout.versionKey()];
        // Rolled out again: the earlier counts don't apply to the new rollout.
        if (!canary || canary->generation != rollout.generation || (canary->ended && rollout.running()))
            startCanary(rollout, observedFromStart, proxies, random);
        canary->ended = !rollout.running();
        if (rollout.stage == canary->stage) continue;
        canary->stage = rollout.stage;
        canary->stageStarted = now;
    }
    stableVersions_.onRolloutsChanged(hosts, rollouts_);
    if (hostsKnown_) stableVersions_.settle(hosts, rollouts_);
}

// The limit allows a canary some requests beyond its share over the whole fleet. With little traffic the
// share alone yields too few outcomes within a rollout's deadline. A grant of less than one request per proxy
// is distributed randomly over the proxies.
void CanaryExposure::startCanary(const messages::Rollout& rollout, bool observedFromStart,
                                 std::size_t proxies, std::mt19937_64& random) {
    auto canary = std::make_shared<Canary>();
    const double grant = slack_ * kInitialSlackFraction / static_cast<double>(proxies) +
                         static_cast<double>(random() % 1000) / 1000;
    if (observedFromStart && rollout.running()) canary->granted = std::floor(std::min(grant, kMaxGrant));
    canary->grantRemaining = canary->granted;
    canary->generation = rollout.generation;
    canaries_[rollout.versionKey()] = std::move(canary);
}

// The target of the newest completed rollout serves, or without one the inferred versions. They are stable
// also while a rollout of their own is running, and after it was rolled back: it was no trial of a new
// version.
VersionRole CanaryExposure::roleOf(const std::string& service, const std::string& version) const {
    const auto* completed = messages::lastCompleted(rollouts_, service);
    const bool stable = completed ? completed->target == version : stableVersions_.contains(service, version);
    if (stable) return VersionRole::stable;
    const bool running = std::any_of(rollouts_.begin(), rollouts_.end(), [&](const auto& rollout) {
        return rollout.service == service && rollout.target == version && rollout.running();
    });
    return running ? VersionRole::canary : VersionRole::none;
}

// ---- Exposure. ----

// Spread over as many new hosts as there are old ones, the share would load none of them, and a fault that
// appears only under load would show up with all traffic. So all proxies send the share to the same few hosts
// at a time: as many as it loads like the stable hosts.
std::size_t CanaryExposure::focusSize(std::size_t hosts) const {
    return static_cast<std::size_t>(std::ceil(static_cast<double>(hosts) * share_ * kWatchedShareFraction));
}

// For a short time the canary receives all requests, within the unused part of its share. A fault that
// appears only under load shows here, before the canary may receive all traffic.
bool CanaryExposure::isFullTrafficTrial(const messages::Rollout& rollout, const Canary& canary,
                                        Nanos now) const {
    return rollout.stage == verdict::fullTrafficTrial && now - canary.stageStarted < kFullTrialDuration &&
           canary.sent + 1 <= (canary.serviceSent + 1) * share_ * kFullTrialShareFraction + canary.granted;
}

// Adds one request's part to the credit; true if that pays for a request to the canary. The focus hosts
// receive as much as a stable host: from the share, and the rest from the grant.
bool CanaryExposure::takeCredit(Canary& canary, std::size_t hosts) const {
    const double evenShare = static_cast<double>(focusSize(hosts)) / static_cast<double>(hosts);
    const double shareCredit = std::min(share_ * kWatchedShareFraction, evenShare);
    const double grantCredit = std::min(evenShare - shareCredit, canary.grantRemaining);
    if (canary.credit < kMaxCredit) {
        canary.credit += shareCredit + grantCredit;
        canary.grantRemaining -= grantCredit;
    }
    if (canary.credit < 1) return false;
    canary.credit -= 1;
    return true;
}

// Each rollout of a service has a share of its own.
std::optional<CanaryChoice> CanaryExposure::choose(const std::string& service, const Candidates& candidates,
                                                   bool retry, Nanos now) {
    std::optional<CanaryChoice> choice;
    for (const auto& rollout : rollouts_) {
        if (rollout.service != service || !rollout.running()) continue;
        auto& canary = canaryOf(rollout);
        std::size_t available = 0;
        std::size_t warm = 0;
        for (const auto* hosts : {&candidates.ownZone, &candidates.otherZones})
            for (const auto* host : *hosts) {
                if ((*host)->endpoint.version != rollout.target) continue;
                ++available;
                warm += isWarm(**host, now);
            }
        if (canary.stoppedLocally() || available == 0) continue;
        const bool allTraffic =
            rollout.stage > verdict::fullTrafficTrial || isFullTrafficTrial(rollout, canary, now);
        if (allTraffic) {
            if (!choice) choice = CanaryChoice{rollout.target, false};
            continue;
        }
        if (retry || warm == 0) continue;
        if (takeCredit(canary, available)) choice = CanaryChoice{rollout.target, true};
    }
    return choice;
}

// The hosts change with each period, because their latencies differ. Hosts that are not warm get none of the
// share: their outcomes don't count yet.
void CanaryExposure::limitToFocusHosts(Candidates& candidates, const std::string& version, Nanos now) const {
    const auto zoneLists = {&candidates.ownZone, &candidates.otherZones};
    const auto count = focusSize(candidates.ownZone.size() + candidates.otherZones.size());
    std::vector<std::string> ids;
    for (auto* hosts : zoneLists)
        std::erase_if(*hosts, [&](const auto* host) { return !isWarm(**host, now); });
    for (const auto* hosts : zoneLists)
        for (const auto* host : *hosts) ids.push_back((*host)->endpoint.id);
    const auto period = (now + clockOffset_) / kFocusPeriod;
    const auto chosen = hashing::rendezvousSelect(ids, version + std::to_string(period), count);
    for (auto* hosts : zoneLists)
        std::erase_if(*hosts, [&](const auto* host) {
            return std::find(chosen.begin(), chosen.end(), (*host)->endpoint.id) == chosen.end();
        });
}

// ---- Counts. ----

void CanaryExposure::onAttemptStarted(const std::string& service, const UpstreamHost& host) {
    for (const auto& rollout : rollouts_)
        if (rollout.service == service && rollout.running()) ++canaryOf(rollout).serviceSent;
    if (roleOf(host) == VersionRole::canary)
        ++canaries_[messages::versionKey(host.endpoint.service, host.endpoint.version)]->sent;
}

void CanaryExposure::recordOutcome(const UpstreamHost& host, const config::Route& route, Nanos elapsed,
                                   bool failed) {
    for (const auto& rollout : rollouts_) {
        if (rollout.service != host.endpoint.service || !rollout.running()) continue;
        const auto role = roleOf(host);
        const bool isCanary = role == VersionRole::canary && rollout.target == host.endpoint.version;
        if (!isCanary && role != VersionRole::stable) continue;
        auto& canary = canaryOf(rollout);
        canary.totals[route.name][isCanary ? 0 : 1].count(elapsed, route.targetLatency, failed);
        if (!isCanary) continue;
        ++canary.outcomes;
        if (!failed) continue;
        ++canary.failures;
        ++failures_;
    }
}

const verdict::Totals& CanaryExposure::totals(const std::string& service, const std::string& version) const {
    static const verdict::Totals kNone;
    const auto found = canaries_.find(messages::versionKey(service, version));
    return found == canaries_.end() ? kNone : found->second->totals;
}

}  // namespace lichenlanding::routing
