/// What each phase of a run cost, printed as JSON lines while it goes on and as tables at its end. Standard
/// output; one thread.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale_test/measure.hpp"
#include "scale_test/observations.hpp"

namespace lichenlanding::scale_test {

/// All that is counted, at one moment.
struct Snapshot {
    Reading reading;
    std::map<std::string, MessageTally> tallies;  ///< by process
};

/// The run's own process, which is the operator and the platform: its name, and its role in printed lines.
inline constexpr const char* kOutsideProcess = "operator and platform";
inline constexpr const char* kOutsideRole = "outside";

/// Roles by process as they are printed, with hollow processes as the proxies that they hold.
std::map<std::string, std::string> peerRoles(const std::map<std::string, Role>& roles);

class CostReport {
  public:
    /// So many hollow proxies are in the run.
    explicit CostReport(std::int64_t hollowProxies) : hollowProxies_(hollowProxies) {}

    /// Prints what each process cost between two snapshots, and adds the dearest control node, one real proxy
    /// and the mean hollow proxy to the table of costs.
    void addPhase(const std::string& phase, const Snapshot& from, const Snapshot& to,
                  const std::map<std::string, Role>& roles);
    /// Prints a measured time and adds it to the table of times. `about` has "spread" (report.hpp) and may
    /// have more.
    void addTime(const std::string& what, nlohmann::json about);
    void printTables() const;

    static void print(const nlohmann::json& line);

  private:
    using Row = std::vector<nlohmann::json>;
    // A phase between two snapshots.
    struct Phase {
        std::string name;
        const Snapshot& from;
        const Snapshot& to;
        std::map<std::string, std::string> peers;  // roles by process
        double seconds() const;
        Nanos cpuOf(const std::string& process) const;
    };
    // Of all hollow processes together.
    struct HollowTotals {
        std::map<std::string, Flow> flows;  // by role of the peer
        Nanos cpu = 0;
        std::uint64_t memory = 0;
    };

    static Row addProcess(const Phase& phase, const std::string& process, Role role);
    void addHollow(const Phase& phase, const HollowTotals& hollow);

    std::int64_t hollowProxies_;
    std::vector<Row> costs_, times_;
};

double roundedSeconds(Nanos span);
double roundedMegabytes(std::uint64_t bytes);

}  // namespace lichenlanding::scale_test
