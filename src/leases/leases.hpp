// Leases: which control plane process polls the endpoint list, and which one advances rollouts. One value of
// the register names holder, incarnation and term of each lease; a ballot raises the term. What a holder
// sends carries its term and receivers drop lower ones, so two processes that both believe for a moment that
// they hold a lease do no harm, and no clock decides between them.
//
// Pure: reachability and steady time come in as arguments.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "consensus/consensus.hpp"
#include "state.hpp"

namespace lichenlanding::leases {

struct Lease {
    std::string holder;             ///< internal address of the process
    std::uint64_t incarnation = 0;  ///< drawn by the holder's process at its start
    std::uint64_t term = 0;         ///< rises with each holder; 0: never held
    bool operator==(const Lease&) const = default;
};
using Leases = std::map<std::string, Lease>;  ///< by the lease's name

/// As the register keeps them.
std::string encodeLeases(const Leases& leases);
/// "" is none. Throws nlohmann::json::exception on text of another shape.
Leases decodeLeases(const std::string& text);

/// One process: a member that restarts under its address is another one.
struct ProcessIdentity {
    std::string address;
    std::uint64_t incarnation = 0;
};

bool isHeldBy(const Lease& lease, const ProcessIdentity& process);

/// Whom each process reaches, by address: the own entry from the own connections, the others' as they last
/// reported it.
using Reachability = std::map<std::string, std::set<std::string>>;

/// Whether `holder` reaches a majority of `members`, going by the reports of those that report. Losing the
/// connection to a single member costs nobody a lease: it would move back and forth between the two.
bool reachesMajority(const std::string& holder, const std::set<std::string>& members,
                     const Reachability& reachability);

/// A holder that reaches no majority for so long has lost the lease (nanoseconds).
constexpr Nanos kUnreachableFor = 200'000'000;
/// So much longer does each next candidate wait (nanoseconds).
constexpr Nanos kCandidateDelay = 400'000'000;

/// Decides when one process tries to acquire one lease.
class LeaseMonitor {
  public:
    LeaseMonitor(std::string lease, ProcessIdentity self)
        : lease_(std::move(lease)), self_(std::move(self)) {}

    /// Whether to propose acquireLease() now. Candidates are ordered by rendezvous hashing among the members
    /// reached, each next one waits a step longer, so two seldom propose at once; where they do, the ballot
    /// decides. `current` as the register has it, `now` of the steady clock.
    bool shouldAcquire(const Lease& current, const std::set<std::string>& members,
                       const Reachability& reachability, Nanos now);

  private:
    Nanos delay(const Lease& current, const std::set<std::string>& members,
                const Reachability& reachability) const;

    std::string lease_;
    ProcessIdentity self_;
    Nanos unreachableSince_ = -1;  // -1: the holder is reachable
    std::uint64_t unreachableInTerm_ = 0;
};

/// The ballot's change: `process` holds the lease in the term above `termSeen`. Where another process has
/// acquired it since, the value stays as it is.
consensus::Change acquireLease(std::string lease, ProcessIdentity process, std::uint64_t termSeen);

}  // namespace lichenlanding::leases
