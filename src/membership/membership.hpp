/// Which machines should be members of the register, and which losses a set of members survives: decided from
/// what the settings say may be lost at once and from the machines at hand.
///
/// Pure and thread-safe. How a change of the members is agreed is src/consensus's.
#pragma once

#include <string>
#include <vector>

#include "consensus/consensus.hpp"

namespace lichenlanding::membership {

/// What may be lost at once with all guarantees kept: so many machines, or zones, or regions. Each 0 or more.
struct FaultTolerance {
    int machines = 0, zones = 0, regions = 0;
};

/// A machine that could be a member, as the one who plans sees it.
struct Candidate {
    consensus::Member member;
    bool complete = false;  ///< its disk holds all values in force, synced
    bool present = false;   ///< heard of late, and not about to leave
};

/// One entry for each kind of loss that these members don't survive, such as "1 zone".
std::vector<std::string> unmetTolerance(const std::vector<consensus::Member>& members,
                                        const FaultTolerance& tolerance);

/// The members that there should be, in order of address: as few as survive what `tolerance` names, spread
/// over regions and zones, those of `now` before others.
///
/// A place is never given up for nothing: an absent member stays until another that is complete replaces it,
/// and the number of members never falls. Where not every loss can be survived, machines go before zones and
/// regions.
std::vector<consensus::Member> planMembers(const std::vector<consensus::Member>& now,
                                           const std::vector<Candidate>& candidates,
                                           const FaultTolerance& tolerance);

}  // namespace lichenlanding::membership
