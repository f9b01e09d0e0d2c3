/// Collects the output of the processes of a run: facts of simulated proxies (facts.hpp) and log records of
/// all processes. Times are steady-clock nanoseconds, which all processes share. Single-threaded.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "scale_test/processes.hpp"

namespace lichenlanding::scale_test {

/// Messages of the simulated proxies of one process since its start, by the peer's role.
struct MessageCounts {
    std::map<std::string, std::uint64_t> received, sent;
};

class Observations {
  public:
    /// Adds a line of a process's output. `now` is used for lines without a time of their own.
    void add(const std::string& process, Role role, const nlohmann::json& line, Nanos now);

    /// Times at which each proxy became ready, by its name: one for each start.
    std::map<std::string, std::vector<Nanos>> readyTimes;
    /// When a proxy learned that an endpoint is draining or removed, by endpoint id and proxy name.
    std::map<std::string, std::map<std::string, Nanos>> endpointChanges;
    /// Names of the connected proxies, by the address of the control node.
    std::map<std::string, std::set<std::string>> connections;
    std::uint64_t connectionsEnded = 0;
    std::map<std::string, MessageCounts> messageCounts;                     ///< by process
    std::map<std::string, std::map<std::string, std::int64_t>> logRecords;  ///< by role and event

    /// Time from `since` until each proxy applied a configuration of at least `version`; 0 if it had before.
    /// Excludes proxies that have not applied one.
    std::vector<Nanos> appliedTimes(std::int64_t version, Nanos since) const;

  private:
    void addLogRecord(const std::string& process, Role role, const nlohmann::json& record, Nanos now);

    std::map<std::string, std::vector<std::pair<Nanos, std::int64_t>>>
        applied_;  // time and version, by proxy
};

}  // namespace lichenlanding::scale_test
