#include "control_plane/membership_planner.hpp"

#include <algorithm>

#include "control_plane/register_keys.hpp"
#include "hashing/rendezvous.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
using membership::Candidate;

Nanos memberAbsenceTimeout(const config::BootstrapSettings& boot) {
    return boot.controlReplaceAfter > 0 ? boot.controlReplaceAfter : boot.syncTime * 6 / 10;
}

MembershipPlanner::MembershipPlanner(const config::BootstrapSettings& boot, PeerDirectory& peers,
                                     ReplicaStorage& storage, EpochTracker& epochs,
                                     QuorumContactMonitor& contact, Learner& learner)
    : boot_(boot),
      absenceTimeout_(memberAbsenceTimeout(boot)),
      address_(boot.peerAddress(boot.ip)),
      peers_(peers),
      storage_(storage),
      epochs_(epochs),
      contact_(contact),
      learner_(learner) {}

membership::FaultTolerance MembershipPlanner::tolerance() const {
    return {boot_.tolerableMachineLosses, boot_.tolerableZoneLosses, boot_.tolerableRegionLosses};
}

std::vector<std::string> MembershipPlanner::unmetTolerance(
    const std::vector<consensus::Member>& members) const {
    return membership::unmetTolerance(members, tolerance());
}

bool MembershipPlanner::isAnyEligible() const {
    const auto& peers = peers_.peers();
    return boot_.quorumMember ||
           std::any_of(peers.begin(), peers.end(), [](const auto& peer) { return peer.second.eligible; });
}

// `accepted` returns the proposal number that a disk has accepted for a key. A disk need not have the newest
// values, which may change faster than it is reported what it has: the reconfiguration transfers them.
template <typename Accepted>
bool MembershipPlanner::isComplete(Accepted accepted) const {
    return std::all_of(kKeys.begin(), kKeys.end(),
                       [&](const auto& key) { return learner_.lagOf(key, accepted(key)) < absenceTimeout_; });
}

Candidate MembershipPlanner::self() const {
    const auto& acceptor = storage_.acceptor();
    return {{address_, acceptor.disk(), boot_.zone, boot_.region},
            isComplete([&](const auto& key) { return acceptor.state(key).accepted; }),
            !contact_.isLeaving()};
}

Candidate MembershipPlanner::candidate(const Peer& peer) const {
    const auto accepted = [&](const std::string& key) {
        const auto it = peer.accepted.find(key);
        return it == peer.accepted.end() ? consensus::ProposalNumber{} : it->second;
    };
    const bool isMember =
        epochs_.isFounded() && epochs_.openEpoch().find(peer.member.address, peer.member.disk).has_value();
    // A member's silence counts from when contact was regained or its epoch opened: before that, it could not
    // be reached. A replica that was removed as a member for its absence is not a present spare either.
    const Nanos since = isMember ? std::max(contact_.lastUnreachableAt(), epochs_.openedAt()) : 0;
    const Nanos silence = now() - std::max(peer.lastMessageAt, since);
    const Nanos limit = isMember ? absenceTimeout_ : std::min(kPeerSilenceTimeout, absenceTimeout_);
    return {peer.member, isComplete(accepted), !peer.leaving && silence <= limit};
}

std::vector<Candidate> MembershipPlanner::candidates() const {
    const bool anyEligible = isAnyEligible();
    std::vector<Candidate> all;
    if (storage_.isOpen() && (boot_.quorumMember || !anyEligible)) all.push_back(self());
    for (const auto& [_, peer] : peers_.peers()) {
        if (peer.member.address.empty() || peer.member.disk.empty()) continue;
        if (anyEligible && !peer.eligible) continue;
        all.push_back(candidate(peer));
    }
    // Members from which no message was received since this replica started.
    const Nanos since = std::max(contact_.lastUnreachableAt(), epochs_.openedAt());
    if (epochs_.isFounded() && now() - since <= absenceTimeout_)
        for (const auto& member : epochs_.openEpoch().members)
            if (member.address != address_ && !peers_.find(member.address))
                all.push_back({member, false, true});
    return all;
}

std::vector<Candidate> MembershipPlanner::spares() const {
    auto all = candidates();
    std::erase_if(all, [&](const auto& entry) {
        return !entry.present || epochs_.openEpoch().find(entry.member.address, entry.member.disk);
    });
    return all;
}

std::vector<consensus::Member> MembershipPlanner::planned(bool withoutSelf) const {
    auto all = candidates();
    if (withoutSelf)
        for (auto& entry : all) entry.present = entry.present && entry.member.address != address_;
    const auto members = epochs_.isFounded() ? epochs_.openEpoch().members : std::vector<consensus::Member>{};
    return membership::planMembers(members, all, tolerance());
}

std::string MembershipPlanner::preferredProposer() const {
    std::vector<std::string> present;
    for (const auto& entry : candidates())
        if (entry.present &&
            epochs_.openEpoch().find(entry.member.address, epochs_.isFounded() ? entry.member.disk : ""))
            present.push_back(entry.member.address);
    const auto preferred = hashing::rendezvousSelect(present, "members", 1);
    return preferred.empty() ? "" : preferred.front();
}

}  // namespace lichenlanding::control_plane
