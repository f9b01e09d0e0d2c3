#include "config/configuration.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "errors.hpp"
#include "text.hpp"

// Each setting once, since parse() reads it, explain() writes it and errors name it: member, name in the
// file, kind, needed or not.
#define ROUTE_SETTINGS(X)                              \
    X(host, "hostname", text, true)                    \
    X(prefix, "path_prefix", text, true)               \
    X(timeout, "timeout", duration, true)              \
    X(targetLatency, "target_latency", duration, true) \
    X(priority, "priority", count, false)              \
    X(maxAttempts, "max_attempts", count, false)

#define SERVICE_SETTINGS(X)                         \
    X(healthCheckPath, "health_check", text, false) \
    X(maxConnections, "max_connections", count, false)

#define CLIENT_LIMITS_SETTINGS(X)                       \
    X(headerBytes, "max_header_bytes", count, false)    \
    X(bodyBytes, "max_body_bytes", count, false)        \
    X(headerTimeout, "header_timeout", duration, false) \
    X(idleTimeout, "idle_timeout", duration, false)

namespace lichenlanding::config {
namespace {

using Json = nlohmann::json;

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;
constexpr Nanos kLongestTimeout = 600 * kSecond;  // what the operators' page allows
constexpr Nanos kTargetBeyond = 60 * kSecond;     // a target latency so far above the timeout is a mistake

std::string joined(const std::vector<std::string>& errors) {
    std::string all;
    for (const auto& mistake : errors) all += (all.empty() ? "" : "; ") + mistake;
    return all;
}

// Reads the fields of one object and notes what is wrong with each.
struct Reader {
    const Json& object;
    std::string path;
    std::vector<std::string>& errors;

