#include "discovery/endpoint_set.hpp"

namespace lichenlanding::discovery {

bool EndpointSet::apply(const EndpointEvent& event) {
    const auto& id = event.endpoint.id;
    if (event.removed) {
        if (!event.suspect) departed_.insert(id);
        return endpoints_.erase(id) > 0;
    }
    if (departed_.contains(id)) return false;
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        endpoints_[id] = event.endpoint;
        return true;
    }
    if (event.endpoint.draining && !found->second.draining) {
        found->second.draining = true;
        return true;
    }
    return false;
}

std::vector<EndpointEvent> EndpointSet::eventsTowards(const std::vector<Endpoint>& listed,
                                                      std::uint64_t after) const {
    std::vector<EndpointEvent> events;
    std::set<std::string> listedIds;
    for (const auto& endpoint : listed) {
        listedIds.insert(endpoint.id);
        const auto found = endpoints_.find(endpoint.id);
        const bool known = found != endpoints_.end() && (found->second.draining || !endpoint.draining);
        if (!known && !departed_.contains(endpoint.id)) events.push_back({++after, endpoint, false, false});
    }
    for (const auto& [id, endpoint] : endpoints_)
        if (!listedIds.contains(id)) events.push_back({++after, endpoint, true, false});
    return events;
}

}  // namespace lichenlanding::discovery
