// Messages between sidecars: one UDP datagram each, which may be lost.
#pragma once

#include <optional>

#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

class PeerTransport {
  public:
    using MessageHandler = std::function<void(int peer, const std::string& bytes)>;

    /// Without `listen` nothing is sent or received. `broadcast`: where datagrams to all peers go. Datagrams
    /// from addresses that are not among `peers` are dropped. Throws std::runtime_error if it cannot listen.
    PeerTransport(EventLoop& loop, const std::optional<Address>& listen, const std::vector<Address>& peers,
                  const std::optional<Address>& broadcast, MessageHandler onMessage);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;

    /// To one peer, or to all of them if `peer` is below 0. What cannot be sent is lost.
    void send(int peer, const std::string& bytes);

  private:
    void receive();

    std::vector<Address> peers_;
    std::optional<Address> broadcast_;
    MessageHandler onMessage_;
    int socket_ = -1;
    std::optional<EventWatch> watch_;
};

}  // namespace lichenlanding::sidecar
