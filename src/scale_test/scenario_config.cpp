#include "scale_test/scenario_config.hpp"

#include <map>
#include <stdexcept>

#include "config/configuration.hpp"
#include "hashing/rendezvous.hpp"
#include "text.hpp"

namespace lichenlanding::scale_test {
namespace {

using Json = nlohmann::json;

// Exceeds the number of proxies that watch any one proxy in a fleet of some thousands.
constexpr std::int64_t kMaxWatchers = 12;

std::int64_t parseSetting(const std::string& name, const std::string& text, std::int64_t minimum,
                          std::int64_t maximum) {
    std::int64_t value = 0;
    if (text == "true" || text == "false") value = text == "true";
    else if (!parse(text, value)) throw std::runtime_error(name + ": not a whole number: " + text);
    if (value < minimum || value > maximum)
        throw std::runtime_error(name + ": must be " + std::to_string(minimum) + " to " +
                                 std::to_string(maximum));
    return value;
}

// Settings' names of the previous version, accepted for one version.
const std::map<std::string, std::string> kLegacyNames{{"prompters", "control_nodes"},
                                                      {"foyers", "proxies"},
                                                      {"real_foyers", "real_proxies"},
                                                      {"foyers_per_process", "proxies_per_process"}};

}  // namespace

void ScenarioConfig::set(const std::string& givenName, const std::string& value) {
    const auto renamed = kLegacyNames.find(givenName);
    const auto& name = renamed == kLegacyNames.end() ? givenName : renamed->second;
#define X(member, key, defaultValue, minimum, maximum)                      \
    if (name == key) {                                                      \
        member = parseSetting(name, value, std::int64_t{minimum}, maximum); \
        return;                                                             \
    }
    SCALE_SETTINGS(X)
#undef X
    throw std::runtime_error(name + ": unknown setting");
}

Json ScenarioConfig::describe() const {
    Json all = Json::object();
#define X(member, key, defaultValue, minimum, maximum) all[key] = member;
    SCALE_SETTINGS(X)
#undef X
    return all;
}

ScenarioConfig ScenarioConfig::from(const Json& described) {
    ScenarioConfig scenario;
    for (const auto& [name, value] : described.items()) scenario.set(name, value.dump());
    return scenario;
}

std::int64_t ScenarioConfig::descriptors() const {
    return proxiesPerProcess * (controlNodes + 3 + kMaxWatchers + 1) + 50;
}

std::string addedRoutePath(std::int64_t changes) { return "/added-" + std::to_string(changes) + "/"; }

std::string buildConfiguration(const ScenarioConfig& scenario, std::int64_t changes) {
    auto resources = Json::array();
    const auto service = [&](std::int64_t n) { return "s" + std::to_string(n % scenario.services); };
    const auto route = [&](const std::string& name, const std::string& host, const std::string& path,
                           const std::string& to) {
        resources.push_back({{"resource_type", "route_table"},
                             {"metadata", {{"name", name}}},
                             {"spec",
                              {{"hostname", host},
                               {"path_prefix", path},
                               {"route_class", "idempotent"},
                               {"timeout", "2500ms"},
                               {"target_latency", "600ms"},
                               {"priority", 2},
                               {"service_name", to},
                               {"max_attempts", 2}}}});
    };
    for (std::int64_t n = 0; n < scenario.routes; ++n) {
        // Names are as random as an operator's, so that the document compresses no better than a real one.
        const auto word = std::to_string(
            hashing::hash(std::to_string(scenario.seed) + "route", std::to_string(n)) % 100'000'000);
        route("r-" + word + std::to_string(n), "h" + std::to_string(n % 97) + ".example",
              "/" + word + std::to_string(n) + "/", service(n));
    }
    for (std::int64_t n = 1; n <= changes; ++n)
        route("added-" + std::to_string(n), kAddedRouteHost, addedRoutePath(n), service(n));
    for (std::int64_t n = 0; n < scenario.services; ++n)
        resources.push_back(
            {{"resource_type", "service_table"},
             {"metadata", {{"name", service(n)}}},
             {"spec", {{"health_check", "/health"}, {"max_connections", 110}, {"protocol", "h1"}}}});
    resources.push_back({{"resource_type", "limits"},
                         {"metadata", Json::object()},
                         {"spec",
                          {{"max_header_bytes", 16384},
                           {"max_body_bytes", 67108864},
                           {"header_timeout", "3000ms"},
                           {"idle_timeout", "15000ms"}}}});
    return Json{{"config_version", config::formatVersion(static_cast<std::uint32_t>(1 + changes))},
                {"resources", std::move(resources)}}
        .dump();
}

std::string zoneName(std::int64_t zone) { return "zone-" + std::to_string(zone + 1); }

discovery::Endpoint podEndpoint(const ScenarioConfig& scenario, std::int64_t n) {
    char id[32];
    std::snprintf(id, sizeof id, "i-%08llx",
                  static_cast<unsigned long long>(
                      hashing::hash(std::to_string(scenario.seed) + "pod", std::to_string(n)) & 0xffffffff));
    discovery::Endpoint endpoint;
    endpoint.id = std::string(id) + std::to_string(n);
    endpoint.service = "s" + std::to_string(n % scenario.services);
    endpoint.address = "127.73." + std::to_string(n / 200 % 250) + "." + std::to_string(n % 200 + 1) + ":9";
    endpoint.zone = zoneName(n % scenario.zones);
    endpoint.version = "v1";
    endpoint.slots = 3;
    return endpoint;
}

}  // namespace lichenlanding::scale_test
