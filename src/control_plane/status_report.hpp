// The status of this control node, for the admin call `status` and the metrics page. Contains only what this
// process knows; no other process is queried.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control_plane/lease_holder.hpp"

namespace lichenlanding::control_plane {

struct ProxyStatus {
    std::string address;
    std::uint64_t incarnation = 0;
    std::size_t lostBy = 0;     ///< number of proxies that watch it and have lost contact with it
    std::string configuration;  ///< the version that it has acknowledged
};

struct PodCounts {
    int ready = 0, draining = 0;
};

struct StatusReport {
    std::string node;
    bool blankDisk = false;  ///< its replica is not a voting member
    std::size_t members = 0, connectedPeers = 0;
    Json quorum = Json::object();  ///< ReplicaNode::describe()
    std::string configuration;     ///< version; "" if there is none yet
    std::map<std::string, LeaseStatus> leases;
    std::map<std::string, ProxyStatus> proxies;                    ///< by name
    std::map<std::string, std::map<std::string, PodCounts>> pods;  ///< by service and version
    Json rollouts = Json::array();                                 ///< as stored in the register
    std::vector<Json> votes;                                       ///< as received from the proxies
    std::uint64_t adminRequests = 0;
    std::size_t adminConnections = 0;  ///< currently open; reported in the metrics only
    // Reported in the metrics only: bytes of admin requests and responses in progress, highest resident
    // memory.
    std::size_t adminBytes = 0, peakMemoryBytes = 0;
    std::uint64_t listRequests = 0, listRateLimited = 0;  ///< pages requested; of these, answered with 429
};

/// The response body of the admin call `status`.
Json encodeStatus(const StatusReport& report);

/// The response body of GET /metrics, in the Prometheus text format.
std::string encodeMetrics(const StatusReport& report);

}  // namespace lichenlanding::control_plane
