/// Leases: which control node polls the endpoint list, and which one advances rollouts. One value of the
/// register has the holder, its incarnation and the term of each lease; each acquisition is a proposal that
/// raises the term. The term is a fencing token: a holder's messages carry it, and receivers drop lower
/// terms. So two processes that both believe for a moment that they hold a lease do no harm, and no clock
/// decides between them.
///
/// Pure: reachability and steady time are arguments. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "consensus/consensus.hpp"
#include "state.hpp"

namespace lichenlanding::leases {

struct Lease {
    std::string holder;             ///< the control node's internal address
    std::uint64_t incarnation = 0;  ///< chosen by the holder's process at its start
    std::uint64_t term = 0;         ///< rises with each holder; 0: never held
    bool operator==(const Lease&) const = default;
};
using Leases = std::map<std::string, Lease>;  ///< by the lease's name

/// The register's value, a JSON object.
std::string encodeLeases(const Leases& leases);
/// No leases from "". Throws nlohmann::json::exception on malformed text.
Leases decodeLeases(const std::string& text);

/// Identifies one process: after a restart the same address has another incarnation.
struct ProcessIdentity {
    std::string address;
    std::uint64_t incarnation = 0;
};

bool isHeldBy(const Lease& lease, const ProcessIdentity& process);

/// The addresses that each process reaches, by address: this process's from its own connections, the others'
/// as last reported.
using Reachability = std::map<std::string, std::set<std::string>>;

/// Whether `holder` is reached by a majority of `members`, itself included, according to the available
/// reports. The loss of the connection to a single member does not end a lease: it would move back and forth
/// between the two.
bool reachesMajority(const std::string& holder, const std::set<std::string>& members,
                     const Reachability& reachability);

/// A holder without a majority for this time (nanoseconds) has lost the lease.
constexpr Nanos kUnreachableFor = 200'000'000;
/// Additional wait of each further candidate (nanoseconds).
constexpr Nanos kCandidateDelay = 400'000'000;

/// Decides when this process should try to acquire one lease.
class LeaseMonitor {
  public:
    LeaseMonitor(std::string lease, ProcessIdentity self)
        : lease_(std::move(lease)), self_(std::move(self)) {}

    /// Whether to propose acquireLease() now. The members reached are ranked as candidates by rendezvous
    /// hashing, and each waits longer than the one before, so two seldom propose at once; if they do, the
    /// register accepts one. `current`: the lease in the register; `now`: steady time.
    bool shouldAcquire(const Lease& current, const std::set<std::string>& members,
                       const Reachability& reachability, Nanos now);

  private:
    Nanos delay(const Lease& current, const std::set<std::string>& members,
                const Reachability& reachability) const;

    std::string lease_;
    ProcessIdentity self_;
    Nanos unreachableSince_ = -1;  // -1: the holder has a majority
    std::uint64_t unreachableInTerm_ = 0;
};

/// The change to propose to the register: `process` holds the lease in the term above `termSeen`. If the
/// lease has a higher term by then, the value stays as it is.
consensus::Change acquireLease(std::string lease, ProcessIdentity process, std::uint64_t termSeen);

}  // namespace lichenlanding::leases
