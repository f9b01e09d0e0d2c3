/// A configuration of the gateway: read whole or refused, and asked for routes.
///
/// The format is the operators' (PROTOCOL, "The operator"). Each setting is declared once, in the lists of
/// configuration.cpp. Pure: bytes in, values out. A Configuration does not change once it is read, so it may
/// be shared by threads.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state.hpp"

namespace lichenlanding::config {

/// What is wrong: each mistake with the path of its field and what is allowed there. what() holds them all.
struct ValidationError : std::runtime_error {
    explicit ValidationError(std::vector<std::string> errors);
    std::vector<std::string> errors;
};

/// One part of a route's traffic.
struct WeightedService {
    std::string service;
    std::int64_t weight = 1;  // 0 or more
};

/// Where requests for a host and a path prefix go.
struct Route {
    std::string name, host, prefix;
    std::size_t resourceIndex = 0;         // its place in the list of resources
    bool idempotent = false;               // route_class idempotent
    Nanos timeout = 0, targetLatency = 0;  // above 0
    std::int64_t priority = 0;             // 0 the highest
    std::int64_t maxAttempts = 1;          // pods that one try may be sent to; 1 or more
    std::vector<WeightedService> shares;   // one, or as traffic_split says; weights sum to above 0
    std::int64_t totalWeight = 1;          // their sum

    /// The service for a draw of 0 <= draw < totalWeight.
    const std::string& serviceForDraw(std::int64_t draw) const;
};

/// A service that routes send to; its endpoints come from the platform's list.
struct Service {
    std::string name, healthCheckPath = "/";
    std::int64_t maxConnections = 1024;  // that a pod takes from all callers
};

/// What a client may send, and how long it may take.
struct ClientLimits {
    std::int64_t headerBytes = 16384, bodyBytes = 64 << 20;
    Nanos headerTimeout = 3'000'000'000, idleTimeout = 15'000'000'000;
};

class Configuration {
  public:
    /// Throws ValidationError with all mistakes found.
    static Configuration parse(std::string_view bytes);

    /// The route of the longest prefix; null where there is none. `host` may carry a port, `path` a query.
    /// The route lives as long as the Configuration.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// Null where there is none.
    const Service* findService(const std::string& name) const;

    std::uint32_t version = 0;
    std::vector<Route> routes;  // in the order sent
    std::vector<Service> services;
    ClientLimits clientLimits;

  private:
    std::unordered_map<std::string, std::size_t>
        routeIndex_;  // host and prefix; looked up, never walked through
};

/// Why a request goes where it goes: the route, and each setting with its place in the file or "default".
/// Throws ValidationError where the configuration is wrong.
std::string explain(std::string_view bytes, std::string_view host, std::string_view path);

/// Eight hexadecimal digits.
std::string formatVersion(std::uint32_t version);

/// "1500ms", "2.5s". Throws ParseError.
Nanos parseDuration(std::string_view text);

}  // namespace lichenlanding::config
