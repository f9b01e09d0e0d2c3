/// The endpoints of all services: as the platform lists them, and the set that results from applying changes.
///
/// Pure. Not thread-safe. An endpoint (one incarnation of a pod, by its instance id) only changes from ready
/// to draining to removed: an older list, from whatever source, never restores a removed endpoint. A
/// `suspect` endpoint is removed from the set, but a newer list may contain it again.
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

/// One incarnation of a pod, as the platform lists it.
struct Endpoint {
    std::string id, service, address, zone, version;
    int slots = 1;
    bool draining = false;
    Nanos warmup = 0;  // remaining time of slow start when it was listed, nanoseconds
    bool operator==(const Endpoint& other) const {
        return id == other.id && address == other.address && draining == other.draining;
    }
};

/// A change of one endpoint.
struct EndpointEvent {
    std::uint64_t number = 0;
    Endpoint endpoint;
    bool removed = false;  // then only endpoint.id is used
    bool suspect = false;  // with `removed`: not in this list, but its removal was not observed
};

/// The version of a list: the lease term of the control node that polls it, and the number of changes in that
/// term. A higher version is newer; a version identifies the content.
struct EndpointListVersion {
    std::uint64_t term = 0, sequence = 0;
    auto operator<=>(const EndpointListVersion&) const = default;
};

/// The current endpoints by id, and the ids of the endpoints that were removed.
class EndpointSet {
  public:
    /// Applies a change; true if the set has changed.
    bool apply(const EndpointEvent& event);
    const std::map<std::string, Endpoint>& endpoints() const { return endpoints_; }
    /// Whether the removal of this endpoint was observed: it never comes back.
    bool hasLeft(const std::string& id) const { return departed_.contains(id); }

    /// The events that change this set to a complete list, numbered from `after` + 1.
    std::vector<EndpointEvent> eventsTowards(const std::vector<Endpoint>& listed, std::uint64_t after) const;

  private:
    std::map<std::string, Endpoint> endpoints_;
    std::set<std::string> departed_;  // never forgotten: the platform doesn't reuse ids
};

}  // namespace lichenlanding::discovery
