/// The scale test: real control nodes and a few real proxies as processes, hundreds of simulated proxies per
/// process, and a simulated platform and operator, all over loopback. It measures the resource use of each
/// role.
#pragma once

#include <string>

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// Runs a scenario with `program` (this executable) in the child processes. Prints JSON lines and tables to
/// standard output. Returns false if a phase did not complete; the "end" line gives the reason. Ends after
/// the scenario's limit at the latest and then stops every process that it started. Throws std::runtime_error
/// if the machine allows too few descriptors or the scenario needs too many processes.
bool runScaleTest(const ScenarioConfig& scenario, const std::string& program);

}  // namespace lichenlanding::scale_test
