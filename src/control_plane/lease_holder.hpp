// This control node's part in the duties: it stands for those that nobody has, by a ballot in the register,
// and has one only while it is in contact with a majority and the register names it. When to stand is
// src/leases'.
#pragma once

#include "control_plane/replica_node.hpp"
#include "leases/leases.hpp"

namespace lichenlanding::control_plane {

inline const std::string kListDuty = "list", kRolloutsDuty = "rollouts";

class LeaseHolder {
  public:
    // `hears`: addresses of the control nodes heard of late; `listTerm`: the highest that proxies have told.
    // A register that was set up anew from an old copy may stand below it; then the holder raises it. All
    // outlive this.
    LeaseHolder(ReplicaNode& replica, leases::ProcessIdentity self,
                std::function<std::set<std::string>()> hears, std::function<std::uint64_t()> listTerm);

    Task<> run();  // for good
    bool has(const std::string& duty) const;
    std::uint64_t term(const std::string& duty) const;  // of the present holder; 0: none

    Json hears() const { return hears_(); }                  // to be told to the other control nodes
    void heard(const std::string& from, const Json& hears);  // as another told it
    Json describe() const;                                   // for `status`

  private:
    struct Row {
        std::set<std::string> hears;
        Nanos at = 0;
    };
    leases::Reachability rows() const;
    Task<> take(std::string duty, std::uint64_t seen);
    const leases::Leases& held() const;

    ReplicaNode& replica_;
    leases::ProcessIdentity self_;
    std::function<std::set<std::string>()> hears_;
    std::function<std::uint64_t()> listTerm_;
    std::map<std::string, leases::LeaseMonitor> watches_;  // by duty
    std::map<std::string, Row> rows_;                      // by control node's address
    bool confirmed_ = false;                               // read from a majority since contact was had again
    mutable consensus::ProposalNumber readAt_;
    mutable leases::Leases read_;
};

}  // namespace lichenlanding::control_plane
