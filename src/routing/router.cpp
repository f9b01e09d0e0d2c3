#include "routing/router.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kMinTimeLeft = 15 * kMillisecond;    // with less an attempt cannot succeed
constexpr std::int64_t kExtraUnreachedAttempts = 2;  // attempts beyond max_attempts if hosts are unreachable
constexpr Nanos kRetryAfter = 150 * kMillisecond;    // sent with 503
constexpr double kUsableConnectionsFraction = 0.8;   // of a host's max_connections that the proxies share
constexpr double kDefaultConnections = 2;  // per proxy, if the configuration does not have the service
constexpr int kMinConnections = 2;
constexpr double kMaxConnectionsToHost = 1 << 20;  // whatever max_connections allows
// To a host of this proxy's subset, which few other proxies use.
constexpr int kMinConnectionsToPreferred = 4;

bool isFailure(AttemptEvent end, int status) {
    return end == AttemptEvent::connectionLost || end == AttemptEvent::malformed ||
           end == AttemptEvent::timedOut || (end == AttemptEvent::answered && status >= 500);
}

void keepOnlyVersion(Candidates& candidates, const std::string& version) {
    for (auto* hosts : {&candidates.ownZone, &candidates.ownZoneRest, &candidates.otherZones})
        std::erase_if(*hosts, [&](const auto* host) { return (*host)->endpoint.version != version; });
}

}  // namespace

Router::Router(const config::BootstrapSettings& settings, std::uint64_t seed)
    : random_(seed),
      retryBudget_(settings.retryBudgetRatio, settings.retrySlack, settings.retryBudgetWindow),
      canaries_(settings.exposureShare, settings.exposureSlack),
      selection_(settings.zone),
      subset_(settings.name) {}

// ---- Configuration, proxies, endpoints and rollouts. ----

void Router::setConfiguration(std::shared_ptr<const config::Configuration> configuration) {
    if (configuration_ && configuration->version <= configuration_->version) return;
    configuration_ = std::move(configuration);
}

void Router::setProxyCount(std::size_t proxies, Nanos now) {
    retryBudget_.setProxyCount(proxies, now);
    subsetsStale_ = true;
}

void Router::applyEndpointEvent(const discovery::EndpointEvent& event, Nanos now) {
    const auto& endpoint = event.endpoint;
    auto known = hosts_.find(endpoint.id);
    if (event.removed) {
        if (known == hosts_.end()) return;
        known->second->gone = true;
        subsetsStale_ = true;
        std::erase(hostsByService_[known->second->endpoint.service], known->second);
        hosts_.erase(known);
        return;
    }
    if (known == hosts_.end()) {
        auto host = std::make_shared<UpstreamHost>();
        host->endpoint = endpoint;
        host->firstSeen = now;
        host->slowStartUntil = now + endpoint.warmup;
        host->subsetRank = subset_.rankOf(endpoint.id);
        subsetsStale_ = true;
        known = hosts_.emplace(endpoint.id, host).first;
        hostsByService_[endpoint.service].push_back(host);
        canaries_.onHostAdded(endpoint.service, hostsByService_[endpoint.service]);
    }
    known->second->endpoint.draining = endpoint.draining;
}

void Router::setRollouts(std::vector<messages::Rollout> rollouts, Nanos now) {
    canaries_.setRollouts(std::move(rollouts), hostsByService_, retryBudget_.proxyCount(), now, random_);
}

void Router::setEndpointsKnown() {
    if (!std::exchange(endpointsKnown_, true)) canaries_.onHostsKnown(hostsByService_);
}

// ---- Requests and their attempts. ----

bool Router::startRequest(RoutedRequest& request, std::string_view host, std::string_view path, Nanos now,
                          Nanos clientTimeout) {
    request.route = configuration_ ? configuration_->findRoute(host, path) : nullptr;
    if (!request.route) return false;
    const auto& route = *request.route;
    request.service = route.serviceForDraw(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(route.totalWeight)));
    request.arrived = now;
    request.deadline = now + std::min(clientTimeout, route.timeout);
    retryBudget_.countRequest(request.service, now);
    return true;
}

bool Router::mayAttemptAgain(const RoutedRequest& request, Nanos now) const {
    const auto& [attempts, route] = std::tie(request.attempts, *request.route);
    // Unreachable hosts don't count as attempts, but only a few of them are tried for one request.
    return mayAttempt(attempts, route.idempotent) &&
           static_cast<std::int64_t>(possibleArrivals(attempts)) < route.maxAttempts &&
           static_cast<std::int64_t>(attempts.size()) < route.maxAttempts + kExtraUnreachedAttempts &&
           request.deadline - now > kMinTimeLeft;
}

// Assumes that the proxies are distributed over the zones like the hosts.
void Router::updateSubsets() {
    if (!std::exchange(subsetsStale_, false)) return;
    for (const auto& [_, hosts] : hostsByService_) {
        std::vector<std::shared_ptr<UpstreamHost>> ownZone;
        std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(ownZone),
                     [&](const auto& host) { return host->endpoint.zone == selection_.ownZone(); });
        const auto proxies =
            retryBudget_.proxyCount() * ownZone.size() / std::max<std::size_t>(hosts.size(), 1);
        HostSubset::markPreferred(std::move(ownZone), proxies);
    }
}

