#include "sidecar/peer_transport.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "policy/gossip.hpp"

namespace lichenlanding::sidecar {
namespace {

constexpr int kMaxDatagramsPerEvent = 64;  // so that other events are not delayed

sockaddr_in socketAddress(const Address& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

}  // namespace

PeerTransport::PeerTransport(EventLoop& loop, const std::optional<Address>& listen,
                             const std::vector<Address>& peers, const std::optional<Address>& broadcast,
                             MessageHandler onMessage)
    : peers_(peers), broadcast_(broadcast), onMessage_(std::move(onMessage)) {
    if (!listen) return;
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto local = socketAddress(*listen);
    if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0) {
        const std::string failure = std::strerror(errno);
        if (socket_ >= 0) close(socket_);
        throw std::runtime_error("cannot bind a UDP socket to " + listen->text() + ": " + failure);
    }
    watch_.emplace(loop, socket_, EventWatch::kReadable, [this] { receive(); });
}

PeerTransport::~PeerTransport() {
    watch_.reset();
    if (socket_ >= 0) close(socket_);
}

void PeerTransport::send(int peer, const std::string& bytes) {
    if (socket_ < 0 || bytes.size() > kMaxMessageBytes || peer >= static_cast<int>(peers_.size())) return;
    if (peer < 0 && !broadcast_) return;
    const auto remote = socketAddress(peer < 0 ? *broadcast_ : peers_[static_cast<std::size_t>(peer)]);
    if (sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&remote),
               sizeof remote) < 0)
        log(LogEvent::peer, std::string("cannot send a datagram: ") + std::strerror(errno));
}

void PeerTransport::receive() {
    char bytes[kMaxMessageBytes + 1];
    for (int count = 0; count < kMaxDatagramsPerEvent; ++count) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto length =
            recvfrom(socket_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (length < 0) return;
        char host[INET_ADDRSTRLEN];
        const Address sender{inet_ntop(AF_INET, &from.sin_addr, host, sizeof host), ntohs(from.sin_port)};
        const auto known = std::find(peers_.begin(), peers_.end(), sender);
        if (known == peers_.end() || length > static_cast<ssize_t>(kMaxMessageBytes)) {
            log(LogEvent::peer,
                "dropped a datagram of " + std::to_string(length) + " bytes from " + sender.text());
            continue;
        }
        onMessage_(static_cast<int>(known - peers_.begin()),
                   std::string(bytes, static_cast<std::size_t>(length)));
    }
}

}  // namespace lichenlanding::sidecar
