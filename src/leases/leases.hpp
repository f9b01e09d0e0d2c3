// Who has which lease (to follow the platform's list, to steer rollouts): a cell of the register names holder
// and term of each, raised by a ballot. What a holder tells carries the term, and receivers drop a lower one:
// that two think they have a lease for a moment does no harm, and no clock decides between them.
//
// Pure: who hears whom, and the steady time, come in as arguments.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "consensus/consensus.hpp"
#include "state.hpp"

namespace lichenlanding::leases {

struct Lease {
    std::string holder;             // its address
    std::uint64_t incarnation = 0;  // drawn by the holder's process at its start
    std::uint64_t term = 0;         // rises with each holder; 0: nobody has had it
    bool operator==(const Lease&) const = default;
};
using Leases = std::map<std::string, Lease>;  // by the lease's name

// As the register keeps them; "" is none. Throws nlohmann::json::exception on text of another shape.
std::string encodeLeases(const Leases& leases);
Leases decodeLeases(const std::string& text);

struct ProcessIdentity {
    std::string address;
    std::uint64_t incarnation = 0;
};

// A member that comes back under its address as another process has no lease any more.
bool isHeldBy(const Lease& lease, const ProcessIdentity& self);

// Who hears whom of late, by address: the own row from the own links, the others' as they told it.
using Reachability = std::map<std::string, std::set<std::string>>;

// Whether `holder` reaches a majority of the members, as far as those say that are heard. A cut between two
// of them alone takes no lease away: it would go to and fro between them.
bool reachesMajority(const std::string& holder, const std::set<std::string>& members,
                     const Reachability& hears);

constexpr Nanos kUnreachableFor =
    200'000'000;  // a holder that reaches no majority for so long has lost the lease
constexpr Nanos kCandidateDelay = 400'000'000;  // each next candidate waits so much longer

// When one member stands for one lease.
class LeaseMonitor {
  public:
    LeaseMonitor(std::string lease, ProcessIdentity self)
        : lease_(std::move(lease)), self_(std::move(self)) {}
    // Whether to take it by a ballot now. The taker is chosen by rendezvous among the members heard, the next
    // ones follow it in steps, so two seldom race; where they do, the ballot decides.
    bool shouldAcquire(const Lease& held, const std::set<std::string>& members, const Reachability& hears,
                       Nanos now);

  private:
    std::string lease_;
    ProcessIdentity self_;
    Nanos unreachableSince_ = -1;
    std::uint64_t term_ = 0;  // that the absence was seen in
};

// The ballot's change: raises the term above `seen`, and leaves things as they are where another was sooner.
consensus::Change acquireLease(std::string lease, ProcessIdentity self, std::uint64_t seen);

}  // namespace lichenlanding::leases
