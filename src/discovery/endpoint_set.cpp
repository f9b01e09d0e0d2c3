#include "discovery/endpoint_set.hpp"

namespace lichenlanding::discovery {

bool EndpointSet::apply(const EndpointEvent& event) {
    const auto& id = event.member.id;
    if (event.gone) {
        if (!event.aside) left_.insert(id);
        return members_.erase(id) > 0;
    }
    if (left_.contains(id)) return false;
    const auto at = members_.find(id);
    if (at == members_.end()) {
        members_[id] = event.member;
        return true;
    }
    if (event.member.draining && !at->second.draining) {
        at->second.draining = true;
        return true;
    }
    return false;
}

std::vector<EndpointEvent> EndpointSet::eventsTowards(const std::vector<Endpoint>& listed,
                                                      std::uint64_t after) const {
    std::vector<EndpointEvent> events;
    std::set<std::string> there;
    for (const auto& member : listed) {
        there.insert(member.id);
        const auto at = members_.find(member.id);
        const bool known = at != members_.end() && (at->second.draining || !member.draining);
        if (!known && !left_.contains(member.id)) events.push_back({++after, member, false, false});
    }
    for (const auto& [id, member] : members_)
        if (!there.contains(id)) events.push_back({++after, member, true, false});
    return events;
}

}  // namespace lichenlanding::discovery
