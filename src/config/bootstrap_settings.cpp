#include "config/bootstrap_settings.hpp"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/configuration.hpp"
#include "errors.hpp"
#include "text.hpp"

namespace lichenlanding::config {
namespace {

using Json = nlohmann::json;

void duration(Nanos& value, std::string_view text) { value = parseDuration(text); }
void number(double& value, std::string_view text) {
    if (!parse(text, value))
        throw ParseError("no number: " + std::string(text), "read number", std::string(text), "parse");
}

ParseError wrongSetting(const std::string& what, const std::string& field) {
    return ParseError("settings: " + what, "read settings", field, "parse");
}

// One bound, `name=value`. Bounds of other names are another program's business.
void bound(BootstrapSettings& boot, std::string_view text) {
    const auto sign = text.find('=');
    if (sign == std::string_view::npos)
        throw wrongSetting("bounds: no '=' in " + std::string(text), "/bounds");
    const auto name = text.substr(0, sign);
    const auto value = text.substr(sign + 1);
    try {
#define X(member, key, kind, otherwise) \
    if (name == key) kind(boot.member, value);
        BOOT_BOUNDS(X)
#undef X
    } catch (const ParseError& wrong) {
        throw wrongSetting("bounds: " + std::string(name) + ": " + wrong.what(),
                           "/bounds " + std::string(name));
    }
}

// As one text, separated by commas, or as a list of texts.
void parseBounds(BootstrapSettings& boot, const Json& bounds) {
    if (bounds.is_string()) {
        for (const auto text : split(bounds.get_ref<const std::string&>(), ',')) bound(boot, text);
        return;
    }
    for (const auto& text : bounds)
        if (text.is_string()) bound(boot, text.get_ref<const std::string&>());
}

Nanos parseHeartbeat(const std::string& text) {
    Nanos heartbeat = 0;
    try {
        heartbeat = parseDuration(text);
    } catch (const ParseError& wrong) {
        throw wrongSetting(std::string("/heartbeat: ") + wrong.what(), "/heartbeat");
    }
    if (heartbeat <= 0) throw wrongSetting("/heartbeat must be above 0", "/heartbeat");
    return heartbeat;
}

}  // namespace

std::string BootstrapSettings::peerAddress(const std::string& ip) const {
    return ip + ":" + std::to_string(internalPorts.front());
}

BootstrapSettings BootstrapSettings::parse(std::string_view bytes) {
    BootstrapSettings boot;
    const auto told = Json::parse(bytes, nullptr, false);
    if (!told.is_object()) throw wrongSetting("not a JSON object", "");
    const auto take = [&]<typename T>(T& value, const char* place, bool needed) {
        const Json::json_pointer pointer(place);
        const auto* at = told.contains(pointer) ? &told.at(pointer) : nullptr;
        if ((!at || at->is_null()) && needed) throw wrongSetting(std::string(place) + " is missing", place);
        try {
            if (at && !at->is_null()) value = at->get<T>();
        } catch (const Json::exception&) {
            throw wrongSetting(std::string(place) + " is of the wrong kind", place);
        }
    };
#define X(member, type, place, needed) take(boot.member, place, needed);
    BOOT_SETTINGS(X)
#undef X
    if (boot.internalPorts.empty()) throw wrongSetting("/internal_ports is empty", "/internal_ports");
    if (!boot.heartbeatText.empty()) boot.heartbeat = parseHeartbeat(boot.heartbeatText);
    if (const auto bounds = told.find("bounds"); bounds != told.end()) parseBounds(boot, *bounds);
    return boot;
}

BootstrapSettings BootstrapSettings::fromEnvironment() {
    const char* path = std::getenv("LICHENLANDING_SETTINGS");
    if (!path) throw wrongSetting("LICHENLANDING_SETTINGS is not set", "LICHENLANDING_SETTINGS");
    std::ifstream file(path, std::ios::binary);
    std::stringstream bytes;
    if (!file || !(bytes << file.rdbuf())) throw wrongSetting(std::string("cannot read ") + path, path);
    return parse(bytes.str());
}

}  // namespace lichenlanding::config
