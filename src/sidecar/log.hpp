// The sidecar's log: one line per event on standard error, in the format "UNIXTIME EVENT: TEXT".
// docs/operate/sidecar-log-events.md lists all lines.
#pragma once

#include <string>

namespace lichenlanding::sidecar {

/// The kind of a log line. Each has its own rate limit, so that many lines of one kind do not suppress
/// others.
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

/// Writes one line, unless the rate limit of its event suppresses it: a burst of ten lines, refilled at one
/// per second. The event's next line contains the number of suppressed lines. Not thread-safe: to be called
/// from the event loop's thread.
void log(LogEvent event, const std::string& text);

}  // namespace lichenlanding::sidecar
