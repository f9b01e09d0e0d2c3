// The client of discovery: the endpoint list that was known at start, then a watch from its revision on.
#pragma once

#include "sidecar/messages.hpp"
#include "sidecar/upstream_pool.hpp"
#include "sidecar/watch_stream.hpp"

namespace lichenlanding::sidecar {

class DiscoveryClient {
  public:
    /// Of the watch: three of the empty lines that come while nothing changes.
    static constexpr Nanos kIdleTimeout = 6'000'000'000;

    using EndpointHandler = std::function<void(bool complete, std::vector<EndpointUpdate> updates)>;

    /// `zones`: names, by the index that updates carry. Must outlive this, as must `upstreams`.
    DiscoveryClient(EventLoop& loop, const Address& address, Nanos connectTimeout,
                    limits::ReconnectBackoff reconnectBackoff, const std::vector<std::string>& zones,
                    UpstreamPool& upstreams, EndpointHandler onEndpoints);

    void start(const std::optional<EndpointList>& known);
    /// The complete list is requested there.
    void setAddress(const Address& address);
    /// Whether a complete list has ever come.
    bool hasEndpoints() const { return hasEndpoints_; }

  private:
    void apply(const EndpointList& list);
    EndpointUpdate applyEntry(const EndpointEntry& entry);
    std::string watchPath() const;
    bool onLine(std::string_view json);

    EventLoop& loop_;
    const std::vector<std::string>& zones_;
    UpstreamPool& upstreams_;
    EndpointHandler onEndpoints_;
    WatchStream watch_;
    std::int64_t revision_ = -1;  // below 0: none to resume the watch from
    bool hasEndpoints_ = false;
};

}  // namespace lichenlanding::sidecar
