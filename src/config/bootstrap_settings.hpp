/// The settings of a gateway process, read at start from the operators' settings file (DEPLOY, "What a
/// process is told"). Unknown fields are ignored. No I/O except in fromEnvironment(). Thread-safe.
///
/// Each setting is declared once, in the two lists below, which generate the member, the parser and the name
/// in errors. The names in the file belong to the operators' interface and must not change.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "errors.hpp"
#include "state.hpp"

// X(member, type, JSON pointer in the file, required)
#define BOOT_SETTINGS(X)                                                          \
    X(name, std::string, "/node_name", true)                                      \
    X(ip, std::string, "/ip_address", true)                                       \
    X(zone, std::string, "/zone", true)                                           \
    X(region, std::string, "/region", false)                                      \
    X(httpAddress, std::string, "/listen_addresses/front_http", false)            \
    X(readinessAddress, std::string, "/listen_addresses/readiness", false)        \
    X(controlPlaneAddress, std::string, "/listen_addresses/control_plane", false) \
    X(internalPorts, std::vector<int>, "/internal_ports", true)                   \
    X(seeds, std::vector<std::string>, "/seed_nodes", true)                       \
    X(bootstrap, bool, "/bootstrap", false)                                       \
    X(quorumMember, bool, "/quorum_member", false)                                \
    X(heartbeatText, std::string, "/heartbeat", false)                            \
    X(dataDir, std::string, "/data_dir", false)                                   \
    X(diskMegabytes, int, "/limits/disk_mb", false)                               \
    X(memoryMegabytes, int, "/limits/memory_mb", false)                           \
    X(maxDescriptors, int, "/limits/max_fds", false)                              \
    X(tolerableMachineLosses, int, "/fault_tolerance/machines", false)            \
    X(tolerableZoneLosses, int, "/fault_tolerance/zones", false)                  \
    X(tolerableRegionLosses, int, "/fault_tolerance/regions", false)              \
    X(platformAddress, std::string, "/cloud_api/address", true)                   \
    X(platformCallsPerSecond, double, "/cloud_api/rate_per_s", false)

// X(member, name in `bounds`, kind, default). control_contact: how long a member's reply counts as contact.
// control_replace: how long a member may be silent before a standby replaces it (0: 0.6 * sync_time).
#define BOOT_BOUNDS(X)                                                     \
    X(drainTime, "drain", duration, 2500 * 1'000'000LL)                    \
    X(shutdownGrace, "grace", duration, 6000 * 1'000'000LL)                \
    X(contactTime, "contact", duration, 3000 * 1'000'000LL)                \
    X(retryBudgetWindow, "retry_window", duration, 10'000 * 1'000'000LL)   \
    X(acknowledgementTime, "ack", duration, 5000 * 1'000'000LL)            \
    X(rollbackTime, "rollback", duration, 5000 * 1'000'000LL)              \
    X(syncTime, "sync_time", duration, 4000 * 1'000'000LL)                 \
    X(controlContactTime, "control_contact", duration, 1000 * 1'000'000LL) \
    X(controlReplaceAfter, "control_replace", duration, 0)                 \
    X(retryBudgetRatio, "retry_budget_ratio", number, 0.2)                 \
    X(retrySlack, "retry_slack", number, 20.0)                             \
    X(exposureShare, "exposure_share", number, 0.1)                        \
    X(exposureSlack, "exposure_slack", number, 50.0)

namespace lichenlanding::config {

/// The settings file cannot be read or is not a whole JSON document, possibly because it is being written.
struct IncompleteSettingsError : ParseError {
    using ParseError::ParseError;
};

/// The settings as configured. Durations are in nanoseconds; ratios and rates per second are doubles.
struct BootstrapSettings {
#define X(member, type, pointer, required) type member{};
    BOOT_SETTINGS(X)
#undef X
    using duration = Nanos;
    using number = double;
#define X(member, name, kind, fallback) kind member = fallback;
    BOOT_BOUNDS(X)
#undef X

    // The interval of digests between proxies that monitor each other; above 0.
    Nanos heartbeat = 1500 * 1'000'000LL;

    /// The address for peer connections to the process on the machine with this IP: its first internal port.
    std::string peerAddress(const std::string& ip) const;

    /// Parses the content of a settings file. Throws ParseError with the field as its subject, and
    /// IncompleteSettingsError.
    static BootstrapSettings parse(std::string_view bytes);
    /// Parses the file named by LICHENLANDING_SETTINGS. Throws like parse().
    static BootstrapSettings fromEnvironment();
};

}  // namespace lichenlanding::config
