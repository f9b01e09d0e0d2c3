/// Prints the resource use of each phase of a run to standard output: JSON lines during the run, tables at
/// its end. Single-threaded.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale_test/measure.hpp"
#include "scale_test/observations.hpp"

namespace lichenlanding::scale_test {

/// All counters at one point in time.
struct Snapshot {
    UsageReading reading;
    std::map<std::string, MessageCounts> messageCounts;  ///< by process
};

/// Name and role, in printed lines, of the run's own process, which acts as the operator and the platform.
inline constexpr const char* kOutsideProcess = "operator and platform";
inline constexpr const char* kOutsideRole = "outside";

/// Printed roles by process name. A process of simulated proxies has the role of a proxy.
std::map<std::string, std::string> peerRoles(const std::map<std::string, Role>& roles);

class CostReport {
  public:
    explicit CostReport(std::int64_t simulatedProxies) : simulatedProxies_(simulatedProxies) {}

    /// Prints the resource use of each process between two snapshots. Adds the control node with the highest
    /// CPU time, one real proxy and the mean simulated proxy to the table of costs.
    void addPhase(const std::string& phase, const Snapshot& from, const Snapshot& to,
                  const std::map<std::string, Role>& roles);
    /// Prints a measured time and adds it to the table of times. `about` must have "spread", the result of
    /// summarizeTimes() in report.hpp; further fields are printed too.
    void addTime(const std::string& what, nlohmann::json about);
    void printTables() const;

    static void print(const nlohmann::json& line);

  private:
    using Row = std::vector<nlohmann::json>;
    // A phase, from its first to its last snapshot.
    struct Phase {
        std::string name;
        const Snapshot& from;
        const Snapshot& to;
        std::map<std::string, std::string> peers;  // printed roles by process
        double seconds() const;
        Nanos cpuOf(const std::string& process) const;
    };
    // Sums over all processes of simulated proxies.
    struct SimulatedTotals {
        std::map<std::string, Flow> flows;  // by the peer's role
        Nanos cpu = 0;
        std::uint64_t memory = 0;
    };

    static Row addProcess(const Phase& phase, const std::string& process, Role role);
    void addSimulatedProxies(const Phase& phase, const SimulatedTotals& simulated);

    std::int64_t simulatedProxies_;
    std::vector<Row> costs_, times_;
};

double roundedSeconds(Nanos span);
double roundedMegabytes(std::uint64_t bytes);

}  // namespace lichenlanding::scale_test
