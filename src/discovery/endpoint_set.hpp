/// The endpoints of all services: what the platform's list says of them, and the view folded from its
/// changes.
///
/// Pure; one thread. An endpoint (one life of a pod, by its instance id) only ever goes from ready to
/// draining to removed: an older list, or one that came by another way, brings no endpoint back. An endpoint
/// that is `suspect` is taken out of the view, but a newer list may name it again.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::discovery {

/// One life of a pod, as the platform lists it.
struct Endpoint {
    std::string id, service, address, zone, version;
    int slots = 1;
    bool draining = false;
    Nanos warmup = 0;  // how much longer it is slow, from when it was listed
    bool operator==(const Endpoint& other) const {
        return id == other.id && address == other.address && draining == other.draining;
    }
};

/// A change of one endpoint.
struct EndpointEvent {
    std::uint64_t number = 0;
    Endpoint endpoint;
    bool removed = false;  // then only the id counts
    bool suspect = false;  // with `removed`: not known to this list, but not seen to go either
};

/// Which list a copy follows: the term of the lease that its control node has, and the changes counted in
/// that term. The higher is the newer; one version has one content.
struct EndpointListVersion {
    std::uint64_t term = 0, sequence = 0;
    auto operator<=>(const EndpointListVersion&) const = default;
};

/// The view: endpoints by id, and the ids that were seen to go.
class EndpointSet {
  public:
    /// True where the view has changed.
    bool apply(const EndpointEvent& event);
    const std::map<std::string, Endpoint>& endpoints() const { return endpoints_; }
    /// Was seen to go, so it never comes back.
    bool hasLeft(const std::string& id) const { return departed_.contains(id); }

    /// The events that bring this view to what a whole list says, numbered from `after` + 1.
    std::vector<EndpointEvent> eventsTowards(const std::vector<Endpoint>& listed, std::uint64_t after) const;

  private:
    std::map<std::string, Endpoint> endpoints_;
    std::set<std::string> departed_;  // kept for good: the platform never uses an id twice
};

}  // namespace lichenlanding::discovery
