// This control node's part in the duties: it stands for those that nobody has, by a ballot in the register,
// and has one only while it is in contact with a majority and the register names it. When to stand is
// src/leases'.
#pragma once

#include "control_plane/replica_node.hpp"
#include "leases/leases.hpp"

namespace lichenlanding::control_plane {

inline const std::string kEndpointListLease = "list", kRolloutsLease = "rollouts";

class LeaseHolder {
  public:
    // `hears`: addresses of the control nodes heard of late; `highestTermSeen`: the highest that proxies have
    // told. A register that was set up anew from an old copy may stand below it; then the holder raises it.
    // All outlive this.
    LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self,
                std::function<std::set<std::string>()> hears, std::function<std::uint64_t()> highestTermSeen);

    Task<> run();  // for good
    bool holdsLease(const std::string& lease) const;
    std::uint64_t term(const std::string& lease) const;  // of the present holder; 0: none

    Json hears() const { return hears_(); }                           // to be told to the other control nodes
    void onReachability(const std::string& from, const Json& hears);  // as another told it
    Json describe() const;                                            // for `status`

  private:
    struct ReportedReachability {
        std::set<std::string> hears;
        Nanos at = 0;
    };
    leases::Reachability reachability() const;
    Task<> acquire(std::string lease, std::uint64_t seen);
    const leases::Leases& currentLeases() const;

    ReplicaNode& replica_;
    leases::ProcessIdentity self_;
    std::function<std::set<std::string>()> hears_;
    std::function<std::uint64_t()> highestTermSeen_;
    std::map<std::string, leases::LeaseMonitor> monitors_;        // by duty
    std::map<std::string, ReportedReachability> reachabilityOf_;  // by control node's address
    bool confirmed_ = false;  // read from a majority since contact was had again
    mutable consensus::ProposalNumber readAt_;
    mutable leases::Leases read_;
};

}  // namespace lichenlanding::control_plane
