/// Routes requests: selects the host of every attempt and, after the attempts, the local reply. Each rule for
/// retries, canaries and replies is applied here only.
///
/// Pure: times (steady nanoseconds) are arguments, the random generator is seeded. The caller owns the
/// sockets. Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/bootstrap_settings.hpp"
#include "config/configuration.hpp"
#include "routing/attempt.hpp"
#include "routing/canary.hpp"
#include "routing/hedge_policy.hpp"
#include "routing/host_selection.hpp"
#include "routing/host_subset.hpp"
#include "routing/local_reply.hpp"
#include "routing/retry_budget.hpp"
#include "routing/upstream_host.hpp"

namespace lichenlanding::routing {

/// A client's request while it is being routed.
struct RoutedRequest {
    /// Points into the configuration at startRequest(), which the caller keeps alive.
    const config::Route* route = nullptr;
    std::string service;
    Nanos arrived = 0;
    Nanos deadline = 0;  ///< the client's deadline or the route's timeout, whichever is sooner
    Attempts attempts;
};

class Router {
  public:
    Router(const config::BootstrapSettings& settings, std::uint64_t seed);

    /// Ignores a configuration whose version is not higher than the current one (guarantee CONFIG).
    void setConfiguration(std::shared_ptr<const config::Configuration> configuration);
    const std::shared_ptr<const config::Configuration>& configuration() const { return configuration_; }
    void applyEndpointEvent(const discovery::EndpointEvent& event, Nanos now);
    /// Sets the number of known proxies, including this one. This proxy's shares of fleet-wide budgets shrink
    /// at once when the number rises; its share of the retry slack grows only after a whole window with fewer
    /// proxies.
    void setProxyCount(std::size_t proxies, Nanos now);
    void setRollouts(std::vector<messages::Rollout> rollouts, Nanos now);
    const std::vector<messages::Rollout>& rollouts() const { return canaries_.rollouts(); }
    /// Offset to add to `now` for a time that is about the same at all proxies.
    void setSharedClockOffset(Nanos offset) { canaries_.setSharedClockOffset(offset); }
    /// Called once the first complete list of endpoints has been applied.
    void setEndpointsKnown();

    /// Whether a configuration, rollouts and endpoints have been received, as attempts need all three.
    bool ready() const { return configuration_ && canaries_.known() && endpointsKnown_; }

    /// Starts a new request, with `clientTimeout` from `now` on. False if no route matches.
    bool startRequest(RoutedRequest& request, std::string_view host, std::string_view path, Nanos now,
                      Nanos clientTimeout);
    /// The attempt to make now, already added to the request's attempts. Null: none; unless one is still in
    /// flight, the request has failed.
    std::shared_ptr<Attempt> nextAttempt(RoutedRequest& request, Nanos now);
    /// When to call nextAttempt() for a hedged request beside the attempt sent at `sentAt`.
    Nanos hedgeAt(const RoutedRequest& request, Nanos sentAt) const;
    /// When to call nextAttempt() again after it returned no hedged request.
    Nanos nextHedgeCheckAt(const RoutedRequest& request, Nanos now) const;
    /// Ends the attempt with event `end`. `status`: the response's, 0 without a response; `elapsed`: since
    /// the attempt was sent. Throws like Attempt::apply().
    void onAttemptEnded(RoutedRequest& request, Attempt& attempt, AttemptEvent end, int status, Nanos elapsed,
                        Nanos now);
    /// Records a host's load report: the requests that it executes and those that wait there.
    void onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now);
    /// The reply to the client once nextAttempt() returns null and no attempt is in flight.
    LocalReply localReply(const RoutedRequest& request) const;

    /// The maximum number of open connections from this proxy to `host`.
    int maxConnections(const UpstreamHost& host) const;
    const std::map<std::string, std::shared_ptr<UpstreamHost>>& hosts() const { return hosts_; }  ///< by id

    /// Whether the version serves ordinary requests of the service, with or without a rollout of its own.
    bool isStable(const std::string& service, const std::string& version) const {
        return canaries_.roleOf(service, version) == VersionRole::stable;
    }
    /// The outcomes of a running rollout, for the voters.
    const verdict::Totals& totals(const std::string& service, const std::string& target) const;
    /// Failed attempts at canaries, over all rollouts.
    std::uint64_t canaryFailures() const { return canaries_.failures(); }

  private:
    struct CandidatesByRole {
        Candidates stable, canary;
    };
    bool mayAttemptAgain(const RoutedRequest& request, Nanos now) const;
    CandidatesByRole candidatesFor(const RoutedRequest& request, Nanos now) const;
    void updateSubsets();
    std::shared_ptr<UpstreamHost> selectHost(const RoutedRequest& request, bool retry, Nanos now);

    std::mt19937_64 random_;
    std::shared_ptr<const config::Configuration> configuration_;
    std::map<std::string, std::shared_ptr<UpstreamHost>> hosts_;  // by id
    HostsByService hostsByService_;
    RetryBudget retryBudget_;
    CanaryExposure canaries_;
    HostSelection selection_;
    HedgePolicy hedging_;
    HostSubset subset_;
    bool subsetsStale_ = true;  // hosts or proxies were added or removed since updateSubsets()
    bool endpointsKnown_ = false;
};

}  // namespace lichenlanding::routing
