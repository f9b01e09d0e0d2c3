/// Which proxies there are, by the control nodes in reach; whom this one watches, and who votes on a rollout.
/// Pure; one thread, the proxy's loop.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/bootstrap_settings.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::proxy {

class FleetMembership {
  public:
    /// Knows this proxy alone; `settings` (its name and address) outlive this and may be read anew.
    explicit FleetMembership(const config::BootstrapSettings& settings);

    /// What a control node knows: addresses by name.
    void setRoster(const std::string& controlNode, std::map<std::string, std::string> roster);
    /// Its connection has ended. False where it had told no roster. What was last known stands while no
    /// control node is in reach.
    bool removeRoster(const std::string& controlNode);
    const std::map<std::string, std::string>& proxies() const { return proxies_; }  ///< addresses by name
    const std::vector<std::string>& watched() const { return watched_; }            ///< names
    std::vector<std::string> votersOf(const messages::Rollout& rollout) const;      ///< names

  private:
    void update();
    std::vector<std::string> names() const;

    const config::BootstrapSettings& settings_;
    std::map<std::string, std::map<std::string, std::string>> rosters_;  // by control node
    std::map<std::string, std::string> proxies_;
    std::vector<std::string> watched_;
};

}  // namespace lichenlanding::proxy
