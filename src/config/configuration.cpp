#include "config/configuration.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "config/configuration_reader.hpp"
#include "errors.hpp"
#include "text.hpp"

// X(member, name in the file, kind, required). parse(), explain() and the error messages use these lists.
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
constexpr Nanos kMaxTimeout = 600 * kSecond;            // limit documented for operators
constexpr Nanos kMaxTargetAboveTimeout = 60 * kSecond;  // a larger target is a configuration error

std::string joined(const std::vector<std::string>& errors) {
    std::string all;
    for (const auto& error : errors) all += (all.empty() ? "" : "; ") + error;
    return all;
}

// Validation errors. Their number and length are limited: an invalid configuration may have more of them than
// the machine has memory for.
class ErrorList {
  public:
    void add(std::string error) {
        if (full()) return;
        if (error.size() > kMaxErrorBytes) {
            error.resize(kMaxErrorBytes);
            error += "...";
        }
        errors_.push_back(std::move(error));
    }
    void append(const ErrorList& other) {
        for (const auto& error : other.errors_) add(error);
    }
    bool empty() const { return errors_.empty(); }
    bool full() const { return errors_.size() == kMaxErrors; }
    std::vector<std::string> summary() const {
        auto all = errors_;
        if (full()) all.emplace_back("further mistakes, if any, are not listed");
        return all;
    }

  private:
    static constexpr std::size_t kMaxErrors = 100;
    static constexpr std::size_t kMaxErrorBytes = 400;
    std::vector<std::string> errors_;
};

// Reads the fields of a JSON object and collects validation errors.
struct FieldReader {
    const Json& object;
    std::string path;
    ErrorList& errors;

    void addError(const std::string& name, const std::string& what) const {
        errors.add(path + "/" + name + ": " + what);
    }
    const Json* field(const char* name, bool required) const {
        const auto found = object.is_object() ? object.find(name) : object.end();
        if (object.is_object() && found != object.end() && !found->is_null()) return &*found;
        if (required) addError(name, "is missing");
        return nullptr;
    }
    void text(std::string& value, const char* name, bool required) const {
        const auto* json = field(name, required);
        if (json && !json->is_string()) return addError(name, "must be a text");
        if (json) value = json->get<std::string>();
    }
    void duration(Nanos& value, const char* name, bool required) const {
        const auto* json = field(name, required);
        if (!json) return;
        try {
            value = parseDuration(json->is_string() ? json->get<std::string>() : "");
        } catch (const ParseError&) {
            addError(name, "must be a time as text, such as \"1500ms\" or \"2.5s\"");
        }
    }
    void count(std::int64_t& value, const char* name, bool required) const {
        const auto* json = field(name, required);
        if (!json) return;
        if (!json->is_number_integer() || json->get<double>() < 0 || json->get<double>() > 1e15)
            return addError(name, "must be a whole number, 0 or more");
        value = json->get<std::int64_t>();
    }
};

Route parseRoute(const FieldReader& reader, const std::string& name) {
    Route route;
    route.name = name;
#define X(member, key, kind, required) reader.kind(route.member, key, required);
    ROUTE_SETTINGS(X)
#undef X
    std::string routeClass;
    reader.text(routeClass, "route_class", true);
    route.idempotent = routeClass == "idempotent";
    if (!routeClass.empty() && !route.idempotent && routeClass != "non_idempotent")
        reader.addError("route_class", "must be idempotent or non_idempotent");
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
        reader.addError("path_prefix", "must begin and end with a slash");
    if (route.timeout > kMaxTimeout) reader.addError("timeout", "must be ten minutes or less");
    if (route.timeout <= 0) reader.addError("timeout", "must be above 0");
    if (route.targetLatency >= route.timeout + kMaxTargetAboveTimeout)
        reader.addError("target_latency", "must be less than a minute above the timeout");
    route.maxAttempts = std::max<std::int64_t>(route.maxAttempts, 1);
    std::string service;
    reader.text(service, "service_name", false);
    const auto* split = reader.field("traffic_split", false);
    if (split && split->is_array()) {
        route.totalWeight = 0;
        for (std::size_t index = 0; index < split->size(); ++index) {
            const FieldReader part{(*split)[index], reader.path + "/traffic_split/" + std::to_string(index),
                                   reader.errors};
            WeightedService share;
            part.text(share.service, "service_name", true);
            part.count(share.weight, "weight", true);
            route.totalWeight += share.weight;
            route.shares.push_back(share);
        }
        if (route.totalWeight <= 0) reader.addError("traffic_split", "weights must sum to more than 0");
    } else if (!service.empty()) {
        route.shares.push_back({service, 1});
    } else {
        reader.addError("service_name", "is missing, and so is traffic_split");
    }
    return route;
}

