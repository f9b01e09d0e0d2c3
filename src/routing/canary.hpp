/// Guarantee EXPOSURE: decides which versions of a service receive requests, limits the share of a version in
/// rollout (a canary), and counts the outcomes of its attempts.
///
/// Pure: steady time in nanoseconds and the random generator are arguments. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/configuration.hpp"
#include "messages/rollout.hpp"
#include "routing/stable_versions.hpp"
#include "routing/upstream_host.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::routing {

/// What a host of this version may receive: nothing, ordinary requests, or a canary's share of them.
enum class VersionRole { none, stable, canary };

/// The canary version that the next attempt goes to.
struct CanaryChoice {
    std::string version;
    bool byShare = false;  ///< within its share only: restricted to the hosts of limitToFocusHosts()
};

class CanaryExposure {
  public:
    /// Over the whole fleet, a canary may receive the fraction `share` of a service's requests plus `slack`
    /// further requests in total.
    CanaryExposure(double share, double slack) : share_(share), slack_(slack) {}

    /// Replaces the rollouts. The slack of a starting rollout is divided among `proxies`, the fleet's
    /// proxies.
    void setRollouts(messages::Rollouts rollouts, const HostsByService& hosts, std::size_t proxies, Nanos now,
                     std::mt19937_64& random);
    const messages::Rollouts& rollouts() const { return rollouts_; }
    bool known() const { return known_; }  ///< setRollouts() has been called
    /// Called after a host was added to `hosts`, which are all of its service.
    void onHostAdded(const std::string& service, const ServiceHosts& hosts);
    /// Called once the first complete list of hosts has been applied.
    void onHostsKnown(const HostsByService& hosts);
    /// Offset to add to `now` for a time that is about the same at all proxies.
    void setSharedClockOffset(Nanos offset) { clockOffset_ = offset; }

    VersionRole roleOf(const std::string& service, const std::string& version) const;
    VersionRole roleOf(const UpstreamHost& host) const {
        return roleOf(host.endpoint.service, host.endpoint.version);
    }
    /// The canary that receives the next attempt of a request to `service`, if any; spends its credit.
    /// `candidates`: the canaries' hosts; `retry`: the request has already been sent to a host.
    std::optional<CanaryChoice> choose(const std::string& service, const Candidates& candidates, bool retry,
                                       Nanos now);
    /// Keeps only the few hosts of the canary `version` that receive its share in the current period.
    void limitToFocusHosts(Candidates& candidates, const std::string& version, Nanos now) const;

    /// Counts an attempt of a request to `service` that starts at `host`.
    void onAttemptStarted(const std::string& service, const UpstreamHost& host);
    /// Counts an attempt at `host` that may have been executed and ended after `elapsed`.
    void recordOutcome(const UpstreamHost& host, const config::Route& route, Nanos elapsed, bool failed);

    /// The outcomes of a running rollout, for the voters.
    const verdict::Totals& totals(const std::string& service, const std::string& version) const;
    std::uint64_t failures() const { return failures_; }  ///< failed attempts at canaries, over all rollouts

  private:
    struct Canary;

    Canary& canaryOf(const messages::Rollout& rollout) { return *canaries_.at(rollout.versionKey()); }
    void startCanary(const messages::Rollout& rollout, bool observedFromStart, std::size_t proxies,
                     std::mt19937_64& random);
    std::size_t focusSize(std::size_t hosts) const;
    bool isFullTrafficTrial(const messages::Rollout& rollout, const Canary& canary, Nanos now) const;
    bool takeCredit(Canary& canary, std::size_t hosts) const;

    double share_, slack_;
    bool known_ = false;
    bool hostsKnown_ = false;
    messages::Rollouts rollouts_;
    std::map<std::string, std::shared_ptr<Canary>> canaries_;  // by service and version
    StableVersions stableVersions_;
    Nanos clockOffset_ = 0;
    std::uint64_t failures_ = 0;
};

}  // namespace lichenlanding::routing
