#include "control_plane/peer_directory.hpp"

#include <algorithm>

namespace lichenlanding::control_plane {

const Peer* PeerDirectory::find(const std::string& address) const {
    const auto it = peers_.find(address);
    return it == peers_.end() ? nullptr : &it->second;
}

void PeerDirectory::update(const PeerStatus& status, Nanos now) {
    auto& peer = peers_[status.member.address];
    peer.member = status.member;
    peer.eligible = status.eligible;
    peer.leaving = status.leaving;
    peer.epoch = status.epoch;
    peer.isMember = status.isMember;
    peer.accepted = status.accepted;
    peer.lastMessageAt = now;
}

void PeerDirectory::update(const Pong& pong, Nanos now) {
    auto& peer = peers_[pong.address];
    peer.lastMessageAt = now;
    peer.answeredPingSentAt = std::max(peer.answeredPingSentAt, pong.sentAt);
    peer.epoch = pong.epoch;
    peer.isMember = pong.isMember;
    peer.accepted = pong.accepted;
    peer.member.disk = pong.disk;
}

void PeerDirectory::update(const Ping& ping, Nanos now) {
    const auto it = peers_.find(ping.address);
    if (it == peers_.end()) return;
    it->second.lastMessageAt = now;
    it->second.epoch = ping.epoch;
}

void PeerDirectory::connect(const std::string& address,
                            std::shared_ptr<transport::PeerConnection> connection) {
    connections_[address] = std::move(connection);
}

std::shared_ptr<transport::PeerConnection> PeerDirectory::connection(const std::string& address) const {
    const auto it = connections_.find(address);
    return it == connections_.end() ? nullptr : it->second;
}

void PeerDirectory::broadcast(const transport::EncodedMessage& message) const {
    for (const auto& [_, connection] : connections_) connection->send(message);
}

}  // namespace lichenlanding::control_plane
