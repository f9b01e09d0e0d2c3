/// What the processes of a run have told: facts of hollow proxies, log records of all. Times are steady
/// nanoseconds, which all processes share. One thread.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "scale_test/processes.hpp"

namespace lichenlanding::scale_test {

/// Messages of the hollow proxies of one process since its start, by kind of the peer.
struct MessageTally {
    std::map<std::string, std::uint64_t> heard, sent;
};

class Observations {
  public:
    /// A line of a process; `now` for what does not name its time.
    void add(const std::string& process, Role role, const nlohmann::json& line, Nanos now);

    /// When a proxy became ready, by its name: once in each life.
    std::map<std::string, std::vector<Nanos>> readyTimes;
    /// When an endpoint was told to be draining or gone: by its id and by proxy.
    std::map<std::string, std::map<std::string, Nanos>> endpointChanges;
    /// Names of the proxies that are connected, by the address of the control node.
    std::map<std::string, std::set<std::string>> connections;
    std::uint64_t connectionsEnded = 0;
    std::map<std::string, MessageTally> tallies;                            ///< by process
    std::map<std::string, std::map<std::string, std::int64_t>> logRecords;  ///< by role and event

    /// When each proxy held a configuration of at least `version`, if it did, after `since` (0 where it was
    /// before).
    std::vector<Nanos> appliedTimes(std::int64_t version, Nanos since) const;

  private:
    void addLogRecord(const std::string& process, Role role, const nlohmann::json& record, Nanos now);

    std::map<std::string, std::vector<std::pair<Nanos, std::int64_t>>>
        applied_;  // time and version, by proxy
};

}  // namespace lichenlanding::scale_test
