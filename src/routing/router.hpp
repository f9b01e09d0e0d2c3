// Where a request goes, and what its answer promises. Everything that is sent to a pod is asked for here, and
// every answer of our own is chosen here: one place for each rule.
//
// Pure: times (monotonic nanoseconds) come in as arguments, chance from a seed. The host owns sockets.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/bootstrap_settings.hpp"
#include "config/configuration.hpp"
#include "discovery/endpoint_set.hpp"
#include "messages/codec.hpp"
#include "routing/attempt.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::routing {

// A pod as this proxy knows it. Kept until nothing is out at it and it has left the list.
struct UpstreamHost {
    discovery::Endpoint endpoint;
    bool gone = false;
    int inFlight = 0;     // attempts of this proxy that have not ended
    int connections = 0;  // open from this proxy; counted by UpstreamConnection
    Nanos firstSeen = 0;
    Nanos slowStartUntil = 0;
    Nanos backoffUntil = 0;  // nothing is sent before, while others can
    int consecutiveFailures = 0;
    double relativeLatency = 1;  // own answers' times against those of the route at all pods, averaged
    int reportedLoad = 0;        // requests, running and waiting, by its last report
    int inFlightAtReport = 0;    // `inFlight` at that moment
    Nanos reportedAt = 0;
    Nanos unansweredSince = 0;  // since when it has owed an answer without giving any; 0: not
};

// How long an idle connection is used again, from what its pod says (0: nothing); and whether a request that
// may run only once may go on one that has been idle for `age`.
Nanos idleLimit(Nanos told);
bool safeToReuse(Nanos age, Nanos kept);

// One request of a client, on its way.
struct RoutedRequest {
    const config::Route* route = nullptr;
    std::string service;
    Nanos arrived = 0, deadline = 0;  // the client's, or the route's timeout if that is sooner
    Attempts attempts;
};

// What a client is told when no pod's answer can be had.
struct LocalReply {
    int status = 503;
    Nanos retryAfter = 0;  // 0: none
};

class Router {
  public:
    Router(const config::BootstrapSettings& boot, std::uint64_t seed);

    void setConfiguration(
        std::shared_ptr<const config::Configuration> configuration);  // of a lower version: no change
    const std::shared_ptr<const config::Configuration>& configuration() const { return configuration_; }
    void applyEndpointEvent(const discovery::EndpointEvent& event, Nanos now);
    // So many proxies are known, this one among them. Shares of what the fleet may spend shrink at once, and
    // grow only when fewer have been known over a whole window.
    void setProxyCount(std::size_t proxies, Nanos now);
    void setRollouts(std::vector<messages::Rollout> rollouts, Nanos now);
    const std::vector<messages::Rollout>& rollouts() const { return rollouts_; }

    // What is to be added to `now` for a time that all proxies have much alike.
    void setSharedClockOffset(Nanos offset) { offset_ = offset; }

    // Whether all is there that a send needs: a configuration, rollouts and pods.
    bool ready() const { return configuration_ && rolloutsKnown_ && endpointsKnown_; }
    void setEndpointsKnown() { endpointsKnown_ = true; }

    // A request that has come in: false where no route takes it.
    bool startRequest(RoutedRequest& request, std::string_view host, std::string_view path, Nanos now,
                      Nanos clientTime);

    // The send to make now, added to the request's attempts, or null: give up, unless one is in flight still.
    std::shared_ptr<Attempt> nextAttempt(RoutedRequest& request, Nanos now);
    // Whether a second send beside one that is out would be worth it, and when to ask.
    Nanos hedgeAt(const RoutedRequest& request, Nanos sentAt) const;
    // When to ask again, where nextAttempt() has had none to give for now.
    Nanos nextHedgeCheckAt(const RoutedRequest& request, Nanos now) const;
    // Tells the attempt how it ended; `status` of the answer, 0 without one. Throws as Attempt::apply().
    void onAttemptEnded(RoutedRequest& request, Attempt& attempt, AttemptEvent end, int status, Nanos took,
                        Nanos now);
    void onLoadReport(UpstreamHost& host, int running, int waiting, Nanos now);
    // What is answered where nextAttempt() has nothing more and nothing is in flight.
    LocalReply localReply(const RoutedRequest& request) const;

    // Connections to one pod that this proxy may have open.
    int maxConnections(const UpstreamHost& host) const;
    const std::map<std::string, std::shared_ptr<UpstreamHost>>& hosts() const { return hosts_; }

    // Outcomes of a running rollout, for the voters.
    const verdict::Totals& totals(const std::string& service, const std::string& target) const;
    std::uint64_t canaryFailures() const { return bad_; }  // bad answers of versions on trial, over all

  private:
    struct RetryBudget;
    struct Canary;
    enum class Side { none, earlier, fresh };
    Side side(const UpstreamHost& host) const;
    using Places = std::vector<const std::shared_ptr<UpstreamHost>*>;
    bool warm(const UpstreamHost& host, Nanos now) const;  // its outcomes count for a version
    std::size_t few(std::size_t pods) const;
    void focus(Places& near, Places& far, const std::string& target, Nanos now) const;
    double crowding(const std::string& service) const;
    double cost(const UpstreamHost& host, Nanos now) const;
    std::size_t sharers(Nanos now) const;
    bool usable(const UpstreamHost& host, Nanos now) const;
    bool mayGoOn(const RoutedRequest& request, Nanos now) const;
    RetryBudget& budget(const std::string& service);
    Canary* trial(const std::string& service);

    std::string zone_;
    double ratio_, slack_, share_, beyond_;
    Nanos window_;
    std::mt19937_64 chance_;
    std::size_t proxies_ = 1;
    std::deque<std::pair<Nanos, std::size_t>> known_;  // proxies, of late
    std::shared_ptr<const config::Configuration> configuration_;
    std::map<std::string, std::shared_ptr<UpstreamHost>> hosts_;
    std::map<std::string, std::vector<std::shared_ptr<UpstreamHost>>> byService_;
    std::map<std::string, std::shared_ptr<RetryBudget>> budgets_;
    std::map<std::string, std::shared_ptr<Canary>> trials_;  // by service and target
    std::map<std::string, std::set<std::string>> settled_;   // versions that no order brought, by service
    std::map<std::pair<std::string, std::string>, double>
        crowds_;                             // by service and zone: the usual wait there
    std::map<std::string, double> typical_;  // by route: an answer's usual time, ns
    std::vector<messages::Rollout> rollouts_;
    std::uint64_t bad_ = 0;
    Nanos offset_ = 0;
    bool rolloutsKnown_ = false, endpointsKnown_ = false;
};

}  // namespace lichenlanding::routing
