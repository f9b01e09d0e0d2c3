/// Names and loopback addresses of a run's processes, and the settings files of its control nodes and real
/// proxies. Single-threaded.
#pragma once

#include <string>
#include <vector>

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// Ports of a node, relative to the first port of the run.
enum PortOffset { kPeerPort = 0, kControlPlanePort = 1, kHttpPort = 2, kReadinessPort = 3 };
constexpr int kPortsPerNode = 4;

constexpr int kHeartbeatMs = 1500;

class RunLayout {
  public:
    /// `port`: the first of kPortsPerNode consecutive ports that are free on every address.
    RunLayout(const ScenarioConfig& scenario, int port) : scenario_(scenario), port_(port) {}

    int port() const { return port_; }
    std::string controlNodeAddress(std::int64_t n, PortOffset port) const;
    std::string proxyAddress(std::int64_t n, PortOffset port) const;  ///< of a real proxy
    static std::string controlNodeName(std::int64_t n);
    static std::string proxyName(std::int64_t n);  ///< of a real proxy
    /// Addresses of the first control nodes, at most three.
    std::vector<std::string> seedAddresses(PortOffset port) const;

    /// Writes the settings file of the n-th control node or real proxy to `folder` and returns its path.
    /// Creates the control node's data directory there too. `bootstrap`: the control nodes form a new fleet.
    std::string writeControlNodeSettings(const std::string& folder, std::int64_t n, bool bootstrap,
                                         const std::string& platform) const;
    std::string writeProxySettings(const std::string& folder, std::int64_t n,
                                   const std::string& platform) const;

  private:
    nlohmann::json commonSettings(const std::string& name, std::int64_t n, const std::string& platform) const;

    const ScenarioConfig scenario_;
    int port_;
};

/// The first of kPortsPerNode consecutive free ports. Throws std::runtime_error if there are none.
int findFreePorts();

}  // namespace lichenlanding::scale_test
