/// Settings of a scale test and the configurations and pods that follow from them. Pure; any thread.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "discovery/endpoint_set.hpp"

// Member, key in the settings file, default, minimum, maximum.
#define SCALE_SETTINGS(X)                                      \
    X(seed, "seed", 1, 0, 4294967295)                          \
    X(limitSeconds, "limit_s", 150, 1, 600)                    \
    X(controlNodes, "control_nodes", 3, 1, 9)                  \
    X(proxies, "proxies", 100, 1, 3000)                        \
    X(realProxies, "real_proxies", 2, 0, 20)                   \
    X(proxiesPerProcess, "proxies_per_process", 100, 1, 500)   \
    X(zones, "zones", 3, 1, 9)                                 \
    X(services, "services", 20, 1, 1000)                       \
    X(pods, "pods", 1000, 0, 20000)                            \
    X(routes, "routes", 100, 1, 50000)                         \
    X(listPageSize, "page", 50, 1, 20000)                      \
    X(listCallsPerSecond, "list_calls_per_s", 45, 1, 100000)   \
    X(settleMs, "settle_ms", 2000, 0, 60000)                   \
    X(steadyMs, "steady_ms", 10000, 0, 60000)                  \
    X(changes, "changes", 5, 0, 1000)                          \
    X(changeEveryMs, "change_every_ms", 1000, 1, 60000)        \
    X(podChanges, "pod_changes", 0, 0, 1000)                   \
    X(podChangeEveryMs, "pod_change_every_ms", 1000, 1, 60000) \
    X(restarts, "restarts", 0, 0, 1000)                        \
    X(restartEveryMs, "restart_every_ms", 1000, 1, 60000)      \
    X(loss, "loss", 0, 0, 1)

namespace lichenlanding::scale_test {

struct ScenarioConfig {
#define X(member, key, defaultValue, minimum, maximum) std::int64_t member = defaultValue;
    SCALE_SETTINGS(X)
#undef X

    /// Throws std::runtime_error with the setting's name and its allowed range. Names of the previous version
    /// are accepted for one version.
    void set(const std::string& name, const std::string& value);
    nlohmann::json describe() const;  ///< every setting by its key in the file
    static ScenarioConfig from(const nlohmann::json& described);

    std::int64_t processes() const { return (proxies + proxiesPerProcess - 1) / proxiesPerProcess; }
    /// Upper bound of the descriptors of a process of simulated proxies: connections to control nodes, to and
    /// from watched proxies, acceptors.
    std::int64_t descriptors() const;
};

/// The configuration document that the operator sends: `scenario.routes` routes over all services, and one
/// more for each change. Its version is 1 + changes. The path of the last route is addedRoutePath(changes).
std::string buildConfiguration(const ScenarioConfig& scenario, std::int64_t changes);
std::string addedRoutePath(std::int64_t changes);  ///< "/added-3/" on host kAddedRouteHost
inline const std::string kAddedRouteHost = "h0.example";

/// The endpoint of the n-th pod created in the run, on a loopback address where nothing listens.
discovery::Endpoint podEndpoint(const ScenarioConfig& scenario, std::int64_t n);

std::string zoneName(std::int64_t zone);

}  // namespace lichenlanding::scale_test
