#include "control_plane/peer_directory.hpp"

#include <algorithm>

namespace lichenlanding::control_plane {

const Peer* PeerDirectory::find(const std::string& address) const {
    const auto at = peers_.find(address);
    return at == peers_.end() ? nullptr : &at->second;
}

void PeerDirectory::update(const PeerStatus& status, Nanos now) {
    auto& peer = peers_[status.member.address];
    peer.member = status.member;
    peer.eligible = status.eligible;
    peer.leaving = status.leaving;
    peer.epoch = status.epoch;
    peer.isMember = status.isMember;
    peer.accepted = status.accepted;
    peer.heardAt = now;
}

void PeerDirectory::update(const Pong& pong, Nanos now) {
    auto& peer = peers_[pong.address];
    peer.heardAt = now;
    peer.answeredAt = std::max(peer.answeredAt, pong.sentAt);
    peer.epoch = pong.epoch;
    peer.isMember = pong.isMember;
    peer.accepted = pong.accepted;
    peer.member.disk = pong.disk;
}

void PeerDirectory::update(const Ping& ping, Nanos now) {
    const auto at = peers_.find(ping.address);
    if (at == peers_.end()) return;
    at->second.heardAt = now;
    at->second.epoch = ping.epoch;
}

void PeerDirectory::connect(const std::string& address,
                            std::shared_ptr<transport::PeerConnection> connection) {
    connections_[address] = std::move(connection);
}

std::shared_ptr<transport::PeerConnection> PeerDirectory::connection(const std::string& address) const {
    const auto at = connections_.find(address);
    return at == connections_.end() ? nullptr : at->second;
}

void PeerDirectory::broadcast(const transport::EncodedMessage& message) const {
    for (const auto& [_, connection] : connections_) connection->send(message);
}

}  // namespace lichenlanding::control_plane
