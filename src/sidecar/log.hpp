// The sidecar's log: one function, one line each on standard error, rate-limited for each kind of line.
#pragma once

#include <string>

namespace lichenlanding::net {

// Kinds of line. Each has its own allowance, so that a flood of one hides no other.
enum class Kind {
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

void log(Kind kind, const std::string& text);

}  // namespace lichenlanding::net