std::uint32_t parseVersion(const FieldReader& top) {
    std::string text;
    top.text(text, "config_version", true);
    std::uint32_t version = 0;
    const auto* end = text.data() + text.size();
    if (text.size() != 8 || std::from_chars(text.data(), end, version, 16).ptr != end)
        top.addError("config_version", "must be eight hexadecimal digits");
    return version;
}

// Parses an entry of `resources` and adds it to the configuration.
void parseResource(const FieldReader& entry, std::size_t index, Configuration& configuration) {
    static const Json kNone = Json::object();
    std::string type;
    entry.text(type, "resource_type", true);
    const auto* metadata = entry.field("metadata", false);
    const auto* spec = entry.field("spec", true);
    const FieldReader metadataReader{metadata ? *metadata : kNone, entry.path + "/metadata", entry.errors};
    const FieldReader specReader{spec ? *spec : kNone, entry.path + "/spec", entry.errors};
    if (type == "route_table") {
        std::string name;
        metadataReader.text(name, "name", true);
        if (!spec) return;
        configuration.routes.push_back(parseRoute(specReader, name));
        configuration.routes.back().resourceIndex = index;
    } else if (type == "service_table") {
        auto& service = configuration.services.emplace_back();
        metadataReader.text(service.name, "name", true);
#define X(member, key, kind, required) specReader.kind(service.member, key, required);
        SERVICE_SETTINGS(X)
#undef X
    } else if (type == "limits") {
#define X(member, key, kind, required) specReader.kind(configuration.clientLimits.member, key, required);
        CLIENT_LIMITS_SETTINGS(X)
#undef X
    } else if (!type.empty()) {
        entry.addError("resource_type", "must be route_table, service_table or limits");
    }
}

std::set<std::string> serviceNames(const Configuration& configuration) {
    std::set<std::string> names;
    for (const auto& service : configuration.services) names.insert(service.name);
    return names;
}

void checkServices(const Configuration& configuration, ErrorList& errors) {
    std::set<std::string> seen;
    for (const auto& service : configuration.services)
        if (!seen.insert(service.name).second)
            errors.add("service_table " + service.name + ": is defined more than once");
}

// Indexes the routes by host and prefix. Reports unknown services and duplicate routes as errors.
std::unordered_map<std::string, std::size_t> indexRoutes(const Configuration& configuration,
                                                         ErrorList& errors) {
    std::unordered_map<std::string, std::size_t> routeIndex;
    const auto known = serviceNames(configuration);
    for (std::size_t position = 0; position < configuration.routes.size(); ++position) {
        const auto& route = configuration.routes[position];
        const auto where = "route_table " + route.name + ": ";
        for (const auto& share : route.shares)
            if (!known.contains(share.service))
                errors.add(where + "service " + share.service + " is not in any service_table");
        if (!routeIndex.emplace(route.host + route.prefix, position).second)
            errors.add(where + "another route has the host " + route.host + " and the path_prefix " +
                       route.prefix);
    }
    return routeIndex;
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
        throw ParseError("not a duration such as \"1500ms\" or \"2.5s\": " + std::string(text),
                         "read duration", std::string(text), "parse");
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
    Configuration configuration;
    ErrorList resourceErrors;
    const auto reset = [&] {
        configuration = {};
        resourceErrors = {};
    };
    const auto addResource = [&](std::size_t index, const Json& resource) {
        parseResource({resource, "/resources/" + std::to_string(index), resourceErrors}, index,
                      configuration);
        return !resourceErrors.full();
    };
    ConfigurationReader reader({reset, addResource});
    const auto failure = reader.read(bytes);
    if (!failure.empty()) throw ValidationError({failure});
    if (reader.ended()) throw ValidationError(resourceErrors.summary());
    ErrorList errors;
    const FieldReader top{reader.fields(), "", errors};
    configuration.version = parseVersion(top);
    const auto* resources = top.field("resources", true);
    if (resources && !resources->is_array()) top.addError("resources", "must be a list");
    errors.append(resourceErrors);
    checkServices(configuration, errors);
    configuration.routeIndex_ = indexRoutes(configuration, errors);
    if (!errors.empty()) throw ValidationError(errors.summary());
    return configuration;
}

