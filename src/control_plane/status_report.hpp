// What a control plane process tells of itself: for the admin call `status` and for the page of metrics.
// Nothing is asked of other processes.
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
    std::size_t lostBy = 0;     ///< proxies that watch it and have lost it
    std::string configuration;  ///< the version that it has acknowledged
};

struct PodCounts {
    int ready = 0, draining = 0;
};

struct StatusReport {
    std::string node;
    bool blankDisk = false;  ///< its replica is part of no majority
    std::size_t members = 0, connectedPeers = 0;
    Json quorum = Json::object();  ///< ReplicaNode::describe()
    std::string configuration;     ///< version; "" for none yet
    std::map<std::string, LeaseStatus> leases;
    std::map<std::string, ProxyStatus> proxies;                    ///< by name
    std::map<std::string, std::map<std::string, PodCounts>> pods;  ///< by service and version
    Json rollouts = Json::array();                                 ///< as the register has them
    std::vector<Json> votes;                                       ///< as the proxies sent them
    std::uint64_t adminRequests = 0;
    std::size_t adminConnections = 0;                     ///< open now; in the metrics alone
    std::uint64_t listRequests = 0, listRateLimited = 0;  ///< pages asked for; of these, answered 429
};

/// The answer to `status`.
Json encodeStatus(const StatusReport& report);

/// The answer to GET /metrics, in the text format that scrapers read.
std::string encodeMetrics(const StatusReport& report);

}  // namespace lichenlanding::control_plane
