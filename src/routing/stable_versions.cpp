#include "routing/stable_versions.hpp"

#include <algorithm>
#include <iterator>

namespace lichenlanding::routing {
namespace {

using messages::Rollouts;

bool hasRollout(const Rollouts& rollouts, const std::string& service, const std::string& version) {
    return std::any_of(rollouts.begin(), rollouts.end(), [&](const auto& rollout) {
        return rollout.service == service && rollout.target == version;
    });
}

bool hasRunningRollout(const Rollouts& rollouts, const std::string& service, const std::string& version) {
    return std::any_of(rollouts.begin(), rollouts.end(), [&](const auto& rollout) {
        return rollout.service == service && rollout.target == version && rollout.running();
    });
}

std::set<std::string> versionsOf(const ServiceHosts& hosts) {
    std::set<std::string> versions;
    for (const auto& host : hosts) versions.insert(host->endpoint.version);
    return versions;
}

}  // namespace

void StableVersions::infer(Inferred& inferred, const std::string& service, const ServiceHosts& hosts,
                           const Rollouts& rollouts) {
    if (inferred.settled) return;
    const auto isUnderRollout = [&](const auto& version) { return hasRollout(rollouts, service, version); };
    inferred.underRollout = false;
    std::erase_if(inferred.versions, isUnderRollout);
    if (!inferred.versions.empty()) return;
    const auto listed = versionsOf(hosts);
    std::remove_copy_if(listed.begin(), listed.end(),
                        std::inserter(inferred.versions, inferred.versions.end()), isUnderRollout);
    if (!inferred.versions.empty() || listed.size() != 1) return;
    inferred.underRollout = hasRunningRollout(rollouts, service, *listed.begin());
    if (inferred.underRollout) inferred.versions = listed;
}

void StableVersions::onHostAdded(const std::string& service, const ServiceHosts& hosts,
                                 const Rollouts& rollouts) {
    auto& inferred = services_[service];
    if (inferred.versions.empty() || inferred.underRollout) infer(inferred, service, hosts, rollouts);
}

void StableVersions::onRolloutsChanged(const HostsByService& hosts, const Rollouts& rollouts) {
    for (auto& [service, inferred] : services_) {
        const auto serviceHosts = hosts.find(service);
        infer(inferred, service, serviceHosts == hosts.end() ? ServiceHosts{} : serviceHosts->second,
              rollouts);
    }
}

void StableVersions::settle(const HostsByService& hosts, const Rollouts& rollouts) {
    for (const auto& [service, serviceHosts] : hosts) {
        auto& inferred = services_[service];
        if (inferred.settled) continue;
        const auto listed = versionsOf(serviceHosts);
        inferred.settled = listed.size() == 1 && inferred.versions == listed &&
                           !hasRollout(rollouts, service, *listed.begin());
    }
}

bool StableVersions::contains(const std::string& service, const std::string& version) const {
    const auto inferred = services_.find(service);
    return inferred != services_.end() && inferred->second.versions.contains(version);
}

}  // namespace lichenlanding::routing
