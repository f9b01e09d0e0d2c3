/// Plans which machines should be members of the register, given the available machines and the fault
/// tolerance in the settings, and checks which losses a set of members survives.
///
/// Pure and thread-safe. Agreement on a change of the members is in src/consensus.
#pragma once

#include <string>
#include <vector>

#include "consensus/consensus.hpp"

namespace lichenlanding::membership {

/// The losses to survive with all guarantees kept: this number of machines, or zones, or regions at once.
/// Each 0 or more.
struct FaultTolerance {
    int machines = 0, zones = 0, regions = 0;
};

/// A machine that could be a member, as seen by the planning replica.
struct Candidate {
    consensus::Member member;
    bool complete = false;  ///< its disk has every value in force but for those of a short time, synced
    bool present = false;   ///< a message arrived from it recently, and it is not leaving
};

/// One entry, such as "1 zone", for each kind of loss in `tolerance` that these members don't survive.
std::vector<std::string> unmetTolerance(const std::vector<consensus::Member>& members,
                                        const FaultTolerance& tolerance);

/// The planned members, ordered by address: the smallest set that survives the losses in `tolerance`, spread
/// over regions and zones, preferring members of `current`.
///
/// An absent member stays until a complete candidate replaces it, and the number of members never falls. If
/// not every loss can be survived, the loss of machines has priority over that of zones and regions.
std::vector<consensus::Member> planMembers(const std::vector<consensus::Member>& current,
                                           const std::vector<Candidate>& candidates,
                                           const FaultTolerance& tolerance);

}  // namespace lichenlanding::membership
