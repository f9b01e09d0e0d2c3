#include "sidecar/discovery_client.hpp"

#include <algorithm>
#include <stdexcept>

namespace lichenlanding::sidecar {

DiscoveryClient::DiscoveryClient(EventLoop& loop, const Address& address, Nanos connectTimeout,
                                 limits::ReconnectBackoff reconnectBackoff,
                                 const std::vector<std::string>& zones, UpstreamPool& upstreams,
                                 EndpointHandler onEndpoints)
    : loop_(loop),
      zones_(zones),
      upstreams_(upstreams),
      onEndpoints_(std::move(onEndpoints)),
      watch_(
          loop, address, LogEvent::discovery, connectTimeout, kIdleTimeout, reconnectBackoff,
          [this] { return watchPath(); }, [this](std::string_view json) { return onLine(json); }) {}

void DiscoveryClient::start(const std::optional<EndpointList>& initialList) {
    if (initialList) apply(*initialList);
    watch_.start(!hasEndpoints_);  // with a list, its start is spread over the fleet
}

void DiscoveryClient::setAddress(const Address& address) {
    revision_ = -1;
    watch_.setAddress(address);
}

std::string DiscoveryClient::watchPath() const {
    if (revision_ < 0) return paths::kEndpoints;
    return std::string(paths::kEndpoints) + "?stream=1&index=" + std::to_string(revision_);
}

// After a malformed line the list may lack changes: requests the complete list, then resumes the watch.
bool DiscoveryClient::onLine(std::string_view json) {
    const auto list = parseEndpointList(json);
    if (!list) {
        revision_ = -1;
        return false;
    }
    apply(*list);
    return true;
}

void DiscoveryClient::apply(const EndpointList& list) {
    std::vector<EndpointUpdate> updates;
    updates.reserve(list.entries.size());
    for (const auto& entry : list.entries) updates.push_back(applyEntry(entry));
    revision_ = list.revision;
    hasEndpoints_ = hasEndpoints_ || list.complete;
    onEndpoints_(list.complete, std::move(updates));
}

EndpointUpdate DiscoveryClient::applyEntry(const EndpointEntry& entry) {
    auto& host = upstreams_.host(entry.name);
    EndpointUpdate update{&host, entry.build, -1, entry.cell, entry.availability};
    if (entry.startedMs > 0) update.startedAt = loop_.fromUnixMillis(entry.startedMs);
    // The pod's process was replaced or removed: open connections lead to the old one, which may have ended
    // without closing them.
    const bool replaced = update.startedAt != host.startedAt || entry.availability == Availability::removed ||
                          (host.build && host.build->number != entry.build);
    if (replaced) upstreams_.closeIdle(host);
    const auto zone = std::find(zones_.begin(), zones_.end(), entry.zone);
    if (zone != zones_.end()) update.zone = static_cast<int>(zone - zones_.begin());
    try {
        upstreams_.setAddress(host, parseAddress(entry.address));
    } catch (const std::invalid_argument& error) {
        log(LogEvent::discovery, entry.name + ": " + error.what());
        update.availability = Availability::removed;
    }
    return update;
}

}  // namespace lichenlanding::sidecar
