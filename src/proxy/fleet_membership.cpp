#include "proxy/fleet_membership.hpp"

#include "hashing/rendezvous.hpp"
#include "verdict/stages.hpp"

namespace lichenlanding::proxy {

FleetMembership::FleetMembership(const config::BootstrapSettings& settings) : settings_(settings) {
    update();
}

void FleetMembership::setRoster(const std::string& controlNode, std::map<std::string, std::string> roster) {
    rosters_[controlNode] = std::move(roster);
    update();
}

bool FleetMembership::removeRoster(const std::string& controlNode) {
    if (rosters_.erase(controlNode) == 0) return false;
    update();
    return true;
}

void FleetMembership::update() {
    if (!rosters_.empty()) proxies_.clear();
    for (const auto& [_, roster] : rosters_) proxies_.insert(roster.begin(), roster.end());
    proxies_[settings_.name] = settings_.peerAddress(settings_.ip);
    watched_ = hashing::watchedPeers(names(), settings_.name);
}

std::vector<std::string> FleetMembership::names() const {
    std::vector<std::string> names;
    for (const auto& [name, _] : proxies_) names.push_back(name);
    return names;
}

std::vector<std::string> FleetMembership::votersOf(const messages::Rollout& rollout) const {
    return hashing::rendezvousSelect(names(), rollout.versionKey(), verdict::kVoterCount);
}

}  // namespace lichenlanding::proxy
