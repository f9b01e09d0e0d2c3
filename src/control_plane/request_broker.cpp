#include "control_plane/request_broker.hpp"

#include <algorithm>

namespace lichenlanding::control_plane {

using transport::PeerConnection;

RequestBroker::RequestBroker(ReplicaStorage& storage, PeerDirectory& peers, std::string address)
    : storage_(storage), peers_(peers), address_(std::move(address)) {}

std::uint64_t RequestBroker::begin(std::shared_ptr<Exchange> exchange) {
    const auto id = ++lastId_;
    exchanges_[id] = std::move(exchange);
    return id;
}

void RequestBroker::send(std::uint64_t id) { send(id, *exchanges_.at(id), nullptr); }

void RequestBroker::onPeerConnected(const std::string& address) {
    for (const auto& [id, exchange] : exchanges_) send(id, *exchange, &address);
}

void RequestBroker::send(std::uint64_t id, const Exchange& exchange, const std::string* onlyTo) {
    for (const auto& staged : exchange.requests()) {
        transport::EncodedMessage encoded;  // encoded once for all members
        for (const auto& member : exchange.targetEpoch().members) {
            if (onlyTo && member.address != *onlyTo) continue;
            if (member.address == address_) {
                sendToSelf(id, staged);
                continue;
            }
            const auto connection = peers_.connection(member.address);
            if (!connection) continue;
            if (!encoded)
                encoded = PeerConnection::encode(encode(RequestMessage{id, staged.stage, staged.request}));
            connection->send(encoded);
        }
    }
}

void RequestBroker::sendToSelf(std::uint64_t id, const StagedRequest& staged) {
    if (!storage_.acceptsRequests()) return;
    storage_.submit(staged.request, [this, id, stage = staged.stage](const consensus::Reply& reply) {
        handleReply({id, stage, reply}, address_);
    });
}

void RequestBroker::handleReply(const ReplyMessage& message, const std::string& from) {
    const auto it = exchanges_.find(message.id);
    if (it == exchanges_.end()) return;
    auto& exchange = *it->second;
    const auto& members = exchange.targetEpoch().members;
    const auto sender = std::find_if(members.begin(), members.end(),
                                     [&](const auto& member) { return member.address == from; });
    if (sender == members.end()) return;
    const auto member = static_cast<std::uint32_t>(sender - members.begin());
    if (exchange.handleReply(member, message.stage, message.reply)) exchange.progress.notify();
}

void RequestBroker::notifyAll() {
    for (const auto& [_, exchange] : exchanges_) exchange->progress.notify();
}

}  // namespace lichenlanding::control_plane
