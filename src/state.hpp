// What the sidecar and the gateway share. The sidecar's other types are in policy/types.hpp.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lichenlanding {

using Nanos = std::int64_t;  ///< a time or a span, in whole nanoseconds

/// A vote on the build on trial: none, go on to the next stage, hold the stage, roll back.
enum class Verdict { none, advance, hold, rollBack };

struct Pod;
struct Settings;

}  // namespace lichenlanding
