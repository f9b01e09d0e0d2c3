#include "routing/canary.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "hashing/rendezvous.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr double kSharePart = 0.45;              // of the share that a canary may have, while it is watched
constexpr double kSlackPart = 0.7;               // of the requests beyond the share, to begin the watch with
constexpr double kGrantMax = 4;                  // of these at one proxy, which may not know of others yet
constexpr Nanos kFocusFor = 500 * kMillisecond;  // the share goes to the same few hosts so long
constexpr double kFullTrialPart = 0.9;  // of the share, that the watch and the trial of all traffic may reach
constexpr Nanos kFullTrialFor = 600 * kMillisecond;
constexpr double kCreditMax = 1.5;  // requests to a canary that may be saved up
constexpr int kOwnFailures = 4;     // failures of a canary seen by this proxy that stop it here
constexpr double kOwnFailurePart = 0.3;

}  // namespace

struct CanaryExposure::Canary {
    double credit = 0;       // requests that it may have now
    double granted = 0;      // requests beyond its share
    double grantLeft = 0;    // of these, not yet credited
    double sent = 0;         // attempts to it since its rollout is known here
    double serviceSent = 0;  // attempts to its service since then
    int stage = 0;           // verdict::Stage
    Nanos stageStarted = 0;
    bool ended = false;
    std::uint32_t outcomes = 0;
    std::uint32_t failures = 0;
    verdict::Totals totals;

    bool stoppedHere() const { return failures >= kOwnFailures && failures > outcomes * kOwnFailurePart; }
};

std::string CanaryExposure::keyOf(const messages::Rollout& rollout) {
    return rollout.service + "\n" + rollout.target;
}

bool CanaryExposure::hasRollout(const std::string& service, const std::string& version) const {
    return std::any_of(rollouts_.begin(), rollouts_.end(), [&](const auto& rollout) {
        return rollout.service == service && rollout.target == version;
    });
}

// ---- Rollouts and versions. ----

void CanaryExposure::onHostAdded(const discovery::Endpoint& endpoint) {
    auto& versions = stableVersions_[endpoint.service];
    if (versions.empty() && !hasRollout(endpoint.service, endpoint.version))
        versions.insert(endpoint.version);
}

void CanaryExposure::setRollouts(std::vector<messages::Rollout> rollouts, const HostsByService& hosts,
                                 std::size_t proxies, Nanos now, std::mt19937_64& chance) {
    // At the first list a rollout may have been running, and granted its slack, before this proxy started.
    const bool sinceItsOrder = std::exchange(known_, true);
    rollouts_ = std::move(rollouts);
    std::map<std::string, const messages::Rollout*> newest;  // a version may be ordered anew
    for (const auto& rollout : rollouts_) newest[keyOf(rollout)] = &rollout;
    std::erase_if(canaries_, [&](const auto& canary) { return !newest.contains(canary.first); });
    for (const auto& rollout : rollouts_) {
        stableVersions_[rollout.service].erase(rollout.target);
        if (newest.at(keyOf(rollout)) != &rollout) continue;
        const auto& canary = canaries_[keyOf(rollout)];
        // Ordered anew after it was turned back: what was counted then says nothing of what runs now.
        if (!canary || (canary->ended && rollout.running()))
            startCanary(rollout, sinceItsOrder, proxies, chance);
        canary->ended = !rollout.running();
        if (rollout.stage == canary->stage) continue;
        canary->stage = rollout.stage;
        canary->stageStarted = now;
    }
    findStableVersions(hosts);
}

// The rule lets a few requests more than the share go to a canary over the whole fleet. Where few requests
// come the share alone brings too few outcomes within a term. A grant of less than one is spread over the
// proxies by chance.
void CanaryExposure::startCanary(const messages::Rollout& rollout, bool sinceItsOrder, std::size_t proxies,
                                 std::mt19937_64& chance) {
    auto canary = std::make_shared<Canary>();
    const double grant =
        slack_ * kSlackPart / static_cast<double>(proxies) + static_cast<double>(chance() % 1000) / 1000;
    if (sinceItsOrder && rollout.running()) canary->granted = std::floor(std::min(grant, kGrantMax));
    canary->grantLeft = canary->granted;
    canaries_[keyOf(rollout)] = std::move(canary);
}

void CanaryExposure::findStableVersions(const HostsByService& hosts) {
    for (auto& [service, versions] : stableVersions_) {
        if (!versions.empty()) continue;
        const auto listed = hosts.find(service);
        if (listed == hosts.end()) continue;
        for (const auto& host : listed->second)
            if (!hasRollout(service, host->endpoint.version)) versions.insert(host->endpoint.version);
    }
}

