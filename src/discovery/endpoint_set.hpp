// The pods: what the platform's list says of them, as numbered events and the view folded from them.
//
// Pure. A pod (one life, by its instance id) only ever goes from ready to draining to gone: an older list, or
// one by another way, brings nobody back. A pod that is set aside is in this view no more, but a newer list
// may name it again.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::discovery {

struct Endpoint {
    std::string id, service, address, zone, version;
    int slots = 1;
    bool draining = false;
    Nanos warmup = 0;  // how much longer it is slow, from when it was listed
    bool operator==(const Endpoint& other) const {
        return id == other.id && address == other.address && draining == other.draining;
    }
};

struct EndpointEvent {
    std::uint64_t number = 0;
    Endpoint endpoint;
    bool removed = false;  // then only the id counts
    bool suspect = false;  // gone, as far as is known: not seen to go
};

class EndpointSet {
  public:
    // True where the view has changed.
    bool apply(const EndpointEvent& event);
    const std::map<std::string, Endpoint>& endpoints() const { return endpoints_; }
    bool hasLeft(const std::string& id) const { return departed_.contains(id); }  // was seen gone

    // The events that bring this view to what a whole list says, numbered from `after` + 1.
    std::vector<EndpointEvent> eventsTowards(const std::vector<Endpoint>& listed, std::uint64_t after) const;

  private:
    std::map<std::string, Endpoint> endpoints_;
    std::set<std::string> departed_;  // seen gone; ids are never used again
};

}  // namespace lichenlanding::discovery
