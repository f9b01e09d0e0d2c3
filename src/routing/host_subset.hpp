/// The subset of a zone's hosts that one proxy prefers. In a large fleet only a few proxies then use a host:
/// they reuse connections before these idle out, and a host's load report is still recent at their next
/// request.
///
/// Pure. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "routing/upstream_host.hpp"

namespace lichenlanding::routing {

/// Ranks hosts by rendezvous hashing of proxy and host: a subset changes only by hosts that are added or
/// removed, and a smaller subset is part of a larger one. In small fleets all hosts are preferred.
class HostSubset {
  public:
    explicit HostSubset(std::string proxy) : proxy_(std::move(proxy)) {}

    /// The host's rank for this proxy; lower is preferred.
    std::uint64_t rankOf(const std::string& hostId) const;

    /// Sets `preferred` of the hosts of one service in one zone, which `proxies` proxies share.
    static void markPreferred(std::vector<std::shared_ptr<UpstreamHost>> hosts, std::size_t proxies);

  private:
    std::string proxy_;
};

}  // namespace lichenlanding::routing
