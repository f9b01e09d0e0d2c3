// lichenlanding-gateway status: queries the state of a running control plane process.
#pragma once

#include <string>

namespace lichenlanding::command {

/// The state as tables, or with `json` the unchanged JSON response. Throws std::runtime_error with the
/// address if there is no response within two seconds.
std::string status(const std::string& address, bool json);

}  // namespace lichenlanding::command
