#include "routing/router.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kLeastTimeLeft = 15 * kMillisecond;  // with less an attempt is pointless
constexpr std::int64_t kUnreachedMore = 2;  // attempts beyond max_attempts, where hosts are not reached
constexpr Nanos kRetryAfter = 150 * kMillisecond;  // told with 503
constexpr double kConnectionsPart = 0.8;           // of a host's connections, that proxies share
constexpr double kDefaultConnections = 2;  // at one proxy, where the configuration has no such service
constexpr int kLeastConnections = 2;
constexpr int kLeastToPreferred = 4;  // to a host of this proxy's subset, which few others meet

bool isFailure(AttemptEvent end, int status) {
    return end == AttemptEvent::connectionLost || end == AttemptEvent::malformed ||
           end == AttemptEvent::timedOut || (end == AttemptEvent::answered && status >= 500);
}

void keepVersion(Candidates& candidates, const std::string& version) {
    for (auto* hosts : {&candidates.ownZone, &candidates.ownZoneRest, &candidates.otherZones})
        std::erase_if(*hosts, [&](const auto* host) { return (*host)->endpoint.version != version; });
}

}  // namespace

Router::Router(const config::BootstrapSettings& settings, std::uint64_t seed)
    : chance_(seed),
      retryBudget_(settings.retryBudgetRatio, settings.retrySlack, settings.retryBudgetWindow),
      canaries_(settings.exposureShare, settings.exposureSlack),
      selection_(settings.zone),
      subset_(settings.name) {}

// ---- What is known. ----

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
    auto at = hosts_.find(endpoint.id);
    if (event.removed) {
        if (at == hosts_.end()) return;
        at->second->gone = true;
        subsetsStale_ = true;
        std::erase(hostsByService_[at->second->endpoint.service], at->second);
        hosts_.erase(at);
        return;
    }
    if (at == hosts_.end()) {
        auto host = std::make_shared<UpstreamHost>();
        host->endpoint = endpoint;
        host->firstSeen = now;
        host->slowStartUntil = now + endpoint.warmup;
        host->subsetRank = subset_.rankOf(endpoint.id);
        subsetsStale_ = true;
        at = hosts_.emplace(endpoint.id, host).first;
        hostsByService_[endpoint.service].push_back(host);
        canaries_.onHostAdded(endpoint);
    }
    at->second->endpoint.draining = endpoint.draining;
}

void Router::setRollouts(std::vector<messages::Rollout> rollouts, Nanos now) {
    canaries_.setRollouts(std::move(rollouts), hostsByService_, retryBudget_.proxyCount(), now, chance_);
}

// ---- A request and its attempts. ----

bool Router::startRequest(RoutedRequest& request, std::string_view host, std::string_view path, Nanos now,
                          Nanos clientTimeout) {
    request.route = configuration_ ? configuration_->findRoute(host, path) : nullptr;
    if (!request.route) return false;
    const auto& route = *request.route;
    request.service = route.serviceForDraw(
        static_cast<std::int64_t>(chance_() % static_cast<std::uint64_t>(route.totalWeight)));
    request.arrived = now;
    request.deadline = now + std::min(clientTimeout, route.timeout);
    retryBudget_.countRequest(request.service, now);
    return true;
}

bool Router::mayAttemptAgain(const RoutedRequest& request, Nanos now) const {
    const auto& [attempts, route] = std::tie(request.attempts, *request.route);
    // A host that was not reached was not sent it; but a request is not held for long over such hosts.
    return mayAttempt(attempts, route.idempotent) &&
           static_cast<std::int64_t>(possibleArrivals(attempts)) < route.maxAttempts &&
           static_cast<std::int64_t>(attempts.size()) < route.maxAttempts + kUnreachedMore &&
           request.deadline - now > kLeastTimeLeft;
}

// Proxies are taken to be spread over the zones as hosts are.
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

// DRAIN, ROUTE: hosts that the request has not been sent to, which neither leave nor have a version that
// takes none.
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
        auto& ofRole = role == VersionRole::canary ? candidates.canary : candidates.stable;
        const bool anyOfZone = host->preferred || role == VersionRole::canary;
        auto& list = !isAvailable(*host, now)                      ? ofRole.backedOff
                     : host->endpoint.zone != selection_.ownZone() ? ofRole.otherZones
                     : anyOfZone                                   ? ofRole.ownZone
                                                                   : ofRole.ownZoneRest;
        list.push_back(&host);
    }
    return candidates;
}

// Where none of a canary's hosts can take it, a stable one that is backed off is the last resort.
std::shared_ptr<UpstreamHost> Router::selectHost(const RoutedRequest& request, bool retry, Nanos now) {
    updateSubsets();
    auto candidates = candidatesFor(request, now);
    const auto canary = canaries_.choose(request.service, candidates.canary, retry, now);
    if (!canary) return selection_.select(candidates.stable, now, chance_);
    keepVersion(candidates.canary, canary->version);
    candidates.canary.backedOff = candidates.stable.backedOff;
    if (canary->byShare) canaries_.focus(candidates.canary, canary->version, now);
    return selection_.select(candidates.canary, now, chance_);
}

std::shared_ptr<Attempt> Router::nextAttempt(RoutedRequest& request, Nanos now) {
    if (!mayAttemptAgain(request, now)) return nullptr;
    // BUDGET: any arrival past a request's first is paid for before it is sent.
    const bool retry = possibleArrivals(request.attempts) > 0;
    const bool hedged = inFlight(request.attempts) > 0;
    if (retry && !retryBudget_.allows(request.service, hedged, now)) return nullptr;
    const auto host = selectHost(request, retry, now);
    if (!host) return nullptr;
    // Only what is sent counts as traffic of which a canary has its share.
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
                            Nanos took, Nanos now) {
    attempt.apply(end);
    auto& host = *attempt.host();
    const auto& route = *request.route;
    routing::onAttemptEnded(host, end, now);
    if (end == AttemptEvent::answered && status < 300) recordLatency(host, hedging_.record(route, took), now);
    if (attempt.state() != AttemptState::surelyNotRun && end == AttemptEvent::cancelled)
        recordLatencyAtLeast(host, hedging_.ratioToUsual(route, took), now);
    // A cancelled attempt counts with the time that it had: clients leave versions alike, and the answer of
    // the slower one is the rarer before that.
    if (attempt.state() == AttemptState::surelyNotRun || !isWarm(host, now)) return;
    canaries_.recordOutcome(host, route, took, isFailure(end, status));
}

LocalReply Router::localReply(const RoutedRequest& request) const {
    if (mayPromiseNotRun(request.attempts)) return {LocalReplyDetail::noHostAvailable, kRetryAfter};
    const bool timedOut =
        std::any_of(request.attempts.begin(), request.attempts.end(),
                    [](const auto& attempt) { return attempt->end() == AttemptEvent::timedOut; });
    return {timedOut ? LocalReplyDetail::upstreamTimeout : LocalReplyDetail::upstreamConnectionLost};
}

int Router::maxConnections(const UpstreamHost& host) const {
    const auto* service = configuration_ ? configuration_->findService(host.endpoint.service) : nullptr;
    const double share = service ? static_cast<double>(service->maxConnections) * kConnectionsPart /
                                       static_cast<double>(retryBudget_.proxyCount())
                                 : kDefaultConnections;
    const int least = host.preferred ? kLeastToPreferred : kLeastConnections;
    return std::max(least, static_cast<int>(share));
}

const verdict::Totals& Router::totals(const std::string& service, const std::string& target) const {
    return canaries_.totals(service, target);
}

}  // namespace lichenlanding::routing
