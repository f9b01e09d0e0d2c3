// What a sidecar is told at start: the environment names the file, the file holds the rest.
#pragma once

#include "sidecar/connection.hpp"
#include "sidecar/messages.hpp"

namespace lichenlanding::net {

struct Config {
    std::string name;
    Address listen, discovery, platform;
    std::optional<Address> peerListen, peersAll;  // none where sidecars may not send to one another
    std::vector<Address> peers;
    std::uint64_t seed = 0;
    int sockets = 0;
    Settings settings;
    std::optional<StageNews> news;
    std::optional<PodList> known;
};

// Throws with one line that names the field which is missing or cannot be read.
Config readConfig(const std::string& path);
Config configOf(const Told& told);

// From $RELAY_CONFIG, where $RELAY_NAME, $RELAY_LISTEN and $RELAY_DISCOVERY go before the file's values.
Config configFromEnvironment();
// The same file again, after a change: its own values count. Nothing, and one log line, if it cannot be read.
std::optional<Config> configAgain();

}  // namespace lichenlanding::net
