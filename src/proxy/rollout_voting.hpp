/// A proxy's role in rollouts: it sends its outcome counts to the voters and, if it is a voter itself,
/// evaluates the total counts and sends its vote to the control nodes. Used from one thread: the proxy's
/// event loop.
#pragma once

#include <map>
#include <random>

#include "proxy/fleet_membership.hpp"
#include "proxy/peer_connections.hpp"
#include "routing/router.hpp"
#include "verdict/rollout.hpp"

namespace lichenlanding::proxy {

class RolloutVoting {
  public:
    /// All arguments except `onEnded` must outlive this object. `onEnded` is called when no rollout is
    /// running any more.
    RolloutVoting(transport::asio::io_context& io, const config::BootstrapSettings& settings,
                  std::uint64_t incarnation, routing::Router& router, const FleetMembership& fleet,
                  const PeerConnections& connections, std::function<void()> onEnded);

    /// Called when the rollouts have changed. Counts and evaluates as long as one is running.
    void onRollouts();
    /// Handles the outcome counts of another proxy; this one is a voter.
    void onCounts(OutcomeCounts counts);

  private:
    transport::Task<> countWhileRunning();
    void sendCounts(const messages::Rollout& rollout);
    void evaluate(const messages::Rollout& rollout);

    transport::asio::io_context& io_;
    const config::BootstrapSettings& settings_;
    const std::uint64_t incarnation_;
    routing::Router& router_;
    const FleetMembership& fleet_;
    const PeerConnections& connections_;
    std::function<void()> onEnded_;
    std::uint64_t lastSequence_ = 0;  // of the last counts sent in this incarnation
    std::map<std::string, verdict::TotalsAggregator> aggregators_;  // by rollout key
    std::map<std::string, Nanos> nextEvaluation_;                   // by rollout key
    std::mt19937 random_{std::random_device{}()};
    bool counting_ = false;
};

}  // namespace lichenlanding::proxy
