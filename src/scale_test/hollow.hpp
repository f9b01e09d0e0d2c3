/// Hollow proxies: many to a process, each with its own address, connections to every control node and to the
/// proxies it watches, and a configuration cache. A configuration counts as in force when its bytes are
/// there: they are not read into routes.
#pragma once

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// Runs a process of hollow proxies until its standard input ends. `settings`: {"first", "count", "port",
/// "seeds", "heartbeat_ms"}. It tells facts and takes orders (facts.hpp). Does not return.
[[noreturn]] void runHollow(const nlohmann::json& settings);

/// The name and address of the n-th hollow proxy.
std::string hollowName(std::int64_t n);
std::string hollowAddress(std::int64_t n);

}  // namespace lichenlanding::scale_test
