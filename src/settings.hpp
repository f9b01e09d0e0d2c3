// The settings of a sidecar, read from named values. The simulator's wire brings them as pairs, the sidecar's
// configuration as nested JSON; both are flattened to the same paths first.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "policy/types.hpp"

namespace lichenlanding {

/// A setting that the policy needs and that is missing or cannot be parsed; what() names the key.
struct SettingError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// By path. Lists of plain values are joined by commas; a list of objects has its length under ".count" and
/// its items under ".0", ".1" and so on.
using NamedValues = std::map<std::string, std::string, std::less<>>;

/// Throws SettingError. Values with unknown paths are skipped.
Settings readSettings(const NamedValues& values);

}  // namespace lichenlanding
