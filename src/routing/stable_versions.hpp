/// Infers which versions of a service serve as long as no rollout of the service has been completed. The
/// control plane keeps no record of a service's first version.
///
/// Pure. Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "messages/rollout.hpp"
#include "routing/upstream_host.hpp"

namespace lichenlanding::routing {

using ServiceHosts = std::vector<std::shared_ptr<UpstreamHost>>;
using HostsByService = std::map<std::string, ServiceHosts>;  // by service

/// A service's inferred versions are, in this order of preference:
/// 1. the settled one: it was the only version listed, and had no rollout, when hosts and rollouts were
/// known.
///    A rollout that is ordered for it later changes nothing, and neither do versions that are listed later;
/// 2. those listed without a rollout, where the first one found stays;
/// 3. the only version listed, if its rollout is running: there is nothing else to protect.
class StableVersions {
  public:
    /// Called after a host was added to `hosts`, which are all of its service.
    void onHostAdded(const std::string& service, const ServiceHosts& hosts,
                     const messages::Rollouts& rollouts);
    /// Called after the rollouts have changed.
    void onRolloutsChanged(const HostsByService& hosts, const messages::Rollouts& rollouts);
    /// Settles what can be. Called while both the complete list of hosts and the rollouts are known.
    void settle(const HostsByService& hosts, const messages::Rollouts& rollouts);

    bool contains(const std::string& service, const std::string& version) const;

  private:
    struct Inferred {
        std::set<std::string> versions;
        bool settled = false;
        bool underRollout = false;  // by the third rule
    };

    static void infer(Inferred& inferred, const std::string& service, const ServiceHosts& hosts,
                      const messages::Rollouts& rollouts);

    std::map<std::string, Inferred> services_;
};

}  // namespace lichenlanding::routing