const Route* Configuration::findRoute(std::string_view host, std::string_view path) const {
    const auto colon = host.find(':');
    std::string key(host.substr(0, colon));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto hostLength = key.size();
    path = path.substr(0, path.find_first_of("?#"));
    key += path;
    // Tries the prefixes of the path that end in a slash, longest first. The cost depends on the size of the
    // path and not on the number of routes.
    for (auto slash = key.rfind('/'); slash != std::string::npos && slash >= hostLength;
         slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1)) {
        key.resize(slash + 1);
        if (const auto found = routeIndex_.find(key); found != routeIndex_.end())
            return &routes[found->second];
    }
    return nullptr;
}

const Service* Configuration::findService(const std::string& name) const {
    for (const auto& service : services)
        if (service.name == name) return &service;
    return nullptr;
}

namespace {

// Formatting of setting values, by kind.
std::string text(const std::string& value) { return value; }
std::string duration(Nanos value) { return std::to_string(value / kMillisecond) + "ms"; }
std::string count(std::int64_t value) { return std::to_string(value); }

// Formats a setting with its value, and with its JSON pointer or "default".
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
#define X(member, key, kind, required) all += settingLine(spec, where, key, kind(route.member));
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
    for (std::size_t index = 0; index < resources.size(); ++index)
        for (const auto& share : route.shares) {
            const auto& entry = resources.at(index);
            if (entry.at("resource_type") != "service_table" ||
                entry.at("metadata").at("name") != share.service)
                continue;
            const auto* service = configuration.findService(share.service);
            const auto where = "/resources/" + std::to_string(index);
            all += "service " + share.service + "\n";
#define X(member, key, kind, required) \
    all += settingLine(entry.at("spec"), where, key, kind(service->member));
            SERVICE_SETTINGS(X)
#undef X
        }
    return all;
}

std::string explainClientLimits(const ClientLimits& limits, const Json& resources) {
    Json spec;
    std::string where;
    for (std::size_t index = 0; index < resources.size(); ++index)
        if (resources.at(index).at("resource_type") == "limits") {
            spec = resources.at(index).at("spec");
            where = "/resources/" + std::to_string(index);
        }
    std::string all = "limits of clients\n";
#define X(member, key, kind, required) all += settingLine(spec, where, key, kind(limits.member));
    CLIENT_LIMITS_SETTINGS(X)
#undef X
    return all;
}

}  // namespace

std::string explain(std::string_view bytes, std::string_view host, std::string_view path) {
    const auto configuration = Configuration::parse(bytes);
    const auto json = Json::parse(bytes);
    const auto& resources = json.at("resources");
    std::string all = "configuration " + formatVersion(configuration.version) + "\n";
    if (const auto* route = configuration.findRoute(host, path))
        all += explainRoute(*route, resources) + explainServices(*route, configuration, resources);
    else all += "no route: 404\n";
    return all + explainClientLimits(configuration.clientLimits, resources);
}

}  // namespace lichenlanding::config
