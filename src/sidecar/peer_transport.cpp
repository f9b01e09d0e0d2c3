#include "sidecar/peer_transport.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "policy/gossip.hpp"

namespace lichenlanding::net {
namespace {

sockaddr_in socketAddress(const Address& address) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &where.sin_addr);
    return where;
}

}  // namespace

Peers::Peers(Loop& loop, const std::optional<Address>& listen, const std::vector<Address>& peers,
             const std::optional<Address>& all, Heard heard)
    : peers_(peers), all_(all), heard_(std::move(heard)) {
    if (!listen) return;
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto where = socketAddress(*listen);
    if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        const std::string why = std::strerror(errno);
        if (socket_ >= 0) close(socket_);
        throw std::runtime_error("cannot take datagrams on " + listen->text() + ": " + why);
    }
    watch_.emplace(loop, socket_, Watch::readable, [this] { read(); });
}

Peers::~Peers() {
    watch_.reset();
    if (socket_ >= 0) close(socket_);
}

void Peers::tell(int peer, const std::string& bytes) {
    if (socket_ < 0 || bytes.size() > maxMessage || peer >= static_cast<int>(peers_.size())) return;
    if (peer < 0 && !all_) return;
    const auto where = socketAddress(peer < 0 ? *all_ : peers_[static_cast<std::size_t>(peer)]);
    // A datagram that cannot go out is lost, as any may be.
    if (sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&where),
               sizeof where) < 0)
        log(Kind::peer, std::string("cannot send a datagram: ") + std::strerror(errno));
}

void Peers::read() {
    constexpr int atOnce = 64;  // then others get their turn
    char bytes[maxMessage + 1];
    for (int turn = 0; turn < atOnce; ++turn) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto length =
            recvfrom(socket_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (length < 0) return;
        char host[INET_ADDRSTRLEN];
        const Address sender{inet_ntop(AF_INET, &from.sin_addr, host, sizeof host), ntohs(from.sin_port)};
        const auto known = std::find(peers_.begin(), peers_.end(), sender);
        if (known == peers_.end() || length > static_cast<ssize_t>(maxMessage)) {
            log(Kind::peer,
                "dropped a datagram of " + std::to_string(length) + " bytes from " + sender.text());
            continue;
        }
        heard_(static_cast<int>(known - peers_.begin()),
               std::string(bytes, static_cast<std::size_t>(length)));
    }
}

}  // namespace lichenlanding::net
