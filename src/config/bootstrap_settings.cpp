#include "config/bootstrap_settings.hpp"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/configuration.hpp"
#include "text.hpp"

namespace lichenlanding::config {
namespace {

using Json = nlohmann::json;

void duration(Nanos& value, std::string_view text) { value = parseDuration(text); }
void number(double& value, std::string_view text) {
    if (!parse(text, value)) throw std::invalid_argument("no number: " + std::string(text));
}

// One bound, `name=value`. Bounds of other names are another program's business.
void bound(BootstrapSettings& boot, std::string_view text) {
    const auto sign = text.find('=');
    if (sign == text.npos) throw std::runtime_error("settings: bounds: no '=' in " + std::string(text));
    const auto name = text.substr(0, sign), value = text.substr(sign + 1);
    try {
#define X(member, key, kind, otherwise) \
    if (name == key) kind(boot.member, value);
        BOOT_BOUNDS(X)
#undef X
    } catch (const std::invalid_argument& wrong) {
        throw std::runtime_error("settings: bounds: " + std::string(name) + ": " + wrong.what());
    }
}

}  // namespace

std::string BootstrapSettings::peerAddress(const std::string& ip) const {
    return ip + ":" + std::to_string(internalPorts.front());
}

BootstrapSettings BootstrapSettings::parse(std::string_view bytes) {
    BootstrapSettings boot;
    const auto told = Json::parse(bytes, nullptr, false);
    if (!told.is_object()) throw std::runtime_error("settings: not a JSON object");
    const auto take = [&]<typename T>(T& value, const char* place, bool needed) {
        const Json::json_pointer pointer(place);
        const auto* at = told.contains(pointer) ? &told.at(pointer) : nullptr;
        if ((!at || at->is_null()) && needed)
            throw std::runtime_error(std::string("settings: ") + place + " is missing");
        try {
            if (at && !at->is_null()) value = at->get<T>();
        } catch (const Json::exception&) {
            throw std::runtime_error(std::string("settings: ") + place + " is of the wrong kind");
        }
    };
#define X(member, type, place, needed) take(boot.member, place, needed);
    BOOT_SETTINGS(X)
#undef X
    if (boot.internalPorts.empty()) throw std::runtime_error("settings: /internal_ports is empty");
    if (!boot.heartbeatText.empty()) {
        try {
            boot.heartbeat = parseDuration(boot.heartbeatText);
        } catch (const std::invalid_argument& wrong) {
            throw std::runtime_error(std::string("settings: /heartbeat: ") + wrong.what());
        }
        if (boot.heartbeat <= 0) throw std::runtime_error("settings: /heartbeat must be above 0");
    }
    if (const auto bounds = told.find("bounds"); bounds != told.end()) {
        if (bounds->is_string())
            for (const auto text : split(bounds->get_ref<const std::string&>(), ',')) bound(boot, text);
        else
            for (const auto& text : *bounds)
                if (text.is_string()) bound(boot, text.get_ref<const std::string&>());
    }
    return boot;
}

BootstrapSettings BootstrapSettings::fromEnvironment() {
    const char* path = std::getenv("LICHENLANDING_SETTINGS");
    if (!path) throw std::runtime_error("settings: LICHENLANDING_SETTINGS is not set");
    std::ifstream file(path, std::ios::binary);
    std::stringstream bytes;
    if (!file || !(bytes << file.rdbuf()))
        throw std::runtime_error(std::string("settings: cannot read ") + path);
    return parse(bytes.str());
}

}  // namespace lichenlanding::config
