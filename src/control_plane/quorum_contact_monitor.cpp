#include "control_plane/quorum_contact_monitor.hpp"

#include "control_plane/register_keys.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

QuorumContactMonitor::QuorumContactMonitor(const config::BootstrapSettings& boot, PeerDirectory& peers,
                                           ReplicaStorage& storage, EpochTracker& epochs, Learner& learner,
                                           Hooks hooks)
    : boot_(boot),
      address_(boot.peerAddress(boot.ip)),
      peers_(peers),
      storage_(storage),
      epochs_(epochs),
      learner_(learner),
      hooks_(std::move(hooks)),
      contactSince_(now()) {}

// ---- Contact. ----

void QuorumContactMonitor::check() {
    if (epochs_.isFounded() && isReachable()) {
        if (!hasContact_) hooks_.onReachable();
        return;
    }
    contactSince_ = now();
    if (!hasContact_) return;
    hasContact_ = false;
    log("quorum_contact_lost", {{"step", "contact"}, {"epoch", epochs_.open().number}});
    hooks_.onContactChanged();
}

void QuorumContactMonitor::establish() {
    hasContact_ = true;
    const auto epoch = epochs_.open().number;
    if (!hadContact_) log("register_synchronized", {{"epoch", epoch}, {"keys", learner_.knownCount()}});
    hadContact_ = true;
    log("quorum_contact_established", {{"epoch", epoch}});
    hooks_.onContactChanged();
}

bool QuorumContactMonitor::isReachable() const {
    const auto& epoch = epochs_.open();
    if (epoch.members.empty()) return false;
    std::size_t reachable = 0;
    for (const auto& member : epoch.members) reachable += isReachable(member);
    return reachable >= epoch.majority();
}

bool QuorumContactMonitor::isReachable(const consensus::Member& member) const {
    const auto& epoch = epochs_.open();
    if (member.address == address_)
        return storage_.isConfirmed() && storage_.acceptor().isMember(epoch) && epochs_.isInstalled();
    const auto* peer = peers_.find(member.address);
    // One that has not heard of a new epoch yet is in reach all the same; one that is ahead is asked first.
    if (!peer || peer->epoch > epoch.number) return false;
    // Of the founding only addresses are known: one whose disk is new is no founder.
    if (epoch.number > 0 ? peer->member.disk != member.disk : !peer->isMember) return false;
    return answeredLately(*peer);
}

bool QuorumContactMonitor::answeredLately(const Peer& peer) const {
    return peer.answeredAt > 0 && now() - peer.answeredAt <= boot_.controlContactTime;
}

bool QuorumContactMonitor::isMajorityHeard(const consensus::Epoch& epoch) const {
    std::size_t heard = 0;
    for (const auto& member : epoch.members) {
        const auto* peer = peers_.find(member.address);
        if (member.address == address_)
            heard += storage_.isOpen() && storage_.isConfirmed() && storage_.acceptor().disk() == member.disk;
        else if (peer && peer->member.disk == member.disk) heard += now() - peer->heardAt <= kSilentAfter;
    }
    return heard >= epoch.majority();
}

bool QuorumContactMonitor::isPeerReachable(const std::string& address) const {
    const auto* peer = peers_.find(address);
    return peers_.connection(address) && peer && answeredLately(*peer);
}

// ---- Pings. ----

AcceptedNumbers QuorumContactMonitor::acceptedNumbers() const {
    AcceptedNumbers accepted;
    for (const auto& key : kKeys)
        if (const auto& state = storage_.acceptor().state(key); state.accepted.round > 0)
            accepted[key] = state.accepted;
    return accepted;
}

PeerStatus QuorumContactMonitor::status() const {
    const auto& acceptor = storage_.acceptor();
    PeerStatus status;
    status.member = {address_, storage_.announcedDisk(), boot_.zone, boot_.region};
    status.eligible = boot_.quorumMember;
    status.leaving = leaving_;
    status.isMember = acceptor.isMember(acceptor.epochState().epoch);
    status.epoch = epochs_.open().number;
    status.writes = storage_.writes();
    status.accepted = acceptedNumbers();
    return status;
}

Ping QuorumContactMonitor::makePing(bool withStatus) const {
    Ping ping{now(), address_, epochs_.open().number, storage_.announcedDisk(), std::nullopt};
    if (withStatus) ping.status = status();
    return ping;
}

void QuorumContactMonitor::ping(PeerConnection& connection) const { connection.send(encode(makePing(true))); }

void QuorumContactMonitor::pingAll() {
    auto current = status();
    const bool isNew = current != statusSent_;
    const auto encoded = PeerConnection::encode(encode(makePing(isNew)));
    statusSent_ = std::move(current);
    peers_.broadcast(encoded);
}

void QuorumContactMonitor::announceLeaving() {
    leaving_ = true;
    pingAll();
}

void QuorumContactMonitor::noteAccepted(const AcceptedNumbers& accepted) {
    // Whoever holds less than another reads: a reconfiguration raises numbers too, and no proposer tells.
    for (const auto& [key, proposalNumber] : accepted) learner_.noteHeldByPeer(key, proposalNumber);
}

void QuorumContactMonitor::noteStatus(const PeerStatus& status) {
    if (status.member.address == address_) return;
    peers_.update(status, now());
    noteAccepted(status.accepted);
    if (status.member.disk.empty()) return;  // not open yet
    storage_.noteWrites(status.member.disk, status.writes);
}

void QuorumContactMonitor::handlePing(const Ping& ping, PeerConnection& connection) {
    if (ping.status) noteStatus(*ping.status);
    else peers_.update(ping, now());
    const auto& acceptor = storage_.acceptor();
    Pong pong;
    pong.sentAt = ping.sentAt;
    pong.address = address_;
    pong.epoch = epochs_.open().number;
    pong.disk = storage_.announcedDisk();
    pong.isMember = acceptor.isMember(acceptor.epochState().epoch);
    pong.pingedDisk = ping.disk;
    pong.accepted = acceptedNumbers();
    pong.witnessedWrites = storage_.witnessedWrites(ping.disk);
    connection.send(encode(pong));
    if (ping.epoch < epochs_.open().number) connection.send(encode(epochs_.notice()));
}

void QuorumContactMonitor::handlePong(const Pong& pong, PeerConnection& connection) {
    peers_.update(pong, now());
    noteAccepted(pong.accepted);
    checkOwnIdentity(pong);
    if (pong.epoch < epochs_.open().number) connection.send(encode(epochs_.notice()));
}

void QuorumContactMonitor::checkOwnIdentity(const Pong& pong) {
    if (pong.pingedDisk != storage_.acceptor().disk() || !storage_.isOpen()) return;
    if (pong.witnessedWrites > storage_.writes())
        return storage_.renewIdentity("others saw a later life of it");
    if (!storage_.isConfirmed()) storage_.noteConfirmation(pong.address, pong.disk);
    if (epochs_.isFounded() && !hasContact_ && isReachable()) hooks_.onReachable();
}

}  // namespace lichenlanding::control_plane
