/// Sizes of the messages in a scenario, and the time that the gateway's modules need to encode and decode
/// one.
#pragma once

#include "scale_test/scenario_config.hpp"

namespace lichenlanding::scale_test {

/// {"configuration": {"bytes", "squeezed", "read_ms", "squeeze_ms", "pack_ms", "open_ms"}, "list": {...},
/// "pod_change", "roster", "counts"}: bytes on the wire; milliseconds measured on the calling thread.
nlohmann::json sizes(const ScenarioConfig& scenario);

}  // namespace lichenlanding::scale_test
