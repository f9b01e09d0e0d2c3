// Who should keep the register, and what that bears: decided from what the settings say may be lost at once
// and from the machines at hand. Pure; how a change is agreed is src/consensus's.
#pragma once

#include <string>
#include <vector>

#include "consensus/consensus.hpp"
#include "state.hpp"

namespace lichenlanding::membership {

// What may be lost at once with all rules kept: so many machines, or zones, or regions. Each 0 or more.
struct FaultTolerance {
    int machines = 0, zones = 0, regions = 0;
};

// A machine that could keep a copy, as the one who plans sees it.
struct Candidate {
    consensus::Member member;
    bool complete = false;  // its disk holds all values in force, synced
    bool present = false;   // heard of late, and not about to leave
};

// One line for each kind of loss that these members don't bear, such as "1 zone"; none: all is borne.
std::vector<std::string> unmetTolerance(const std::vector<consensus::Member>& members,
                                        const FaultTolerance& tolerance);

// The members that there should be: as few as bear the tolerance, spread over regions and zones, those of
// `now` before others. A seat is never given up for nothing: one that is absent stays counted until another
// that is complete takes it, and the number of members never falls. Where not all can be borne, machines go
// before zones and regions. In order of address.
std::vector<consensus::Member> planMembers(const std::vector<consensus::Member>& now,
                                           const std::vector<Candidate>& candidates,
                                           const FaultTolerance& tolerance);

}  // namespace lichenlanding::membership
