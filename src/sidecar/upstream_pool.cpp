#include "sidecar/upstream_pool.hpp"

#include <algorithm>

#include "sidecar/messages.hpp"

namespace lichenlanding::net {

std::uint32_t podNumber(std::string_view name) {  // FNV-1a
    std::uint32_t hash = 2166136261u;
    for (unsigned char letter : name) hash = (hash ^ letter) * 16777619u;
    return hash;
}

Line::Line(Loop& loop, Place& place_)
    : place(place_), connection(loop, place_.address, longestBody), idle(loop, [] {}) {}

Upstream::Upstream(Loop& loop, Nanos connectWithin, Nanos keepIdle, int connectionsAtMost)
    : loop_(loop),
      connectWithin_(connectWithin),
      idleAtMost_(keepIdle / 2),
      most_(static_cast<std::size_t>(connectionsAtMost)) {}

Place& Upstream::place(const std::string& name) {
    auto& held = places_[name];
    if (!held) {
        held = std::make_unique<Place>();
        held->name = name;
        held->id = podNumber(name);
    }
    return *held;
}

Place* Upstream::known(const std::string& name) {
    const auto found = places_.find(name);
    return found == places_.end() ? nullptr : found->second.get();
}

void Upstream::moved(Place& place, const Address& address) {
    if (place.address == address) return;
    place.address = address;
    forget(place);
}

void Upstream::forget(Place& place) {
    while (!place.kept.empty()) drop(*place.kept.back());
}

Line* Upstream::take(Place& place) {
    while (!place.kept.empty()) {
        auto* line = place.kept.back();
        if (!line->connection.quiet()) {
            drop(*line);
            continue;
        }
        place.kept.pop_back();
        used_.splice(used_.end(), idle_, line->at);
        line->idle.stop();
        return line;
    }
    if (open() >= most_ && !idle_.empty()) drop(*idle_.front());
    if (open() >= most_) return nullptr;
    const auto at = used_.insert(used_.end(), std::make_shared<Line>(loop_, place));
    (*at)->at = at;
    return at->get();
}

Line* Upstream::send(Place& place, const Call& call, Nanos within, Connection::Done done) {
    auto* line = take(place);
    if (!line) {
        log(Kind::pod, "no descriptor left for a connection to " + place.name);
        loop_.later([done = std::move(done)] { done({Ending::noRoom}); });
        return nullptr;
    }
    line->connection.call(call, connectWithin_, within, [this, line, done = std::move(done)](Return back) {
        keep(*line, back.code != 0 || back.ending == Ending::garbled);
        done(std::move(back));
    });
    return line;
}

void Upstream::keep(Line& line, bool answered) {
    auto& place = line.place;
    // A call that brought no whole answer casts doubt on the other connections, too. Guards against machines
    // that vanished or were cut off, and against whatever drops idle connections unseen: these stay open and
    // silent, and each would cost a hit. Harm: a few new connections where a pod was only slow.
    if (!answered) forget(place);
    if (!line.connection.free() || !(line.connection.address() == place.address)) return bury(used_, line);
    idle_.splice(idle_.end(), used_, line.at);
    place.kept.push_back(&line);
    line.connection.onClose([this, &line] { drop(line); });
    line.idle.calls([this, &line] { drop(line); });
    line.idle.in(idleAtMost_);
}

void Upstream::drop(Line& line) {
    if (std::erase(line.place.kept, &line) > 0) bury(idle_, line);
}

void Upstream::bury(std::list<std::shared_ptr<Line>>& from, Line& line) {
    auto held = *line.at;
    from.erase(line.at);
    line.idle.stop();
    line.connection.abandon();
    loop_.bury(held);
}

}  // namespace lichenlanding::net
