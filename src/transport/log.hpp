/// The gateway's log: JSON lines on standard error, written with spdlog. Each event is rate-limited to a
/// burst of ten and then one per second; the next line of the event reports the number of suppressed lines in
/// `held_back`. Not thread-safe.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lichenlanding::transport {

/// `event` is a stable name of the form <subject>_<past participle> (docs/operate/gateway.md lists them).
/// `fields` are added to the line; errors have fields such as `step` and `peer`.
void log(const char* event, nlohmann::json fields = nlohmann::json::object());
/// Call once, before the first log(). Each line has the node name in `node`.
void openLog(const std::string& nodeName);

}  // namespace lichenlanding::transport
