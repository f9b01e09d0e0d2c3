// The list of pods: what was known at start, then a watch from its revision on. A list that cannot be read is
// asked for whole.
#pragma once

#include "sidecar/messages.hpp"
#include "sidecar/upstream_pool.hpp"
#include "sidecar/watch_stream.hpp"

namespace lichenlanding::net {

class Discovery {
  public:
    static constexpr Nanos silence =
        6'000'000'000;  // three of the empty lines that come while nothing changes

    using Listed = std::function<void(bool whole, std::vector<Listing> lines)>;

    Discovery(Loop& loop, const Address& address, Nanos connectWithin, limits::Reopening reopening,
              const std::vector<std::string>& zones, Upstream& upstream, Listed listed);

    void start(const std::optional<PodList>& known);
    void move(const Address& address);  // the whole list is asked for there
    bool any() const { return any_; }   // a list has been told

  private:
    void take(const PodList& list);
    bool line(std::string_view json);

    Loop& loop_;
    const std::vector<std::string>& zones_;
    Upstream& upstream_;
    Listed listed_;
    Stream stream_;
    std::int64_t revision_ = -1;  // below 0: no list is held that a watch could go on from
    bool any_ = false;
};

}  // namespace lichenlanding::net
