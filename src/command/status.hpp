// lichenlanding-gateway status: asks a running control plane process what it knows.
#pragma once

#include <string>

namespace lichenlanding::command {

/// Tables, or the JSON as it was answered. Throws std::runtime_error with the address where there is no
/// answer within two seconds.
std::string status(const std::string& address, bool json);

}  // namespace lichenlanding::command
