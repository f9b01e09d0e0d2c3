// Hollow proxies: many to a process, each with its own address, links to every control node and to the
// proxies it watches, and a configuration cache. They say and hear what a proxy does, by the same rooms, and
// take no traffic. A configuration counts as in force when its bytes are there: they are not read into
// routes.
#pragma once

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

// What a process of hollow proxies is told, as JSON: {"first", "count", "port", "seeds", "heartbeat_ms"}.
// It tells what happens as JSON lines on standard error ("fact": "ready", "configuration", "pod", "link",
// "tally"), takes "restart NAME" on standard input, and ends when that ends.
void runHollow(const nlohmann::json& told);

// The name and address of the n-th hollow proxy.
std::string hollowName(std::int64_t n);
std::string hollowAddress(std::int64_t n);

}  // namespace lichenlanding::scale_test
