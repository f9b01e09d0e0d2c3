/// What a process of the gateway is told at its start: the operators' settings file (DEPLOY, "What a process
/// is told"). Fields that are not named here are ignored. Pure but for fromEnvironment(); any thread.
///
/// Each setting is declared once, in the two lists below, since it has three uses: the member, the reading,
/// and its name in errors. Names in the file are the operators' and stay.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state.hpp"

// Member, type, place in the file (a JSON pointer), needed or not.
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
    X(tolerableMachineLosses, int, "/fault_tolerance/machines", false)            \
    X(tolerableZoneLosses, int, "/fault_tolerance/zones", false)                  \
    X(tolerableRegionLosses, int, "/fault_tolerance/regions", false)              \
    X(platformAddress, std::string, "/cloud_api/address", true)                   \
    X(platformCallsPerSecond, double, "/cloud_api/rate_per_s", false)

// Member, name in `bounds`, kind, value where it is not told. control_contact: for how long the answer of a
// member counts; control_replace: after how long without a message a member's seat goes to a standby (0: six
// tenths of sync_time).
#define BOOT_BOUNDS(X)                                                     \
    X(drainTime, "drain", duration, 2500 * 1'000'000LL)                    \
    X(shutdownGrace, "grace", duration, 6000 * 1'000'000LL)                \
    X(contactTime, "contact", duration, 3000 * 1'000'000LL)                \
    X(retryBudgetWindow, "retry_window", duration, 10'000 * 1'000'000LL)   \
    X(rollbackTime, "rollback", duration, 5000 * 1'000'000LL)              \
    X(syncTime, "sync_time", duration, 4000 * 1'000'000LL)                 \
    X(controlContactTime, "control_contact", duration, 1000 * 1'000'000LL) \
    X(controlReplaceAfter, "control_replace", duration, 0)                 \
    X(retryBudgetRatio, "retry_budget_ratio", number, 0.2)                 \
    X(retrySlack, "retry_slack", number, 20.0)                             \
    X(exposureShare, "exposure_share", number, 0.1)                        \
    X(exposureSlack, "exposure_slack", number, 50.0)

namespace lichenlanding::config {

/// Values as told. Durations are Nanos; ratios and counts a second are numbers.
struct BootstrapSettings {
#define X(member, type, place, needed) type member{};
    BOOT_SETTINGS(X)
#undef X
    using duration = Nanos;
    using number = double;
#define X(member, name, kind, otherwise) kind member = otherwise;
    BOOT_BOUNDS(X)
#undef X

    Nanos heartbeat = 1500 * 1'000'000LL;  // between two digests of proxies that watch each other; above 0

    /// Where the process of the machine with this IP takes peer connections: its first internal port.
    std::string peerAddress(const std::string& ip) const;

    /// Throws ParseError with the field as its subject.
    static BootstrapSettings parse(std::string_view bytes);
    /// Reads the file that LICHENLANDING_SETTINGS names. Throws ParseError.
    static BootstrapSettings fromEnvironment();
};

}  // namespace lichenlanding::config
