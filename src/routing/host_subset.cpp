#include "routing/host_subset.hpp"

#include <algorithm>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::routing {
namespace {

constexpr std::size_t kProxiesPerHost = 8;  // target for the proxies that prefer one host
constexpr std::size_t kMinSubsetSize = 12;  // leaves a choice when a few hosts are lost

}  // namespace

std::uint64_t HostSubset::rankOf(const std::string& hostId) const { return hashing::hash(proxy_, hostId); }

void HostSubset::markPreferred(std::vector<std::shared_ptr<UpstreamHost>> hosts, std::size_t proxies) {
    const auto wanted = hosts.size() * kProxiesPerHost / std::max<std::size_t>(proxies, 1);
    const auto count = std::min(std::max(wanted, kMinSubsetSize), hosts.size());
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& left, const auto& right) { return left->subsetRank < right->subsetRank; });
    for (std::size_t index = 0; index < hosts.size(); ++index) hosts[index]->preferred = index < count;
}

}  // namespace lichenlanding::routing