// Guarantees DRAIN and ROUTE: only hosts that are not draining, whose version may receive requests, and that
// the request has not been sent to yet.
Router::CandidatesByRole Router::candidatesFor(const RoutedRequest& request, Nanos now) const {
    CandidatesByRole candidates;
    const auto hosts = hostsByService_.find(request.service);
    if (hosts == hostsByService_.end()) return candidates;
    for (const auto& host : hosts->second) {
        const auto role = canaries_.roleOf(*host);
        if (role == VersionRole::none || host->gone || host->endpoint.draining) continue;
        const bool tried = std::any_of(request.attempts.begin(), request.attempts.end(),
                                       [&](const auto& attempt) { return attempt->host() == host; });
        if (tried) continue;
        auto& roleCandidates = role == VersionRole::canary ? candidates.canary : candidates.stable;
        const bool usableInOwnZone = host->preferred || role == VersionRole::canary;
        auto& list = !isAvailable(*host, now)                      ? roleCandidates.backedOff
                     : host->endpoint.zone != selection_.ownZone() ? roleCandidates.otherZones
                     : usableInOwnZone                             ? roleCandidates.ownZone
                                                                   : roleCandidates.ownZoneRest;
        list.push_back(&host);
    }
    return candidates;
}

// If no host of the canary is available, stable hosts in backoff are the last resort.
std::shared_ptr<UpstreamHost> Router::selectHost(const RoutedRequest& request, bool retry, Nanos now) {
    updateSubsets();
    auto candidates = candidatesFor(request, now);
    const auto canary = canaries_.choose(request.service, candidates.canary, retry, now);
    if (!canary) return selection_.select(candidates.stable, now, random_);
    keepOnlyVersion(candidates.canary, canary->version);
    candidates.canary.backedOff = candidates.stable.backedOff;
    if (canary->byShare) canaries_.limitToFocusHosts(candidates.canary, canary->version, now);
    return selection_.select(candidates.canary, now, random_);
}

std::shared_ptr<Attempt> Router::nextAttempt(RoutedRequest& request, Nanos now) {
    if (!mayAttemptAgain(request, now)) return nullptr;
    // Guarantee BUDGET: every attempt after the first that may have arrived is charged before it is sent.
    const bool retry = possibleArrivals(request.attempts) > 0;
    const bool hedged = inFlight(request.attempts) > 0;
    if (retry && !retryBudget_.allows(request.service, hedged, now)) return nullptr;
    const auto host = selectHost(request, retry, now);
    if (!host) return nullptr;
    // A canary's share is computed from attempts that are actually sent.
    canaries_.onAttemptStarted(request.service, *host);
    if (retry) retryBudget_.countRetry(request.service, now);
    onAttemptStarted(*host, now);
    request.attempts.push_back(std::make_shared<Attempt>(host));
    return request.attempts.back();
}

Nanos Router::hedgeAt(const RoutedRequest& request, Nanos sentAt) const {
    return hedging_.hedgeAt(*request.route, request.deadline, sentAt);
}

Nanos Router::nextHedgeCheckAt(const RoutedRequest& request, Nanos now) const {
    return hedging_.nextCheckAt(*request.route, request.deadline, now);
}

void Router::onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now) {
    selection_.onLoadReport(host, running, waiting, now);
}

void Router::onAttemptEnded(RoutedRequest& request, Attempt& attempt, AttemptEvent end, int status,
                            Nanos elapsed, Nanos now) {
    attempt.apply(end);
    auto& host = *attempt.host();
    const auto& route = *request.route;
    routing::onAttemptEnded(host, end, now);
    if (end == AttemptEvent::answered && status < 300)
        recordLatency(host, hedging_.record(route, elapsed), now);
    if (attempt.state() != AttemptState::knownNotExecuted && end == AttemptEvent::cancelled)
        recordLatencyAtLeast(host, hedging_.ratioToTypical(route, elapsed), now);
    // A cancelled attempt counts with the time until then: clients cancel regardless of the version, and a
    // slower version has answered fewer of them by then.
    if (attempt.state() == AttemptState::knownNotExecuted || !isWarm(host, now)) return;
    canaries_.recordOutcome(host, route, elapsed, isFailure(end, status));
}

LocalReply Router::localReply(const RoutedRequest& request) const {
    if (mayPromiseNotExecuted(request.attempts)) return {LocalReplyDetail::noHostAvailable, kRetryAfter};
    const bool timedOut =
        std::any_of(request.attempts.begin(), request.attempts.end(),
                    [](const auto& attempt) { return attempt->end() == AttemptEvent::timedOut; });
    return {timedOut ? LocalReplyDetail::upstreamTimeout : LocalReplyDetail::upstreamConnectionLost};
}

int Router::maxConnections(const UpstreamHost& host) const {
    const auto* service = configuration_ ? configuration_->findService(host.endpoint.service) : nullptr;
    const double share = service ? static_cast<double>(service->maxConnections) * kUsableConnectionsFraction /
                                       static_cast<double>(retryBudget_.proxyCount())
                                 : kDefaultConnections;
    const int minimum = host.preferred ? kMinConnectionsToPreferred : kMinConnections;
    return std::max(minimum, static_cast<int>(std::min(share, kMaxConnectionsToHost)));
}

const verdict::Totals& Router::totals(const std::string& service, const std::string& target) const {
    return canaries_.totals(service, target);
}

}  // namespace lichenlanding::routing
