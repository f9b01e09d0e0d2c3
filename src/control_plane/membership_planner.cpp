#include "control_plane/membership_planner.hpp"

#include <algorithm>

#include "control_plane/register_keys.hpp"
#include "hashing/rendezvous.hpp"

namespace lichenlanding::control_plane {

using namespace transport;
using membership::Candidate;

MembershipPlanner::MembershipPlanner(const config::BootstrapSettings& boot, PeerDirectory& peers,
                                     ReplicaStorage& storage, EpochTracker& epochs,
                                     QuorumContactMonitor& contact, Learner& learner)
    : boot_(boot),
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

Nanos MembershipPlanner::absentAfter() const {
    return boot_.controlReplaceAfter > 0 ? boot_.controlReplaceAfter : boot_.syncTime * 6 / 10;
}

bool MembershipPlanner::isAnyEligible() const {
    const auto& peers = peers_.peers();
    return boot_.quorumMember ||
           std::any_of(peers.begin(), peers.end(), [](const auto& peer) { return peer.second.eligible; });
}

// `accepted`: the number that a disk has accepted at a key.
template <typename Accepted>
bool MembershipPlanner::isComplete(Accepted accepted) const {
    return std::all_of(kKeys.begin(), kKeys.end(),
                       [&](const auto& key) { return accepted(key) >= learner_.known(key).proposalNumber; });
}

Candidate MembershipPlanner::self() const {
    const auto& acceptor = storage_.acceptor();
    return {{address_, acceptor.disk(), boot_.zone, boot_.region},
            isComplete([&](const auto& key) { return acceptor.state(key).accepted; }),
            !contact_.isLeaving()};
}

Candidate MembershipPlanner::candidate(const Peer& peer) const {
    const auto accepted = [&](const std::string& key) {
        const auto at = peer.accepted.find(key);
        return at == peer.accepted.end() ? consensus::ProposalNumber{} : at->second;
    };
    const bool isMember =
        epochs_.isFounded() && epochs_.open().find(peer.member.address, peer.member.disk).has_value();
    // A member that was out of reach while contact was lost, or that others have made one, has had no chance
    // to be heard. One that lost its membership for its absence is not there as a spare either.
    const Nanos since = isMember ? std::max(contact_.contactSince(), epochs_.openedAt()) : 0;
    const Nanos silent = now() - std::max(peer.heardAt, since);
    const Nanos limit = isMember ? absentAfter() : std::min(kSilentAfter, absentAfter());
    return {peer.member, isComplete(accepted), !peer.leaving && silent <= limit};
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
    // Members not heard of since this replica began.
    const Nanos since = std::max(contact_.contactSince(), epochs_.openedAt());
    if (epochs_.isFounded() && now() - since <= absentAfter())
        for (const auto& member : epochs_.open().members)
            if (member.address != address_ && !peers_.find(member.address))
                all.push_back({member, false, true});
    return all;
}

std::vector<Candidate> MembershipPlanner::spares() const {
    auto all = candidates();
    std::erase_if(all, [&](const auto& one) {
        return !one.present || epochs_.open().find(one.member.address, one.member.disk);
    });
    return all;
}

std::vector<consensus::Member> MembershipPlanner::planned(bool withoutSelf) const {
    auto all = candidates();
    if (withoutSelf)
        for (auto& one : all) one.present = one.present && one.member.address != address_;
    const auto members = epochs_.isFounded() ? epochs_.open().members : std::vector<consensus::Member>{};
    return membership::planMembers(members, all, tolerance());
}

std::string MembershipPlanner::proposerInTurn() const {
    std::vector<std::string> present;
    for (const auto& one : candidates())
        if (one.present &&
            epochs_.open().find(one.member.address, epochs_.isFounded() ? one.member.disk : ""))
            present.push_back(one.member.address);
    const auto turn = hashing::rendezvousSelect(present, "members", 1);
    return turn.empty() ? "" : turn.front();
}

}  // namespace lichenlanding::control_plane
