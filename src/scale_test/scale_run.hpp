/// One run: starts the processes, executes the phases and reports their resource use. Single-threaded, on its
/// own event loop.
#pragma once

#include "scale_test/cost_report.hpp"
#include "scale_test/operator_client.hpp"
#include "scale_test/platform.hpp"
#include "scale_test/processes.hpp"
#include "scale_test/run_layout.hpp"

namespace lichenlanding::scale_test {

class ScaleRun {
  public:
    /// Throws std::runtime_error if the scenario exceeds the limits of the machine.
    ScaleRun(const ScenarioConfig& scenario, std::string program);
    ~ScaleRun();

    /// Blocks until the run is over, for the scenario's limit at most. False if a phase did not complete.
    bool run();

  private:
    void checkCapacity() const;
    void launchControlNode(std::int64_t n, bool bootstrap);
    void launchAll();
    std::string simulatorProcessOf(std::int64_t proxy) const;
    bool allProxiesAppliedBy(std::int64_t version) const;

    // The run as a whole, and the conditions that stop it.
    transport::Task<> runPhases();
    transport::Task<> stopAtLimit();
    transport::Task<> monitorMemory();
    void stopWith(const std::string& reason);

    // Phases (scale_phases.cpp); phases after the steady one are skipped if their setting is 0.
    transport::Task<> executePhases();
    transport::Task<> startPhase();
    transport::Task<> steadyPhase();
    transport::Task<> changesPhase();
    transport::Task<> endpointsPhase();
    transport::Task<> restartsPhase();
    transport::Task<> lossPhase();

    // Steps of the phases.
    struct ConfigurationChange {
        Nanos sent = 0, acknowledged = 0;
        std::vector<Nanos> served;  // times of the real proxies
    };
    transport::Task<> sendChanges(std::vector<ConfigurationChange>& changes);
    void reportChanges(const std::vector<ConfigurationChange>& changes);
    transport::Task<> recordServed(std::int64_t proxy, std::int64_t change, std::vector<Nanos>* served,
                                   int* open);
    transport::Task<Nanos> drainEndpoint();
    transport::Task<> recordDrained(std::vector<Nanos>* times, int* open);
    // Results of the loss phase. A time is 0 if the event did not occur before the timeout.
    struct ControlNodeLoss {
        Nanos nextList = 0;          // until the platform has served a complete list again
        Nanos drainKnown = 0;        // from an endpoint's draining until the last proxy knows
        Nanos drainKnownAt = 0;      // the same, from the loss on
        std::vector<Nanos> applied;  // of a change made meanwhile, by proxy
        std::uint64_t connectionsEnded = 0, connectionsEndedByReturn = 0;
        Nanos connectedAfter = 0;  // from its return until every proxy is connected
    };
    transport::Task<> loseControlNode(std::int64_t lostNode, ControlNodeLoss& loss);
    void reportLoss(const ControlNodeLoss& loss);
    std::int64_t endpointPublisher(const Snapshot& from, const Snapshot& to) const;

    Snapshot snapshot() const;
    void report(const std::string& phase, const Snapshot& from, const Snapshot& to);

    const ScenarioConfig scenario_;
    std::string folder_;  // temporary, for settings and data
    transport::asio::io_context io_{1};
    Platform platform_;
    RunLayout layout_;
    Observations observations_;
    Processes processes_;
    OperatorClient operator_;
    CostReport report_;
    const Nanos startTime_ = transport::now();
    std::uint64_t peakMemory_ = 0;  // bytes, of all processes together
    std::string phase_ = "start";
    std::string failure_;  // why the run is incomplete
    bool complete_ = false;
    // Index of the control node that polled the platform in the steady phase.
    std::int64_t endpointPublisher_ = 0;
};

}  // namespace lichenlanding::scale_test
