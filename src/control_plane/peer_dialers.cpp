#include "control_plane/peer_dialers.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

void PeerDialers::dial(const std::string& address) {
    if (address == self_ || dials(address)) return;
    const auto dialer = std::make_shared<Dialer>(io_, address, callbacks_);
    dialers_[address] = dialer;
    dialer->start();
}

void PeerDialers::retryNow(const std::string& address) {
    if (const auto it = dialers_.find(address); it != dialers_.end()) it->second->retryNow();
}

std::shared_ptr<PeerConnection> PeerDialers::connectionTo(const std::string& address) const {
    const auto it = dialers_.find(address);
    return it == dialers_.end() ? nullptr : it->second->connection();
}

std::vector<std::string> PeerDialers::connected() const {
    std::vector<std::string> addresses;
    for (const auto& [address, dialer] : dialers_)
        if (dialer->connection()) addresses.push_back(address);
    return addresses;
}

void PeerDialers::broadcast(const EncodedMessage& message) const {
    for (const auto& [_, dialer] : dialers_)
        if (const auto connection = dialer->connection()) connection->send(message);
}

}  // namespace lichenlanding::control_plane
