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
      lastUnreachableAt_(now()) {}

// ---- Contact. ----

void QuorumContactMonitor::check() {
    if (epochs_.isFounded() && isReachable()) {
        if (!hasContact_) hooks_.onReachable();
        return;
    }
    lastUnreachableAt_ = now();
    if (!hasContact_) return;
    hasContact_ = false;
    log("quorum_contact_lost", {{"step", "contact"}, {"epoch", epochs_.openEpoch().number}});
    hooks_.onContactChanged();
}

void QuorumContactMonitor::establish() {
    hasContact_ = true;
    const auto epoch = epochs_.openEpoch().number;
    if (!everHadContact_) log("register_synchronized", {{"epoch", epoch}, {"keys", learner_.knownCount()}});
    everHadContact_ = true;
    log("quorum_contact_established", {{"epoch", epoch}});
    hooks_.onContactChanged();
}

bool QuorumContactMonitor::isReachable() const {
    const auto& epoch = epochs_.openEpoch();
    if (epoch.members.empty()) return false;
    std::size_t reachable = 0;
    for (const auto& member : epoch.members) reachable += isReachable(member);
    return reachable >= epoch.majority();
}

bool QuorumContactMonitor::isReachable(const consensus::Member& member) const {
    const auto& epoch = epochs_.openEpoch();
    if (member.address == address_)
        return storage_.isConfirmed() && storage_.acceptor().isMember(epoch) && epochs_.isInstalled();
    const auto* peer = peers_.find(member.address);
    // A peer that does not know the newest epoch yet is reachable all the same. One in a newer epoch is not:
    // this replica must learn that epoch first.
    if (!peer || peer->epoch > epoch.number) return false;
    // During founding only addresses are known. A peer whose disk is new is not a founder.
    if (epoch.number > 0 ? peer->member.disk != member.disk : !peer->isMember) return false;
    return answeredRecently(*peer);
}

bool QuorumContactMonitor::answeredRecently(const Peer& peer) const {
    return peer.answeredPingSentAt > 0 && now() - peer.answeredPingSentAt <= boot_.controlContactTime;
}

bool QuorumContactMonitor::isMajorityPresent(const consensus::Epoch& epoch) const {
    std::size_t present = 0;
    for (const auto& member : epoch.members) {
        const auto* peer = peers_.find(member.address);
        if (member.address == address_)
            present +=
                storage_.isOpen() && storage_.isConfirmed() && storage_.acceptor().disk() == member.disk;
        else if (peer && peer->member.disk == member.disk)
            present += now() - peer->lastMessageAt <= kPeerSilenceTimeout;
    }
    return present >= epoch.majority();
}

bool QuorumContactMonitor::isPeerReachable(const std::string& address) const {
    const auto* peer = peers_.find(address);
    return peers_.connection(address) && peer && answeredRecently(*peer);
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
    status.epoch = epochs_.openEpoch().number;
    status.writes = storage_.writes();
    status.accepted = acceptedNumbers();
    return status;
}

Ping QuorumContactMonitor::makePing(bool withStatus) const {
    Ping ping{now(), address_, epochs_.openEpoch().number, storage_.announcedDisk(), std::nullopt};
    if (withStatus) ping.status = status();
    return ping;
}

void QuorumContactMonitor::ping(PeerConnection& connection) const { connection.send(encode(makePing(true))); }

void QuorumContactMonitor::pingAll() {
    auto current = status();
    const bool isNew = current != lastSentStatus_;
    const auto encoded = PeerConnection::encode(encode(makePing(isNew)));
    lastSentStatus_ = std::move(current);
    peers_.broadcast(encoded);
}

void QuorumContactMonitor::announceLeaving() {
    leaving_ = true;
    pingAll();
}

void QuorumContactMonitor::noteAccepted(const AcceptedNumbers& accepted) {
    // A replica that is behind a peer reads the key. Reconfigurations raise numbers too, and no proposer
    // reports those.
    for (const auto& [key, proposalNumber] : accepted) learner_.noteAcceptedByPeer(key, proposalNumber);
}

void QuorumContactMonitor::noteStatus(const PeerStatus& status) {
    if (status.member.address == address_) return;
    peers_.update(status, now());
    noteAccepted(status.accepted);
    if (status.member.disk.empty()) return;  // its store is not open yet
    storage_.noteWriteCount(status.member.disk, status.writes);
}

void QuorumContactMonitor::handlePing(const Ping& ping, PeerConnection& connection) {
    if (ping.status) noteStatus(*ping.status);
    else peers_.update(ping, now());
    const auto& acceptor = storage_.acceptor();
    Pong pong;
    pong.sentAt = ping.sentAt;
    pong.address = address_;
    pong.epoch = epochs_.openEpoch().number;
    pong.disk = storage_.announcedDisk();
    pong.isMember = acceptor.isMember(acceptor.epochState().epoch);
    pong.pingedDisk = ping.disk;
    pong.accepted = acceptedNumbers();
    pong.witnessedWriteCount = storage_.witnessedWriteCount(ping.disk);
    connection.send(encode(pong));
    if (ping.epoch < epochs_.openEpoch().number) connection.send(encode(epochs_.notice()));
}

void QuorumContactMonitor::handlePong(const Pong& pong, PeerConnection& connection) {
    peers_.update(pong, now());
    noteAccepted(pong.accepted);
    checkOwnIdentity(pong);
    if (pong.epoch < epochs_.openEpoch().number) connection.send(encode(epochs_.notice()));
}

void QuorumContactMonitor::checkOwnIdentity(const Pong& pong) {
    if (pong.pingedDisk != storage_.acceptor().disk() || !storage_.isOpen()) return;
    if (pong.witnessedWriteCount > storage_.writes())
        return storage_.replaceIdentity("peers have seen a higher write count of this disk");
    if (!storage_.isConfirmed()) storage_.noteConfirmation(pong.address, pong.disk);
    if (epochs_.isFounded() && !hasContact_ && isReachable()) hooks_.onReachable();
}

}  // namespace lichenlanding::control_plane
