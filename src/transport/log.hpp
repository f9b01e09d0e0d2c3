/// The gateway's log: JSON lines on standard error, by spdlog. Each kind of event is bounded: ten at once,
/// then one a second; how many were held back is told with the next line of the kind. One thread.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lichenlanding::transport {

/// `event` is a stable name, <subject>_<past participle> (docs/operate/gateway.md lists them); `about` has
/// what belongs to it, the step and peer of an error among them.
void log(const char* event, nlohmann::json about = nlohmann::json::object());
/// Once, before the first log(); `node` is named in each line.
void openLog(const std::string& node);

}  // namespace lichenlanding::transport
