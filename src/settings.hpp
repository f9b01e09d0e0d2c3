// Reads the settings of a sidecar from named values. The simulator sends them as pairs, the sidecar's
// configuration has them as nested JSON; both are flattened to the same paths first.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "policy/types.hpp"

namespace lichenlanding {

/// A required setting is missing or cannot be parsed; what() names the key.
struct SettingError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Values by path. A list of scalars is joined by commas; a list of objects has its length under ".count" and
/// its items under ".0", ".1" and so on.
using NamedValues = std::map<std::string, std::string, std::less<>>;

/// Throws SettingError. Values with unknown paths are ignored.
Settings readSettings(const NamedValues& values);

}  // namespace lichenlanding
