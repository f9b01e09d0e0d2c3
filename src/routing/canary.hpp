/// EXPOSURE: which versions of a service take requests, how many a version in rollout (a canary) gets, and
/// what its outcomes were. Pure: steady time in nanoseconds and chance come in as arguments. One thread, its
/// owner's.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/configuration.hpp"
#include "messages/codec.hpp"
#include "routing/upstream_host.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::routing {

using HostsByService = std::map<std::string, std::vector<std::shared_ptr<UpstreamHost>>>;

/// What a host's version may take: nothing, ordinary requests, or a canary's share of them.
enum class VersionRole { none, stable, canary };

/// The canary version that the next attempt goes to.
struct CanaryChoice {
    std::string version;
    bool byShare = false;  ///< by its share alone: to the few hosts that focus() leaves
};

class CanaryExposure {
  public:
    /// A canary may get `share` of a service's requests over the whole fleet, and `slack` more in all.
    CanaryExposure(double share, double slack) : share_(share), slack_(slack) {}

    /// Replaces the rollouts. `proxies` in the fleet share the slack of one that starts.
    void setRollouts(std::vector<messages::Rollout> rollouts, const HostsByService& hosts,
                     std::size_t proxies, Nanos now, std::mt19937_64& chance);
    const std::vector<messages::Rollout>& rollouts() const { return rollouts_; }
    bool known() const { return known_; }  ///< rollouts have been set
    /// A host that was not listed before: the version that is there first serves without a rollout.
    void onHostAdded(const discovery::Endpoint& endpoint);
    /// To be added to `now` for a time that all proxies have much alike.
    void setSharedClockOffset(Nanos offset) { clockOffset_ = offset; }

    VersionRole roleOf(const UpstreamHost& host) const;
    /// The canary that the next attempt of a request of `service` goes to, if it goes to one; spends its
    /// credit. `candidates`: the canaries' hosts; `retry`: the request has been sent to a host already.
    std::optional<CanaryChoice> choose(const std::string& service, const Candidates& candidates, bool retry,
                                       Nanos now);
    /// Leaves the few hosts of the canary `version` that its share goes to at present.
    void focus(Candidates& candidates, const std::string& version, Nanos now) const;

    /// An attempt of a request of `service` starts at `host`.
    void onAttemptStarted(const std::string& service, const UpstreamHost& host);
    /// An attempt at `host` that may have been executed has ended after `took`.
    void recordOutcome(const UpstreamHost& host, const config::Route& route, Nanos took, bool failed);

    /// Outcomes of a running rollout, for the voters.
    const verdict::Totals& totals(const std::string& service, const std::string& version) const;
    std::uint64_t failures() const { return failures_; }  ///< of canaries, over all rollouts

  private:
    struct Canary;

    Canary& canaryOf(const messages::Rollout& rollout) { return *canaries_.at(keyOf(rollout)); }
    static std::string keyOf(const messages::Rollout& rollout);
    void startCanary(const messages::Rollout& rollout, bool sinceItsOrder, std::size_t proxies,
                     std::mt19937_64& chance);
    void findStableVersions(const HostsByService& hosts);
    bool hasRollout(const std::string& service, const std::string& version) const;
    std::size_t focusSize(std::size_t hosts) const;
    bool isFullTrafficTrial(const messages::Rollout& rollout, const Canary& canary, Nanos now) const;
    bool takeCredit(Canary& canary, std::size_t hosts) const;

    double share_, slack_;
    bool known_ = false;
    std::vector<messages::Rollout> rollouts_;
    std::map<std::string, std::shared_ptr<Canary>> canaries_;      // by service and version
    std::map<std::string, std::set<std::string>> stableVersions_;  // that no rollout brought, by service
    Nanos clockOffset_ = 0;
    std::uint64_t failures_ = 0;
};

}  // namespace lichenlanding::routing
