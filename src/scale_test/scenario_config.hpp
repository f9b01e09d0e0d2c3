/// What a scale run is made of: read from a file of settings, each declared once. Pure; any thread.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "discovery/endpoint_set.hpp"

// Member, name in the file, default, least, most.
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
#define X(member, name, otherwise, least, most) std::int64_t member = otherwise;
    SCALE_SETTINGS(X)
#undef X

    /// Throws std::runtime_error that names the setting and what is allowed there. Names that settings had
    /// before the present version are accepted for one more.
    void set(const std::string& name, const std::string& value);
    nlohmann::json describe() const;  ///< every setting by its name in the file
    static ScenarioConfig from(const nlohmann::json& described);

    std::int64_t processes() const { return (proxies + proxiesPerProcess - 1) / proxiesPerProcess; }
    /// Descriptors that one hollow process holds at most: connections to control nodes, to and from
    /// neighbours, acceptors.
    std::int64_t descriptors() const;
};

/// The operator's body: `plan.routes` routes over all services, and one more for each change so far. The
/// number of the configuration is 1 + changes. The last route's path is changedPath(changes).
std::string configuration(const ScenarioConfig& plan, std::int64_t changes);
std::string changedPath(std::int64_t changes);  ///< "/added-3/"; the host is kChangedHost
inline const std::string kChangedHost = "h0.example";

/// The n-th pod that ever was: on a loopback address where nobody listens.
discovery::Endpoint pod(const ScenarioConfig& plan, std::int64_t n);

std::string zoneName(std::int64_t zone);

}  // namespace lichenlanding::scale_test
