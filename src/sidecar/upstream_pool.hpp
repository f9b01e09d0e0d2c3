// Connections to pods: kept, taken again the last used first, and closed before the pod's machine does it.
#pragma once

#include <list>
#include <map>

#include "sidecar/connection.hpp"

namespace lichenlanding::net {

struct Place;

// A connection to a pod. It is in use from the send to the end of the call, then kept or closed.
struct Line {
    Line(Loop& loop, Place& place);

    Place& place;
    Connection connection;
    Timer idle;
    std::list<std::shared_ptr<Line>>::iterator at;  // among all that are in use, or all that are idle
};

// What the sidecar holds of one pod: the decisions' view of it, where it listens, and its idle connections.
struct Place : Pod {
    std::string name;
    Address address;
    std::vector<Line*> kept;  // the last used at the end
};

class Upstream {
  public:
    Upstream(Loop& loop, Nanos connectWithin, Nanos keepIdle, int connectionsAtMost);

    Place& place(const std::string& name);             // made when first named, and kept
    Place* known(const std::string& name);             // none if it was never named
    void moved(Place& place, const Address& address);  // what is open to the old address is not used again
    void forget(Place& place);                         // closes its idle connections

    // Sends a call to a pod; done is called from the loop. The line may be ended to give the call up.
    Line* send(Place& place, const Call& call, Nanos within, Connection::Done done);

    std::size_t open() const { return used_.size() + idle_.size(); }
    std::size_t places() const { return places_.size(); }  // pods ever listed

  private:
    Line* take(Place& place);
    void keep(Line& line, bool answered);
    void drop(Line& line);  // an idle one
    void bury(std::list<std::shared_ptr<Line>>& from, Line& line);

    Loop& loop_;
    Nanos connectWithin_, idleAtMost_;
    std::size_t most_;
    std::map<std::string, std::unique_ptr<Place>> places_;
    std::list<std::shared_ptr<Line>> used_, idle_;  // idle: the longest first
};

// The same number at every sidecar, since messages between sidecars name pods by it.
std::uint32_t podNumber(std::string_view name);

}  // namespace lichenlanding::net
