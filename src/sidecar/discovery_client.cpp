#include "sidecar/discovery_client.hpp"

#include <algorithm>

namespace lichenlanding::net {

Discovery::Discovery(Loop& loop, const Address& address, Nanos connectWithin, limits::Reopening reopening,
                     const std::vector<std::string>& zones, Upstream& upstream, Listed listed)
    : loop_(loop),
      zones_(zones),
      upstream_(upstream),
      listed_(std::move(listed)),
      stream_(
          loop, address, Kind::discovery, connectWithin, silence, reopening,
          [this] {
              const auto watch = "?stream=1&index=" + std::to_string(revision_);
              return std::string(paths::list) + (revision_ < 0 ? "" : watch);
          },
          [this](std::string_view json) { return line(json); }) {}

void Discovery::start(const std::optional<PodList>& known) {
    if (known) take(*known);
    stream_.start(!any_);  // with a list to go by it can wait for its part of the round
}

void Discovery::move(const Address& address) {
    revision_ = -1;
    stream_.move(address);
}

// After a line that cannot be read, what it held is missing: the whole list is asked for, then the watch
// again.
bool Discovery::line(std::string_view json) {
    const auto list = readPodList(json);
    if (!list) {
        log(Kind::discovery, "cannot read " + std::string(json.substr(0, 120)));
        revision_ = -1;
        return false;
    }
    take(*list);
    return true;
}

void Discovery::take(const PodList& list) {
    std::vector<Listing> listings;
    listings.reserve(list.lines.size());
    for (const auto& line : list.lines) {
        auto& place = upstream_.place(line.name);
        Listing listing{&place, line.build, -1, line.cell, line.availability};
        if (line.startedMs > 0) listing.started = loop_.fromUnixMillis(line.startedMs);
        // Another process: what is open leads to the one before, which may have vanished without a word.
        const bool another = listing.started != place.started || line.availability == Availability::gone ||
                             (place.build && place.build->number != line.build);
        if (another) upstream_.forget(place);
        const auto zone = std::find(zones_.begin(), zones_.end(), line.zone);
        if (zone != zones_.end()) listing.zone = static_cast<int>(zone - zones_.begin());
        try {
            upstream_.moved(place, readAddress(line.address));
        } catch (const std::invalid_argument& wrong) {
            log(Kind::discovery, line.name + ": " + wrong.what());
            listing.availability = Availability::gone;
        }
        listings.push_back(listing);
    }
    revision_ = list.revision;
    any_ = any_ || list.whole;
    listed_(list.whole, std::move(listings));
}

}  // namespace lichenlanding::net
