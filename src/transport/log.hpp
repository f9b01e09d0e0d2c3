// The gateway's log: JSON lines on standard error, by spdlog. Each kind of line is bounded: ten at once, then
// one a second; what was held back is told with the next line of its kind.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lichenlanding::transport {

// `event` is a stable name (docs/operate/gateway.md lists them); `about` has what belongs to it, step and
// peer of an error among them.
void log(const char* event, nlohmann::json about = nlohmann::json::object());
void openLog(const std::string& node);

}  // namespace lichenlanding::transport
