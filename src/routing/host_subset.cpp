#include "routing/host_subset.hpp"

#include <algorithm>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::routing {
namespace {

constexpr std::size_t kProxiesPerHost = 8;  // that prefer it, about
constexpr std::size_t kSubsetMin = 12;      // so that a few lost hosts leave choice

}  // namespace

std::uint64_t HostSubset::rankOf(const std::string& hostId) const { return hashing::hash(proxy_, hostId); }

void HostSubset::markPreferred(std::vector<std::shared_ptr<UpstreamHost>> hosts, std::size_t proxies) {
    const auto wanted = hosts.size() * kProxiesPerHost / std::max<std::size_t>(proxies, 1);
    const auto count = std::min(std::max(wanted, kSubsetMin), hosts.size());
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& one, const auto& other) { return one->subsetRank < other->subsetRank; });
    for (std::size_t at = 0; at < hosts.size(); ++at) hosts[at]->preferred = at < count;
}

}  // namespace lichenlanding::routing
