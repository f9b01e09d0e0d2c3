// The sidecar's log: one line for each event on standard error, "UNIXTIME EVENT: TEXT".
// docs/operate/sidecar-log-events.md lists all lines.
#pragma once

#include <string>

namespace lichenlanding::sidecar {

/// The event that a line begins with. Each has its own rate limit, so that a flood of one hides no other.
enum class LogEvent {
    start,
    stop,
    ready,
    discovery,
    platform,
    vote,
    client,
    pod,
    peer,
    overload,
    failure,
    metadata,
    memory,
    count
};

/// Writes one line, unless the event's rate limit suppresses it: ten lines at once and one a second. The next
/// line of the event says how many were suppressed. For the event loop's thread.
void log(LogEvent event, const std::string& text);

}  // namespace lichenlanding::sidecar