// A version that a rollout brought goes by the rollout's state; one that none brought serves only if it was
// there first, and only until a completed rollout replaces it.
VersionRole CanaryExposure::roleOf(const UpstreamHost& host) const {
    const auto& [service, version] = std::tie(host.endpoint.service, host.endpoint.version);
    const messages::Rollout* own = nullptr;
    const messages::Rollout* completed = nullptr;
    for (const auto& rollout : rollouts_) {
        if (rollout.service != service) continue;
        if (rollout.target == version) own = &rollout;
        if (rollout.state == "completed" && (!completed || rollout.number > completed->number))
            completed = &rollout;
    }
    if (own && own->running()) return VersionRole::canary;
    if (own) return own == completed ? VersionRole::stable : VersionRole::none;
    if (completed) return VersionRole::none;
    const auto stable = stableVersions_.find(service);
    return stable != stableVersions_.end() && stable->second.contains(version) ? VersionRole::stable
                                                                               : VersionRole::none;
}

// ---- Exposure. ----

// A share that is spread over as many new hosts as there are old ones never loads one, and what fails only
// under load would show with all traffic. So all proxies send it to the same few at a time, as many as it
// loads like the rest.
std::size_t CanaryExposure::focusSize(std::size_t hosts) const {
    return static_cast<std::size_t>(std::ceil(static_cast<double>(hosts) * share_ * kSharePart));
}

// All requests for a moment, within what the share has left unused so far. What fails only under load shows
// here, before the canary may have all traffic.
bool CanaryExposure::isFullTrafficTrial(const messages::Rollout& rollout, const Canary& canary,
                                        Nanos now) const {
    return rollout.stage == verdict::fullTrafficTrial && now - canary.stageStarted < kFullTrialFor &&
           canary.sent + 1 <= (canary.serviceSent + 1) * share_ * kFullTrialPart + canary.granted;
}

// A request's part of the credit, and whether there is enough for one. The few hosts get what a stable host
// gets: of the share, and of the grant what that lacks.
bool CanaryExposure::takeCredit(Canary& canary, std::size_t hosts) const {
    const double fair = static_cast<double>(focusSize(hosts)) / static_cast<double>(hosts);
    const double steady = std::min(share_ * kSharePart, fair);
    const double fromGrant = std::min(fair - steady, canary.grantLeft);
    if (canary.credit < kCreditMax) {
        canary.credit += steady + fromGrant;
        canary.grantLeft -= fromGrant;
    }
    if (canary.credit < 1) return false;
    canary.credit -= 1;
    return true;
}

// Two rollouts of one service are told apart: what one may have is not the other's.
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
        if (canary.stoppedHere() || available == 0) continue;
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

// To others twice a second, as their latencies differ. Hosts whose outcomes do not count yet get none of it.
void CanaryExposure::focus(Candidates& candidates, const std::string& version, Nanos now) const {
    const auto both = {&candidates.ownZone, &candidates.otherZones};
    const auto count = focusSize(candidates.ownZone.size() + candidates.otherZones.size());
    std::vector<std::string> ids;
    for (auto* hosts : both) std::erase_if(*hosts, [&](const auto* host) { return !isWarm(**host, now); });
    for (const auto* hosts : both)
        for (const auto* host : *hosts) ids.push_back((*host)->endpoint.id);
    const auto turn = (now + clockOffset_) / kFocusFor;
    const auto chosen = hashing::rendezvousSelect(ids, version + std::to_string(turn), count);
    for (auto* hosts : both)
        std::erase_if(*hosts, [&](const auto* host) {
            return std::find(chosen.begin(), chosen.end(), (*host)->endpoint.id) == chosen.end();
        });
}

// ---- Counts. ----

void CanaryExposure::onAttemptStarted(const std::string& service, const UpstreamHost& host) {
    for (const auto& rollout : rollouts_)
        if (rollout.service == service && rollout.running()) ++canaryOf(rollout).serviceSent;
    if (roleOf(host) == VersionRole::canary)
        ++canaries_[host.endpoint.service + "\n" + host.endpoint.version]->sent;
}

void CanaryExposure::recordOutcome(const UpstreamHost& host, const config::Route& route, Nanos took,
                                   bool failed) {
    for (const auto& rollout : rollouts_) {
        if (rollout.service != host.endpoint.service || !rollout.running()) continue;
        const bool fresh = rollout.target == host.endpoint.version;
        if (!fresh && roleOf(host) != VersionRole::stable) continue;
        auto& canary = canaryOf(rollout);
        canary.totals[route.name][fresh ? 0 : 1].count(took, route.targetLatency, failed);
        if (!fresh) continue;
        ++canary.outcomes;
        if (!failed) continue;
        ++canary.failures;
        ++failures_;
    }
}

const verdict::Totals& CanaryExposure::totals(const std::string& service, const std::string& version) const {
    static const verdict::Totals kNone;
    const auto at = canaries_.find(service + "\n" + version);
    return at == canaries_.end() ? kNone : at->second->totals;
}

}  // namespace lichenlanding::routing
