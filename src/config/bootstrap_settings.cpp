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
        throw ParseError("not a number: " + std::string(text), "read number", std::string(text), "parse");
}

ParseError settingError(const std::string& what, const std::string& field) {
    return ParseError("settings: " + what, "read settings", field, "parse");
}

IncompleteSettingsError incompleteSettings(const std::string& what, const std::string& subject) {
    return {"settings: " + what, "read settings", subject, "parse"};
}

// Parses a bound of the form `name=value`. Unknown names are ignored: they belong to other programs.
void parseBound(BootstrapSettings& settings, std::string_view text) {
    const auto equals = text.find('=');
    if (equals == std::string_view::npos)
        throw settingError("bounds: no '=' in " + std::string(text), "/bounds");
    const auto name = text.substr(0, equals);
    const auto value = text.substr(equals + 1);
    try {
#define X(member, key, kind, fallback) \
    if (name == key) kind(settings.member, value);
        BOOT_BOUNDS(X)
#undef X
    } catch (const ParseError& error) {
        throw settingError("bounds: " + std::string(name) + ": " + error.what(),
                           "/bounds " + std::string(name));
    }
}

// `bounds` is either one comma-separated string or an array of strings.
void parseBounds(BootstrapSettings& settings, const Json& bounds) {
    if (bounds.is_string()) {
        for (const auto text : split(bounds.get_ref<const std::string&>(), ',')) parseBound(settings, text);
        return;
    }
    for (const auto& text : bounds)
        if (text.is_string()) parseBound(settings, text.get_ref<const std::string&>());
}

Nanos parseHeartbeat(const std::string& text) {
    Nanos heartbeat = 0;
    try {
        heartbeat = parseDuration(text);
    } catch (const ParseError& error) {
        throw settingError(std::string("/heartbeat: ") + error.what(), "/heartbeat");
    }
    if (heartbeat <= 0) throw settingError("/heartbeat must be above 0", "/heartbeat");
    return heartbeat;
}

}  // namespace

std::string BootstrapSettings::peerAddress(const std::string& ip) const {
    return ip + ":" + std::to_string(internalPorts.front());
}

BootstrapSettings BootstrapSettings::parse(std::string_view bytes) {
    BootstrapSettings settings;
    const auto json = Json::parse(bytes, nullptr, false);
    if (json.is_discarded()) throw incompleteSettings("not a JSON object", "");
    if (!json.is_object()) throw settingError("not a JSON object", "");
    const auto read = [&]<typename T>(T& value, const char* pointer, bool required) {
        const Json::json_pointer jsonPointer(pointer);
        const auto* field = json.contains(jsonPointer) ? &json.at(jsonPointer) : nullptr;
        if ((!field || field->is_null()) && required)
            throw settingError(std::string(pointer) + " is missing", pointer);
        try {
            if (field && !field->is_null()) value = field->get<T>();
        } catch (const Json::exception&) {
            throw settingError(std::string(pointer) + " has the wrong type", pointer);
        }
    };
#define X(member, type, pointer, required) read(settings.member, pointer, required);
    BOOT_SETTINGS(X)
#undef X
    if (settings.internalPorts.empty()) throw settingError("/internal_ports is empty", "/internal_ports");
    if (!settings.heartbeatText.empty()) settings.heartbeat = parseHeartbeat(settings.heartbeatText);
    if (const auto bounds = json.find("bounds"); bounds != json.end()) parseBounds(settings, *bounds);
    return settings;
}

BootstrapSettings BootstrapSettings::fromEnvironment() {
    const char* path = std::getenv("LICHENLANDING_SETTINGS");
    if (!path) throw settingError("LICHENLANDING_SETTINGS is not set", "LICHENLANDING_SETTINGS");
    std::ifstream file(path, std::ios::binary);
    std::stringstream bytes;
    if (!file || !(bytes << file.rdbuf())) throw incompleteSettings(std::string("cannot read ") + path, path);
    return parse(bytes.str());
}

}  // namespace lichenlanding::config
