/// Simulated proxies: many in one process, each with its own address, a configuration cache, and connections
/// to every control node and to the proxies that it watches. A configuration counts as applied when its bytes
/// have been received: they are not parsed into routes.
#pragma once

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// Runs a process of simulated proxies until its standard input ends; does not return. `settings`: {"first",
/// "count", "port", "seeds", "heartbeat_ms"}. Reports facts and reads commands as described in facts.hpp.
[[noreturn]] void runSimulatedProxies(const nlohmann::json& settings);

/// The name and the IP address of the n-th simulated proxy.
std::string simulatedProxyName(std::int64_t n);
std::string simulatedProxyAddress(std::int64_t n);

}  // namespace lichenlanding::scale_test
