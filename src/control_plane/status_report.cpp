#include "control_plane/status_report.hpp"

namespace lichenlanding::control_plane {
namespace {

Json encodeHeldLeases(const StatusReport& report) {
    Json names = Json::array();
    for (const auto& [name, lease] : report.leases)
        if (lease.heldHere) names.push_back(name);
    return names;
}

Json encodeLeases(const StatusReport& report) {
    Json leases = Json::object();
    for (const auto& [name, lease] : report.leases)
        leases[name] = {{"holder", lease.holder}, {"term", lease.term}, {"mine", lease.heldHere}};
    return leases;
}

Json encodeProxies(const StatusReport& report) {
    Json proxies = Json::object();
    for (const auto& [name, proxy] : report.proxies)
        proxies[name] = {{"at", proxy.address},
                         {"life", proxy.incarnation},
                         {"missed_by", proxy.lostBy},
                         {"configuration", proxy.configuration}};
    return proxies;
}

Json encodePods(const StatusReport& report) {
    Json pods = Json::object();
    for (const auto& [service, versions] : report.pods)
        for (const auto& [version, counts] : versions)
            pods[service][version] = Json::array({counts.ready, counts.draining});
    return pods;
}

}  // namespace

Json encodeStatus(const StatusReport& report) {
    return {{"node", report.node},
            {"blank", report.blankDisk},
            {"members", report.members},
            {"reached", report.connectedPeers},
            {"register", report.quorum},
            {"configuration", report.configuration},
            {"duty", encodeHeldLeases(report)},
            {"duties", encodeLeases(report)},
            {"foyers", encodeProxies(report)},
            {"pods", encodePods(report)},
            {"rollouts", report.rollouts},
            {"votes", report.votes},
            {"calls", report.adminRequests},
            {"list_calls", report.listRequests},
            {"list_refused", report.listRateLimited}};
}

std::string encodeMetrics(const StatusReport& report) {
    std::size_t behind = 0;
    for (const auto& [_, proxy] : report.proxies) behind += proxy.configuration != report.configuration;
    std::size_t pods = 0;
    for (const auto& [_, versions] : report.pods)
        for (const auto& [_2, counts] : versions)
            pods += static_cast<std::size_t>(counts.ready + counts.draining);
    std::string page;
    const auto add = [&](const char* name, const char* kind, std::uint64_t value) {
        page += std::string("# TYPE lichenlanding_") + name + " " + kind + "\nlichenlanding_" + name + " " +
                std::to_string(value) + "\n";
    };
    add("members_reached", "gauge", report.connectedPeers);
    add("disk_blank", "gauge", report.blankDisk ? 1 : 0);
    add("foyers", "gauge", report.proxies.size());
    add("foyers_behind", "gauge", behind);
    add("pods", "gauge", pods);
    add("rollouts", "gauge", report.rollouts.size());
    add("operator_callers", "gauge", report.adminConnections);
    add("operator_calls_total", "counter", report.adminRequests);
    add("operator_bytes", "gauge", report.adminBytes);
    add("memory_peak_bytes", "gauge", report.peakMemoryBytes);
    add("list_calls_total", "counter", report.listRequests);
    add("list_refused_total", "counter", report.listRateLimited);
    return page;
}

}  // namespace lichenlanding::control_plane
