// The configuration of a sidecar, read from the file that an environment variable names.
#pragma once

#include "sidecar/connection.hpp"
#include "sidecar/messages.hpp"

namespace lichenlanding::sidecar {

struct Config {
    std::string name;
    Address listen, discovery, platform;
    std::optional<Address> peerListen, peerBroadcast;  ///< unset: no messages between sidecars
    std::vector<Address> peers;                        ///< position = the index of the sidecar
    std::uint64_t seed = 0;
    int sockets = 0;  ///< limit of file descriptors for connections
    Settings settings;
    std::optional<RolloutUpdate> rollout;   ///< initial state, used until the first update
    std::optional<EndpointList> endpoints;  ///< initial list, used until the first update
};

/// Reads a configuration file. This and the next two functions throw std::invalid_argument or SettingError,
/// with one line that names the field which is missing or cannot be read.
Config readConfig(const std::string& path);
/// Converts and checks the texts of a parsed configuration file.
Config configOf(const RawConfig& raw);
/// Reads the file $RELAY_CONFIG; $RELAY_NAME, $RELAY_LISTEN and $RELAY_DISCOVERY override its values.
Config configFromEnvironment();

/// Reads the file $RELAY_CONFIG again, without the overrides. If that fails, logs the error and returns
/// nothing.
std::optional<Config> reloadConfig();

}  // namespace lichenlanding::sidecar
