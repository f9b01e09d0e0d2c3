/// Where a request goes, and what its response promises. Every attempt is asked for here, and every local
/// reply after attempts is chosen here: one place for each rule.
///
/// Pure: times (steady nanoseconds) come in as arguments, chance from a seed. The caller owns the sockets.
/// One thread.
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

/// One request of a client, on its way.
struct RoutedRequest {
    const config::Route* route = nullptr;  ///< of the configuration at startRequest(), which the caller keeps
    std::string service;
    Nanos arrived = 0;
    Nanos deadline = 0;  ///< the client's, or the route's timeout if that is sooner
    Attempts attempts;
};

class Router {
  public:
    Router(const config::BootstrapSettings& settings, std::uint64_t seed);

    /// CONFIG: a version that is not higher than the present one changes nothing.
    void setConfiguration(std::shared_ptr<const config::Configuration> configuration);
    const std::shared_ptr<const config::Configuration>& configuration() const { return configuration_; }
    void applyEndpointEvent(const discovery::EndpointEvent& event, Nanos now);
    /// So many proxies are known, this one among them. Shares of what the fleet may spend shrink at once, and
    /// grow only when fewer have been known over a whole window.
    void setProxyCount(std::size_t proxies, Nanos now);
    void setRollouts(std::vector<messages::Rollout> rollouts, Nanos now);
    const std::vector<messages::Rollout>& rollouts() const { return canaries_.rollouts(); }
    /// To be added to `now` for a time that all proxies have much alike.
    void setSharedClockOffset(Nanos offset) { canaries_.setSharedClockOffset(offset); }
    /// The list of endpoints is complete.
    void setEndpointsKnown() { endpointsKnown_ = true; }

    /// Whether all is there that an attempt needs: a configuration, rollouts and endpoints.
    bool ready() const { return configuration_ && canaries_.known() && endpointsKnown_; }

    /// A request that has come in; `clientTimeout` from `now`. False where no route takes it.
    bool startRequest(RoutedRequest& request, std::string_view host, std::string_view path, Nanos now,
                      Nanos clientTimeout);
    /// The attempt to make now, added to the request's attempts, or null: give up, unless one is in flight.
    std::shared_ptr<Attempt> nextAttempt(RoutedRequest& request, Nanos now);
    /// When nextAttempt() is to be asked for a hedged request beside the attempt sent at `sentAt`.
    Nanos hedgeAt(const RoutedRequest& request, Nanos sentAt) const;
    /// When to ask again, where nextAttempt() has had none to give for now.
    Nanos nextHedgeCheckAt(const RoutedRequest& request, Nanos now) const;
    /// Tells the attempt how it ended; `status` of the answer, 0 without one. Throws as Attempt::apply().
    void onAttemptEnded(RoutedRequest& request, Attempt& attempt, AttemptEvent end, int status, Nanos took,
                        Nanos now);
    /// A host's word on its load: requests that it runs, and that wait there.
    void onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now);
    /// What is answered where nextAttempt() has nothing more and nothing is in flight.
    LocalReply localReply(const RoutedRequest& request) const;

    /// Connections to one host that this proxy may have open.
    int maxConnections(const UpstreamHost& host) const;
    const std::map<std::string, std::shared_ptr<UpstreamHost>>& hosts() const { return hosts_; }  ///< by id

    /// Outcomes of a running rollout, for the voters.
    const verdict::Totals& totals(const std::string& service, const std::string& target) const;
    std::uint64_t canaryFailures() const { return canaries_.failures(); }  ///< over all rollouts

  private:
    struct CandidatesByRole {
        Candidates stable, canary;
    };
    bool mayAttemptAgain(const RoutedRequest& request, Nanos now) const;
    CandidatesByRole candidatesFor(const RoutedRequest& request, Nanos now) const;
    void updateSubsets();
    std::shared_ptr<UpstreamHost> selectHost(const RoutedRequest& request, bool retry, Nanos now);

    std::mt19937_64 chance_;
    std::shared_ptr<const config::Configuration> configuration_;
    std::map<std::string, std::shared_ptr<UpstreamHost>> hosts_;  // by id
    HostsByService hostsByService_;
    RetryBudget retryBudget_;
    CanaryExposure canaries_;
    HostSelection selection_;
    HedgePolicy hedging_;
    HostSubset subset_;
    bool subsetsStale_ = true;  // hosts or proxies have come or gone since they were marked
    bool endpointsKnown_ = false;
};

}  // namespace lichenlanding::routing
