/// The subset of a zone's hosts that one proxy prefers, so that in a large fleet each host is met by a few
/// proxies alone: their connections are used again before they idle out, and what a proxy hears of a host's
/// load is of use to its next requests. Pure. One thread, its owner's.
#pragma once

#include <cstdint>
#include <string>

#include "routing/upstream_host.hpp"

namespace lichenlanding::routing {

/// Ranks by rendezvous hashing of proxy and host: a subset changes only by hosts that come or go, and one of
/// another size is a part of it or holds it. Small fleets prefer all hosts.
class HostSubset {
  public:
    explicit HostSubset(std::string proxy) : proxy_(std::move(proxy)) {}

    /// The host's rank for this proxy; lower is preferred.
    std::uint64_t rankOf(const std::string& hostId) const;

    /// Marks which of one zone's hosts of one service are preferred, where `proxies` proxies share them.
    static void markPreferred(std::vector<std::shared_ptr<UpstreamHost>> hosts, std::size_t proxies);

  private:
    std::string proxy_;
};

}  // namespace lichenlanding::routing
