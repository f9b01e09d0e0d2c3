/// One scale run: starts the processes, goes through its phases and reports what they cost. One thread, its
/// own loop.
#pragma once

#include "scale_test/cost_report.hpp"
#include "scale_test/operator_client.hpp"
#include "scale_test/platform.hpp"
#include "scale_test/processes.hpp"
#include "scale_test/run_layout.hpp"

namespace lichenlanding::scale_test {

class ScaleRun {
  public:
    /// Throws std::runtime_error where the machine has no room for the plan.
    ScaleRun(const ScenarioConfig& plan, std::string program);
    ~ScaleRun();

    /// Blocks until the run is over, at the plan's limit at the latest. False where a phase did not come to
    /// its end.
    bool run();

  private:
    void checkRoom() const;
    void launchControlNode(std::int64_t n, bool bootstrap);
    void launchAll();
    std::string hollowProcessOf(std::int64_t proxy) const;
    bool allProxiesAppliedBy(std::int64_t version) const;

    // Ends of the run.
    transport::Task<> runPhases();
    transport::Task<> stopAtLimit();
    transport::Task<> watchMemory();
    void stopWith(const std::string& reason);

    // Phases (scale_phases.cpp), each left out where its setting is 0.
    transport::Task<> allPhases();
    transport::Task<> startPhase();
    transport::Task<> steadyPhase();
    transport::Task<> changesPhase();
    transport::Task<> endpointsPhase();
    transport::Task<> restartsPhase();
    transport::Task<> lossPhase();

    // What they are made of.
    struct ConfigurationChange {
        Nanos sent = 0, acknowledged = 0;
        std::vector<Nanos> served;  // by real proxies
    };
    transport::Task<> makeChanges(std::vector<ConfigurationChange>& changes);
    void reportChanges(const std::vector<ConfigurationChange>& changes);
    transport::Task<> collectServed(std::int64_t proxy, std::int64_t change, std::vector<Nanos>* served,
                                    int* open);
    transport::Task<Nanos> drainEndpoint();
    transport::Task<> collectDrained(std::vector<Nanos>* times, int* open);
    // Times of 0 have not come about.
    struct ControlNodeLoss {
        Nanos nextList = 0;          // until the platform is asked for a whole list again
        Nanos drainKnown = 0;        // of an endpoint that drains then, until the last proxy knows
        Nanos drainKnownAt = 0;      // the same since the loss
        std::vector<Nanos> applied;  // of a change made then, by proxy
        std::uint64_t connectionsEnded = 0, connectionsEndedByReturn = 0;
        Nanos connectedAfter = 0;  // its return, until every proxy is connected
    };
    transport::Task<> loseControlNode(std::int64_t lost, ControlNodeLoss& loss);
    void reportLoss(const ControlNodeLoss& loss);
    std::int64_t endpointPublisher(const Snapshot& from, const Snapshot& to) const;

    Snapshot snapshot() const;
    void report(const std::string& phase, const Snapshot& from, const Snapshot& to);

    const ScenarioConfig plan_;
    std::string folder_;  // temporary, of settings and data
    transport::asio::io_context io_{1};
    Platform platform_;
    RunLayout layout_;
    Observations observations_;
    Processes processes_;
    OperatorClient operator_;
    CostReport report_;
    const Nanos began_ = transport::now();
    std::uint64_t peakMemory_ = 0;  // bytes, of all processes together
    std::string phase_ = "start";
    std::string failure_;  // why it is not whole
    bool whole_ = false;
    std::int64_t publisher_ = 0;  // the control node that follows the platform's list, in the steady phase
};

}  // namespace lichenlanding::scale_test
