// The client of service discovery: starts from a configured endpoint list, if there is one, and watches for
// changes from its revision on.
#pragma once

#include "sidecar/messages.hpp"
#include "sidecar/upstream_pool.hpp"
#include "sidecar/watch_stream.hpp"

namespace lichenlanding::sidecar {

class DiscoveryClient {
  public:
    /// Idle timeout of the watch: three intervals of the empty lines that are sent while nothing changes.
    static constexpr Nanos kIdleTimeout = 6'000'000'000;

    using EndpointHandler = std::function<void(bool complete, std::vector<EndpointUpdate> updates)>;

    /// `zones`: the zone names, at the indices that EndpointUpdate::zone refers to. `zones` and `upstreams`
    /// must outlive the client.
    DiscoveryClient(EventLoop& loop, const Address& address, Nanos connectTimeout,
                    limits::ReconnectBackoff reconnectBackoff, const std::vector<std::string>& zones,
                    UpstreamPool& upstreams, EndpointHandler onEndpoints);

    /// Applies `initialList`, if there is one, and opens the watch.
    void start(const std::optional<EndpointList>& initialList);
    /// Switches to another discovery server, from which the complete list is requested.
    void setAddress(const Address& address);
    /// Whether a complete list has ever been received.
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
    std::int64_t revision_ = -1;  // below 0: request the complete list before the watch
    bool hasEndpoints_ = false;
};

}  // namespace lichenlanding::sidecar