    void wrong(const std::string& name, const std::string& what) const {
        errors.push_back(path + "/" + name + ": " + what);
    }
    const Json* field(const char* name, bool needed) const {
        const auto at = object.is_object() ? object.find(name) : object.end();
        if (object.is_object() && at != object.end() && !at->is_null()) return &*at;
        if (needed) wrong(name, "is missing");
        return nullptr;
    }
    void text(std::string& value, const char* name, bool needed) const {
        const auto* told = field(name, needed);
        if (told && !told->is_string()) return wrong(name, "must be a text");
        if (told) value = told->get<std::string>();
    }
    void duration(Nanos& value, const char* name, bool needed) const {
        const auto* told = field(name, needed);
        if (!told) return;
        try {
            value = parseDuration(told->is_string() ? told->get<std::string>() : "");
        } catch (const ParseError&) {
            wrong(name, "must be a time as text, such as \"1500ms\" or \"2.5s\"");
        }
    }
    void count(std::int64_t& value, const char* name, bool needed) const {
        const auto* told = field(name, needed);
        if (!told) return;
        if (!told->is_number_integer() || told->get<double>() < 0 || told->get<double>() > 1e15)
            return wrong(name, "must be a whole number, 0 or more");
        value = told->get<std::int64_t>();
    }
};

Route route(const Reader& from, const std::string& name) {
    Route made;
    made.name = name;
#define X(member, key, kind, needed) from.kind(made.member, key, needed);
    ROUTE_SETTINGS(X)
#undef X
    std::string kind;
    from.text(kind, "route_class", true);
    made.idempotent = kind == "idempotent";
    if (!kind.empty() && !made.idempotent && kind != "non_idempotent")
        from.wrong("route_class", "must be idempotent or non_idempotent");
    if (made.prefix.empty() || made.prefix.front() != '/' || made.prefix.back() != '/')
        from.wrong("path_prefix", "must begin and end with a slash");
    if (made.timeout > kLongestTimeout) from.wrong("timeout", "must be ten minutes or less");
    if (made.timeout <= 0) from.wrong("timeout", "must be above 0");
    if (made.targetLatency >= made.timeout + kTargetBeyond)
        from.wrong("target_latency", "must be less than a minute above the timeout");
    made.maxAttempts = std::max<std::int64_t>(made.maxAttempts, 1);
    std::string one;
    from.text(one, "service_name", false);
    const auto* split = from.field("traffic_split", false);
    if (split && split->is_array()) {
        made.totalWeight = 0;
        for (std::size_t at = 0; at < split->size(); ++at) {
            const Reader part{(*split)[at], from.path + "/traffic_split/" + std::to_string(at), from.errors};
            WeightedService share;
            part.text(share.service, "service_name", true);
            part.count(share.weight, "weight", true);
            made.totalWeight += share.weight;
            made.shares.push_back(share);
        }
        if (made.totalWeight <= 0) from.wrong("traffic_split", "weights must sum to more than 0");
    } else if (!one.empty()) {
        made.shares.push_back({one, 1});
    } else {
        from.wrong("service_name", "is missing, and so is traffic_split");
    }
    return made;
}

std::uint32_t parseVersion(const Reader& top) {
    std::string text;
    top.text(text, "config_version", true);
    std::uint32_t version = 0;
    const auto* end = text.data() + text.size();
    if (text.size() != 8 || std::from_chars(text.data(), end, version, 16).ptr != end)
        top.wrong("config_version", "must be eight hexadecimal digits");
    return version;
}

// One entry of the list of resources, into the configuration.
void parseResource(const Reader& entry, std::size_t index, Configuration& into) {
    static const Json kNone = Json::object();
    std::string type;
    entry.text(type, "resource_type", true);
    const auto* metadata = entry.field("metadata", false);
    const auto* spec = entry.field("spec", true);
    const Reader about{metadata ? *metadata : kNone, entry.path + "/metadata", entry.errors};
    const Reader from{spec ? *spec : kNone, entry.path + "/spec", entry.errors};
    if (type == "route_table") {
        std::string name;
        about.text(name, "name", true);
        if (!spec) return;
        into.routes.push_back(route(from, name));
        into.routes.back().resourceIndex = index;
    } else if (type == "service_table") {
        auto& service = into.services.emplace_back();
        about.text(service.name, "name", true);
#define X(member, key, kind, needed) from.kind(service.member, key, needed);
        SERVICE_SETTINGS(X)
#undef X
    } else if (type == "limits") {
#define X(member, key, kind, needed) from.kind(into.clientLimits.member, key, needed);
        CLIENT_LIMITS_SETTINGS(X)
#undef X
    } else if (!type.empty()) {
        entry.wrong("resource_type", "must be route_table, service_table or limits");
    }
}

std::set<std::string> serviceNames(const Configuration& configuration) {
    std::set<std::string> names;
    for (const auto& service : configuration.services) names.insert(service.name);
    return names;
}

void checkServices(const Configuration& configuration, std::vector<std::string>& errors) {
    std::set<std::string> seen;
    for (const auto& service : configuration.services)
        if (!seen.insert(service.name).second)
            errors.push_back("service_table " + service.name + ": is there twice");
}

// Routes by host and prefix; notes services that are missing and places that are taken.
std::unordered_map<std::string, std::size_t> indexRoutes(const Configuration& configuration,
                                                         std::vector<std::string>& errors) {
    std::unordered_map<std::string, std::size_t> index;
    const auto known = serviceNames(configuration);
    for (std::size_t at = 0; at < configuration.routes.size(); ++at) {
        const auto& route = configuration.routes[at];
        const auto where = "route_table " + route.name + ": ";
        for (const auto& share : route.shares)
            if (!known.contains(share.service))
                errors.push_back(where + "service " + share.service + " is not in any service_table");
        if (!index.emplace(route.host + route.prefix, at).second)
            errors.push_back(where + "another route has the host " + route.host + " and the path_prefix " +
                             route.prefix);
    }
    return index;
}

}  // namespace

ValidationError::ValidationError(std::vector<std::string> found)
    : std::runtime_error(joined(found)), errors(std::move(found)) {}

Nanos parseDuration(std::string_view text) {
    const auto unit = text.find_first_not_of("0123456789.");
    const auto kind = unit == std::string_view::npos ? "" : text.substr(unit);
    double number = 0;
    const bool read = unit != std::string_view::npos && unit > 0 && parse(text.substr(0, unit), number);
    if (!read || !(number >= 0) || number > 1e9 || (kind != "ms" && kind != "s"))
        throw ParseError("no time: " + std::string(text), "read duration", std::string(text), "parse");
    return static_cast<Nanos>(
        std::llround(number * static_cast<double>(kind == "ms" ? kMillisecond : kSecond)));
}

std::string formatVersion(std::uint32_t version) {
    constexpr char digits[] = "0123456789abcdef";
    std::string text(8, '0');
    for (std::size_t at = 8; at-- > 0; version >>= 4) text[at] = digits[version & 15];
    return text;
}

const std::string& Route::serviceForDraw(std::int64_t draw) const {
    for (const auto& share : shares) {
        if (draw < share.weight) return share.service;
        draw -= share.weight;
    }
    return shares.back().service;
}

Configuration Configuration::parse(std::string_view bytes) {
    const auto told = Json::parse(bytes, nullptr, false);
    if (told.is_discarded()) throw ValidationError({"body: cannot be read in full as JSON"});
    if (!told.is_object()) throw ValidationError({"body: must be an object"});
    Configuration made;
    std::vector<std::string> errors;
    const Reader top{told, "", errors};
    made.version = parseVersion(top);
    const auto* resources = top.field("resources", true);
    if (resources && !resources->is_array()) top.wrong("resources", "must be a list");
    if (resources && resources->is_array())
        for (std::size_t at = 0; at < resources->size(); ++at)
            parseResource({(*resources)[at], "/resources/" + std::to_string(at), errors}, at, made);
    checkServices(made, errors);
    made.routeIndex_ = indexRoutes(made, errors);
    if (!errors.empty()) throw ValidationError(std::move(errors));
    return made;
}

const Route* Configuration::findRoute(std::string_view host, std::string_view path) const {
    const auto colon = host.find(':');
    std::string place(host.substr(0, colon));
    std::transform(place.begin(), place.end(), place.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto length = place.size();
    path = path.substr(0, path.find_first_of("?#"));
    place += path;
    // From the longest prefix that ends in a slash to the shortest: the cost is the path's, not the list's.
    for (auto slash = place.rfind('/'); slash != std::string::npos && slash >= length;
         slash = slash == 0 ? std::string::npos : place.rfind('/', slash - 1)) {
        place.resize(slash + 1);
        if (const auto at = routeIndex_.find(place); at != routeIndex_.end()) return &routes[at->second];
    }
    return nullptr;
}

const Service* Configuration::findService(const std::string& name) const {
    for (const auto& service : services)
        if (service.name == name) return &service;
    return nullptr;
}

namespace {

// How a value is written, by the kind of its setting.
std::string text(const std::string& value) { return value; }
std::string duration(Nanos value) { return std::to_string(value / kMillisecond) + "ms"; }
std::string count(std::int64_t value) { return std::to_string(value); }

// One setting: its value, and its place in the file or "default".
std::string settingLine(const Json& spec, const std::string& resource, const char* name,
                        const std::string& value) {
    const bool set = spec.is_object() && spec.contains(name);
    return std::string("  ") + name + " = " + value + "  (" + (set ? resource + "/spec/" + name : "default") +
           ")\n";
}

std::string explainRoute(const Route& route, const Json& resources) {
    const auto where = "/resources/" + std::to_string(route.resourceIndex);
    const auto& spec = resources.at(route.resourceIndex).at("spec");
    std::string all = "route " + route.name + ": the longest path_prefix of this host that begins the path\n";
#define X(member, key, kind, needed) all += settingLine(spec, where, key, kind(route.member));
    ROUTE_SETTINGS(X)
#undef X
    all += settingLine(spec, where, "route_class", route.idempotent ? "idempotent" : "non_idempotent");
    for (const auto& share : route.shares)
        all += "to service " + share.service + ", " + std::to_string(share.weight) + " of " +
               std::to_string(route.totalWeight) + " requests\n";
    return all;
}

std::string explainServices(const Route& route, const Configuration& configuration, const Json& resources) {
    std::string all;
    for (std::size_t at = 0; at < resources.size(); ++at)
        for (const auto& share : route.shares) {
            const auto& entry = resources.at(at);
            if (entry.at("resource_type") != "service_table" ||
                entry.at("metadata").at("name") != share.service)
                continue;
            const auto* service = configuration.findService(share.service);
            const auto where = "/resources/" + std::to_string(at);
            all += "service " + share.service + "\n";
#define X(member, key, kind, needed) all += settingLine(entry.at("spec"), where, key, kind(service->member));
            SERVICE_SETTINGS(X)
#undef X
        }
    return all;
}

std::string explainClientLimits(const ClientLimits& limits, const Json& resources) {
    Json spec;
    std::string where;
    for (std::size_t at = 0; at < resources.size(); ++at)
        if (resources.at(at).at("resource_type") == "limits") {
            spec = resources.at(at).at("spec");
            where = "/resources/" + std::to_string(at);
        }
    std::string all = "limits of clients\n";
#define X(member, key, kind, needed) all += settingLine(spec, where, key, kind(limits.member));
    CLIENT_LIMITS_SETTINGS(X)
#undef X
    return all;
}

}  // namespace

std::string explain(std::string_view bytes, std::string_view host, std::string_view path) {
    const auto configuration = Configuration::parse(bytes);
    const auto told = Json::parse(bytes);
    const auto& resources = told.at("resources");
    std::string all = "configuration " + formatVersion(configuration.version) + "\n";
    if (const auto* route = configuration.findRoute(host, path))
        all += explainRoute(*route, resources) + explainServices(*route, configuration, resources);
    else all += "no route: 404\n";
    return all + explainClientLimits(configuration.clientLimits, resources);
}

}  // namespace lichenlanding::config
