/// A proxy's part in rollouts: it sends its outcomes to the voters and, where it is a voter itself, judges
/// the sums of all and tells the control nodes. One thread, the proxy's loop.
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
    /// All but `onEnded` outlive this; `onEnded` is called when no rollout is running any more.
    RolloutVoting(transport::asio::io_context& io, const config::BootstrapSettings& settings,
                  std::uint64_t life, routing::Router& router, const FleetMembership& fleet,
                  const PeerConnections& connections, std::function<void()> onEnded);

    /// The rollouts have changed: counts and judges as long as one is running.
    void onRollouts();
    /// Another proxy's outcomes, for this one as a voter.
    void onCounts(OutcomeCounts counts);

  private:
    transport::Task<> countWhileRunning();
    void sendCounts(const messages::Rollout& rollout);
    void judge(const messages::Rollout& rollout);

    transport::asio::io_context& io_;
    const config::BootstrapSettings& settings_;
    const std::uint64_t life_;
    routing::Router& router_;
    const FleetMembership& fleet_;
    const PeerConnections& connections_;
    std::function<void()> onEnded_;
    std::uint64_t sentCounts_ = 0;                            // the number of the last message of this life
    std::map<std::string, verdict::TotalsAggregator> pools_;  // by rollout
    std::map<std::string, Nanos> nextJudgement_;              // by rollout
    std::mt19937 chance_{std::random_device{}()};
    bool counting_ = false;
};

}  // namespace lichenlanding::proxy
