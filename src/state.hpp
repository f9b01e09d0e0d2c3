// Types shared by the sidecar and the gateway. Other types of the sidecar are in policy/types.hpp.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lichenlanding {

using Nanos = std::int64_t;  ///< a time or a duration in nanoseconds

/// A verdict or vote on the build on trial: none (abstain), advance to the next stage, hold the stage, roll
/// back.
enum class Verdict { none, advance, hold, rollBack };

struct Pod;
struct Settings;

}  // namespace lichenlanding
