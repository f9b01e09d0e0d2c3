// The configuration of a sidecar: the environment names a file, the file holds the rest.
#pragma once

#include "sidecar/connection.hpp"
#include "sidecar/messages.hpp"

namespace lichenlanding::sidecar {

struct Config {
    std::string name;
    Address listen, discovery, platform;
    std::optional<Address> peerListen, peersAll;  ///< none where sidecars send each other no messages
    std::vector<Address> peers;                   ///< by index
    std::uint64_t seed = 0;
    int sockets = 0;  ///< file descriptors for connections
    Settings settings;
    std::optional<RolloutUpdate> rollout;   ///< known at start
    std::optional<EndpointList> endpoints;  ///< known at start
};

/// All of these throw with one line that names the field which is missing or cannot be read:
/// std::invalid_argument or SettingError.
Config readConfig(const std::string& path);
Config configOf(const RawConfig& raw);
/// From the file $RELAY_CONFIG, where $RELAY_NAME, $RELAY_LISTEN and $RELAY_DISCOVERY override its values.
Config configFromEnvironment();

/// The same file again, without the overrides; nothing, and a log line, if it cannot be read.
std::optional<Config> reloadConfig();

}  // namespace lichenlanding::sidecar
