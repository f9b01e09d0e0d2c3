/// How large the messages of a plan's size are, and what one costs to make and to read, by the modules that
/// do so.
#pragma once

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// {"configuration": {"bytes", "squeezed", "read_ms", "squeeze_ms", "pack_ms", "open_ms"}, "list": {...},
/// "pod_change", "roster", "counts"}: bytes on the wire, milliseconds of one thread here and now.
nlohmann::json sizes(const ScenarioConfig& plan);

}  // namespace lichenlanding::scale_test
