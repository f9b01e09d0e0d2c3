// lichenlanding-gateway status: asks a running control node what it knows.
#pragma once

#include <string>

namespace lichenlanding::command {

// A table, or the answer as it came. Throws std::runtime_error where there is none within two seconds.
std::string status(const std::string& address, bool json);

}  // namespace lichenlanding::command
