/// A configuration of the gateway: parsed and validated as a whole, then queried for routes.
///
/// The format is the operators' interface (PROTOCOL, "The operator"). Each setting is declared once, in the
/// lists of configuration.cpp. No I/O. A Configuration is immutable after parsing and may be shared between
/// threads.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state.hpp"

namespace lichenlanding::config {

/// All validation errors of a configuration, each with the path of its field and what is allowed there.
/// what() joins them.
struct ValidationError : std::runtime_error {
    explicit ValidationError(std::vector<std::string> errors);
    std::vector<std::string> errors;
};

/// A service that receives a share of a route's traffic.
struct WeightedService {
    std::string service;
    std::int64_t weight = 1;  // 0 or more
};

/// Routing of the requests for a host and a path prefix.
struct Route {
    std::string name, host, prefix;
    std::size_t resourceIndex = 0;         // index in `resources`
    bool idempotent = false;               // whether route_class is idempotent
    Nanos timeout = 0, targetLatency = 0;  // above 0
    std::int64_t priority = 0;             // 0 is the highest
    std::int64_t maxAttempts = 1;          // endpoints that a request may be sent to; at least 1
    std::vector<WeightedService> shares;   // from service_name or traffic_split
    std::int64_t totalWeight = 1;          // sum of the weights; above 0

    /// The service for a random number 0 <= draw < totalWeight.
    const std::string& serviceForDraw(std::int64_t draw) const;
};

/// A service that routes refer to. Its endpoints come from the platform's instance list.
struct Service {
    std::string name, healthCheckPath = "/";
    std::int64_t maxConnections = 1024;  // per endpoint, from all proxies together
};

/// Limits on the size and the duration of client requests.
struct ClientLimits {
    std::int64_t headerBytes = 16384, bodyBytes = 64 << 20;
    Nanos headerTimeout = 3'000'000'000, idleTimeout = 15'000'000'000;
};

class Configuration {
  public:
    /// Throws ValidationError with all errors found.
    static Configuration parse(std::string_view bytes);

    /// The route with the longest matching prefix, or null. `host` may include a port, `path` a query. The
    /// route is valid as long as the Configuration.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// The service with this name, or null.
    const Service* findService(const std::string& name) const;

    std::uint32_t version = 0;
    std::vector<Route> routes;  // in the order of `resources`
    std::vector<Service> services;
    ClientLimits clientLimits;

  private:
    // Index in `routes` by host and prefix. Only for lookup, never iterated.
    std::unordered_map<std::string, std::size_t> routeIndex_;
};

/// Explains the routing of a request: the matching route, and each setting with its JSON pointer or
/// "default". Throws ValidationError if the configuration is invalid.
std::string explain(std::string_view bytes, std::string_view host, std::string_view path);

/// A version as eight hexadecimal digits.
std::string formatVersion(std::uint32_t version);

/// Parses a duration such as "1500ms" or "2.5s". Throws ParseError.
Nanos parseDuration(std::string_view text);

}  // namespace lichenlanding::config
