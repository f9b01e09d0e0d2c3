/// The scale run: real control nodes and a few real proxies as processes, hollow proxies hundreds to a
/// process, and stand-ins for the platform's list and the operator, all over loopback. It measures what each
/// role costs.
#pragma once

#include <string>

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// Runs `program` (this executable) in its parts. JSON lines and tables go to standard output. False where a
/// phase did not come to its end: its line says so. It ends by itself, at the plan's limit at the latest, and
/// with it every process that it started. Throws std::runtime_error where the machine has no room for the
/// plan: descriptors, memory, processes.
bool scale(const ScenarioConfig& plan, const std::string& program);

}  // namespace lichenlanding::scale_test
