#include "sidecar/config.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lichenlanding::net {
namespace {

Told readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        throw std::invalid_argument("cannot read the configuration " + path);
    return readTold(text.str());
}

Address address(const char* field, const std::string& text) {
    try {
        return readAddress(text);
    } catch (const std::invalid_argument& wrong) {
        throw std::invalid_argument(std::string("configuration: field ") + field + ": " + wrong.what());
    }
}

}  // namespace

Config configOf(const Told& told) {
    Config config;
    config.name = told.name;
    config.listen = address("listen", told.listen);
    config.discovery = address("discovery", told.discovery);
    config.platform = address("deployer.address", told.platform);
    if (!told.peerListen.empty()) config.peerListen = address("peer_listen", told.peerListen);
    if (!told.peersAll.empty()) config.peersAll = address("peers_all", told.peersAll);
    for (const auto& peer : told.peers) config.peers.push_back(address("peers", peer));
    config.seed = told.seed;
    config.sockets = told.sockets;
    config.news = told.news;
    config.known = told.known;
    config.settings = readSettings(told.settings);
    const auto need = [](bool there, const char* name) {
        if (!there) throw MissingSetting(std::string("missing setting ") + name);
    };
    need(config.settings.connectWithin > 0, "limits.connectTimeoutMs");
    need(config.settings.keepIdle > 0, "limits.keepaliveMs");
    need(config.settings.maxOpen > 0, "limits.maxOpen");
    need(!config.settings.groups.empty(), "classes");
    return config;
}

Config readConfig(const std::string& path) { return configOf(readFile(path)); }

Config configFromEnvironment() {
    const auto* path = std::getenv("RELAY_CONFIG");
    if (!path || !*path) throw std::invalid_argument("environment: RELAY_CONFIG is missing");
    auto told = readFile(path);
    const auto before = [](const char* variable, std::string& field) {
        if (const auto* value = std::getenv(variable); value && *value) field = value;
    };
    before("RELAY_NAME", told.name);
    before("RELAY_LISTEN", told.listen);
    before("RELAY_DISCOVERY", told.discovery);
    return configOf(told);
}

std::optional<Config> configAgain() {
    try {
        const auto* path = std::getenv("RELAY_CONFIG");
        return readConfig(path ? path : "");
    } catch (const std::exception& failure) {
        log(Kind::start, std::string("the configuration in force stays: ") + failure.what());
        return {};
    }
}

}  // namespace lichenlanding::net
