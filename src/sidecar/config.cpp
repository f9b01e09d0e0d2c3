#include "sidecar/config.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lichenlanding::sidecar {
namespace {

RawConfig readRawConfig(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        throw std::invalid_argument("cannot read the configuration " + path);
    return parseConfig(text.str());
}

Address parseAddressField(const char* field, const std::string& text) {
    try {
        return parseAddress(text);
    } catch (const std::invalid_argument& error) {
        throw std::invalid_argument(std::string("configuration: field ") + field + ": " + error.what());
    }
}

void requireSetting(bool present, const char* name) {
    if (!present) throw SettingError(std::string("missing setting ") + name);
}

void overrideFromEnvironment(const char* variable, std::string& field) {
    if (const auto* value = std::getenv(variable); value && *value) field = value;
}

}  // namespace

Config configOf(const RawConfig& raw) {
    Config config;
    config.name = raw.name;
    config.listen = parseAddressField("listen", raw.listen);
    config.discovery = parseAddressField("discovery", raw.discovery);
    config.platform = parseAddressField("deployer.address", raw.platform);
    if (!raw.peerListen.empty()) config.peerListen = parseAddressField("peer_listen", raw.peerListen);
    if (!raw.peersAll.empty()) config.peerBroadcast = parseAddressField("peers_all", raw.peersAll);
    for (const auto& peer : raw.peers) config.peers.push_back(parseAddressField("peers", peer));
    config.seed = raw.seed;
    config.sockets = raw.sockets;
    config.rollout = raw.rollout;
    config.endpoints = raw.endpoints;
    config.settings = readSettings(raw.settings);
    requireSetting(config.settings.connectTimeout > 0, "limits.connectTimeoutMs");
    requireSetting(config.settings.idleTimeout > 0, "limits.keepaliveMs");
    requireSetting(config.settings.maxInFlight > 0, "limits.maxOpen");
    requireSetting(!config.settings.groups.empty(), "classes");
    return config;
}

Config readConfig(const std::string& path) { return configOf(readRawConfig(path)); }

Config configFromEnvironment() {
    const auto* path = std::getenv("RELAY_CONFIG");
    if (!path || !*path) throw std::invalid_argument("environment: RELAY_CONFIG is missing");
    auto raw = readRawConfig(path);
    overrideFromEnvironment("RELAY_NAME", raw.name);
    overrideFromEnvironment("RELAY_LISTEN", raw.listen);
    overrideFromEnvironment("RELAY_DISCOVERY", raw.discovery);
    return configOf(raw);
}

std::optional<Config> reloadConfig() {
    try {
        const auto* path = std::getenv("RELAY_CONFIG");
        return readConfig(path ? path : "");
    } catch (const std::exception& error) {
        log(LogEvent::start, std::string("reload failed, configuration unchanged: ") + error.what());
        return {};
    }
}

}  // namespace lichenlanding::sidecar
