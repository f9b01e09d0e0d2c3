// Messages between sidecars: one UDP datagram each.
#pragma once

#include <optional>

#include "sidecar/connection.hpp"

namespace lichenlanding::net {

class Peers {
  public:
    using Heard = std::function<void(int peer, const std::string& bytes)>;

    Peers(Loop& loop, const std::optional<Address>& listen, const std::vector<Address>& peers,
          const std::optional<Address>& all, Heard heard);
    ~Peers();
    Peers(const Peers&) = delete;

    void tell(int peer, const std::string& bytes);  // below 0: all of them

  private:
    void read();

    std::vector<Address> peers_;
    std::optional<Address> all_;
    Heard heard_;
    int socket_ = -1;
    std::optional<Watch> watch_;
};

}  // namespace lichenlanding::net
