/// Names and loopback addresses of a run's processes, and the settings files of the real ones. Pure but for
/// those files; one thread.
#pragma once

#include <string>
#include <vector>

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// Ports of a node, above the run's own.
enum PortOffset { kPeerPort = 0, kControlPlanePort = 1, kHttpPort = 2, kReadinessPort = 3 };
constexpr int kPortsOfNode = 4;

constexpr int kHeartbeatMs = 1500;

class RunLayout {
  public:
    /// `port`: the first of kPortsOfNode that are free on every address.
    RunLayout(const ScenarioConfig& plan, int port) : plan_(plan), port_(port) {}

    int port() const { return port_; }
    std::string controlNodeAddress(std::int64_t n, PortOffset port) const;
    std::string proxyAddress(std::int64_t n, PortOffset port) const;  ///< of a real one
    static std::string controlNodeName(std::int64_t n);
    static std::string proxyName(std::int64_t n);  ///< of a real one
    /// Of the first control nodes, three at most.
    std::vector<std::string> seedAddresses(PortOffset port) const;

    /// Writes the settings of the n-th control node (its data directory beside it) or real proxy to `folder`;
    /// returns the file's path. `bootstrap`: the fleet is new.
    std::string writeControlNodeSettings(const std::string& folder, std::int64_t n, bool bootstrap,
                                         const std::string& platform) const;
    std::string writeProxySettings(const std::string& folder, std::int64_t n,
                                   const std::string& platform) const;

  private:
    nlohmann::json commonSettings(const std::string& name, std::int64_t n, const std::string& platform) const;

    const ScenarioConfig plan_;
    int port_;
};

/// The first port of kPortsOfNode that are free. Throws std::runtime_error where there are none.
int findFreePorts();

}  // namespace lichenlanding::scale_test
