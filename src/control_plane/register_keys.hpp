/// The keys of the replicated register. They are part of the wire protocol and of the disk format.
#pragma once

#include <array>
#include <string>

namespace lichenlanding::control_plane {

inline const std::string kConfigurationKey = "configuration", kRolloutsKey = "rollouts",
                         kLeasesKey = "duties";
/// All keys that are transferred to the next epoch. The epochs' successor keys are not among them.
inline const std::array<std::string, 3> kKeys{kConfigurationKey, kRolloutsKey, kLeasesKey};

}  // namespace lichenlanding::control_plane
