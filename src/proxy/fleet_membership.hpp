/// The set of proxies as reported by the connected control nodes, the proxies that this one watches, and the
/// voters of a rollout. No I/O; used from one thread: the proxy's event loop.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/bootstrap_settings.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::proxy {

class FleetMembership {
  public:
    /// Starts with this proxy alone. `settings` (its name and address) must outlive this object and may
    /// change on reload.
    explicit FleetMembership(const config::BootstrapSettings& settings);

    /// Stores the roster of a control node: proxy addresses by name.
    void setRoster(const std::string& controlNode, std::map<std::string, std::string> roster);
    /// Removes the roster of a disconnected control node; returns false if it had sent none. When no roster
    /// is left, the last known set of proxies is kept.
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
