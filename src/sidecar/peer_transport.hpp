// Messages between sidecars, over UDP: one datagram each, which may be lost.
#pragma once

#include <optional>

#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

class PeerTransport {
  public:
    using MessageHandler = std::function<void(int peer, const std::string& bytes)>;

    /// Without `listen` nothing is sent or received. `broadcast`: the address for messages to all peers.
    /// Datagrams from addresses other than `peers` are dropped. Throws std::runtime_error if the socket
    /// cannot be bound.
    PeerTransport(EventLoop& loop, const std::optional<Address>& listen, const std::vector<Address>& peers,
                  const std::optional<Address>& broadcast, MessageHandler onMessage);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;

    /// Sends to one peer, by index, or to all of them if `peer` is below 0. A message that cannot be sent is
    /// lost.
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
