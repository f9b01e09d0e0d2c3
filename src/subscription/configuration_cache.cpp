#include "subscription/configuration_cache.hpp"

#include <algorithm>
#include <utility>

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::subscription {
namespace {

constexpr Nanos kAskAgain = 400'000'000;  // for a configuration that has not come

std::size_t rangeOf(const std::string& id) { return hashing::hash("range", id) % kRanges; }

Json write(const EndpointListVersion& endpointListVersion) {
    return Json::array({endpointListVersion.term, endpointListVersion.sequence});
}
EndpointListVersion readEdition(const Json& from) {
    return {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>()};
}

}  // namespace

void ConfigurationCache::configuration(std::uint32_t version, std::string compressed) {
    if (version <= version_) return;
    version_ = version, compressed_ = std::move(compressed);
    if (reader_.configuration) reader_.configuration(compressed_);
}

bool ConfigurationCache::rollouts(std::int64_t number, std::string text) {
    if (number <= number_) return false;
    number_ = number, rollouts_ = std::move(text);
    if (reader_.rollouts) reader_.rollouts(rollouts_);
    return true;
}

void ConfigurationCache::apply(const discovery::EndpointEvent& event) {
    if (!endpoints_.apply(event)) return;
    summed_ = false;
    if (reader_.pod) reader_.pod(event);
}

Json ConfigurationCache::list(const std::vector<discovery::Endpoint>& members, std::uint64_t term) {
    if (term < std::max(endpointListVersion_.term, highestTermSeen_))
        return nullptr;  // another has the duty by now
    const auto events = endpoints_.eventsTowards(members, 0);
    const bool first = term > endpointListVersion_.term;
    listed_ = true, highestTermSeen_ = term;
    if (!first && events.empty()) return nullptr;
    const auto before = std::exchange(
        endpointListVersion_,
        first ? EndpointListVersion{term, 1} : EndpointListVersion{term, endpointListVersion_.sequence + 1});
    Json set = Json::array(), gone = Json::array();
    for (const auto& event : events) {
        apply(event);
        if (event.gone) gone.push_back(event.member.id);
        else set.push_back(messages::write(event.member));
    }
    if (first) return nullptr;
    return {{"t", "pods"},
            {"after", subscription::write(before)},
            {"edition", subscription::write(endpointListVersion_)},
            {"set", set},
            {"gone", gone}};
}

const std::array<std::uint64_t, kRanges>& ConfigurationCache::sums() const {
    if (summed_) return sums_;
    sums_ = {};
    for (const auto& [id, member] : endpoints_.members())
        sums_[rangeOf(id)] ^= hashing::hash(member.draining ? "draining" : "ready", id);
    summed_ = true;
    return sums_;
}

Json ConfigurationCache::cue() const {
    return {{"t", "digest"}, {"configuration", version_}, {"rollouts", number_}};
}

Json ConfigurationCache::order() const {
    return {{"t", "rollouts"}, {"number", number_}, {"list", rollouts_}};
}

Json ConfigurationCache::digest() const {
    auto told = cue();
    if (listed_) told["edition"] = subscription::write(endpointListVersion_), told["sums"] = sums();
    return told;
}

bool ConfigurationCache::heard(const Json& message, MessageSource from, Nanos now, const Reply& reply) {
    const auto& kind = message.at("t").get_ref<const std::string&>();
    if (kind == "digest") {
        compare(message, from, now, reply);
    } else if (kind == "want") {
        answer(message, reply);
    } else if (kind == "configuration") {
        configuration(message.at("version").get<std::uint32_t>(),
                      messages::decodeBytes(message.at("squeezed")));
    } else if (kind == "rollouts") {
        rollouts(message.at("number").get<std::int64_t>(), message.at("list").get<std::string>());
    } else if (kind == "pods") {
        take(message, from, reply);
    } else {
        return false;
    }
    return true;
}

// What theirs has that this one lacks is asked for; where this one is the newer, its digest goes back, once.
void ConfigurationCache::compare(const Json& theirs, MessageSource from, Nanos now, const Reply& reply) {
    const bool asks = from != MessageSource::follower;
    Json want{{"t", "want"}};
    bool newer = false;
    const auto version = theirs.at("configuration").get<std::uint32_t>();
    if (version > version_ && asks && (asked_ != version || now - askedAt_ > kAskAgain))
        want["configuration"] = asked_ = version, askedAt_ = now;
    newer = newer || version < version_;
    const auto number = theirs.at("rollouts").get<std::int64_t>();
    if (number > number_ && asks) want["rollouts"] = true;
    newer = newer || number < number_;
    if (!theirs.contains("edition")) {
        newer = newer || listed_;
    } else {
        const auto endpointListVersion = readEdition(theirs.at("edition"));
        const auto told = theirs.at("sums").get<std::array<std::uint64_t, kRanges>>();
        const bool same = told == sums();
        highestTermSeen_ = std::max(highestTermSeen_, endpointListVersion.term);
        if (!asks && endpointListVersion.term > endpointListVersion_.term)
            listed_ = false;  // its duty has gone to another
        // Of one edition and not the same: a part has been missed. The control node's word mends it.
        const bool follows =
            asks && (!listed_ || endpointListVersion > endpointListVersion_ ||
                     (from == MessageSource::controlNode && endpointListVersion == endpointListVersion_));
        if (same && follows) {
            endpointListVersion_ = endpointListVersion, listed_ = true;
        } else if (follows) {
            Json held = Json::object();
            for (std::size_t range = 0; range < kRanges; ++range)
                if (told[range] != sums()[range]) held[std::to_string(range)] = Json::array();
            for (const auto& [id, _] : endpoints_.members())
                if (const auto of = held.find(std::to_string(rangeOf(id))); of != held.end())
                    of->push_back(id);
            want["held"] = std::move(held), want["of"] = theirs.at("edition");
        }
        newer = newer || (listed_ && !same &&
                          (endpointListVersion < endpointListVersion_ ||
                           (!asks && endpointListVersion == endpointListVersion_)));
    }
    if (want.size() > 1) reply(std::move(want));
    // A control node that is behind in its term does not know that its duty has gone to another.
    const bool outrun = listed_ && theirs.contains("edition") &&
                        readEdition(theirs.at("edition")).term < endpointListVersion_.term;
    if ((from == MessageSource::controlNode ? outrun : newer) && !theirs.contains("back")) {
        auto mine = digest();
        mine["back"] = true;
        reply(std::move(mine));
    }
}

bool ConfigurationCache::wantsFullList(const Json& want) const {
    const auto held = want.find("held");
    return listed_ && held != want.end() && readEdition(want.at("of")) == endpointListVersion_ &&
           std::all_of(held->begin(), held->end(), [](const auto& ids) { return ids.empty(); });
}

// Ranges that are not asked for are the same there: they hold nothing, or the copies agree.
Json ConfigurationCache::whole() const {
    Json set = Json::array();
    for (const auto& [_, member] : endpoints_.members()) set.push_back(messages::write(member));
    return {{"t", "pods"},
            {"edition", subscription::write(endpointListVersion_)},
            {"set", set},
            {"gone", Json::array()}};
}

Json ConfigurationCache::body() const {
    return {{"t", "configuration"}, {"version", version_}, {"squeezed", messages::encodeBytes(compressed_)}};
}

void ConfigurationCache::answer(const Json& want, const Reply& reply) const {
    if (want.contains("configuration") && version_ > 0) reply(body());
    if (want.contains("rollouts") && number_ >= 0) reply(order());
    const auto held = want.find("held");
    if (held == want.end() || !listed_) return;
    if (readEdition(want.at("of")) !=
        endpointListVersion_) {  // changed meanwhile, maybe in ranges that were not asked for
        reply(digest());
        return;
    }
    std::set<std::string> theirs;
    for (const auto& [_, ids] : held->items())
        for (const auto& id : ids) theirs.insert(id.get<std::string>());
    Json set = Json::array(), gone = Json::array(), aside = Json::array();
    for (const auto& [id, member] : endpoints_.members())
        if (held->contains(std::to_string(rangeOf(id))) && (member.draining || !theirs.contains(id)))
            set.push_back(messages::write(member));
    // What is not in this edition has no place in a copy of it. Gone for good is only what was seen to go:
    // the other may know a pod that is newer than this edition.
    for (const auto& id : theirs)
        if (!endpoints_.members().contains(id)) (endpoints_.left(id) ? gone : aside).push_back(id);
    reply({{"t", "pods"},
           {"edition", subscription::write(endpointListVersion_)},
           {"set", set},
           {"gone", gone},
           {"aside", aside}});
}

void ConfigurationCache::take(const Json& pods, MessageSource from, const Reply& reply) {
    const auto endpointListVersion = readEdition(pods.at("edition"));
    const auto after = pods.find("after");  // a change names the one before it, a mended copy does not
    // A copy of this very edition mends what was missed of it.
    const bool newer = !listed_ || endpointListVersion > endpointListVersion_ ||
                       (from == MessageSource::controlNode && endpointListVersion == endpointListVersion_);
    for (const auto& entry : pods.at("set")) {
        discovery::EndpointEvent event;
        event.member = messages::decodeEndpoint(entry);
        // Of an older list only what never goes back is taken.
        if (newer || (event.member.draining && endpoints_.members().contains(event.member.id))) apply(event);
    }
    const auto drop = [&](const char* field, bool aside) {
        const auto ids = pods.find(field);
        if (ids == pods.end()) return;
        for (const auto& id : *ids) {
            discovery::EndpointEvent event;
            event.gone = true, event.aside = aside, id.get_to(event.member.id);
            apply(event);
        }
    };
    drop("gone", false);
    if (newer) drop("aside", true);
    highestTermSeen_ = std::max(highestTermSeen_, endpointListVersion.term);
    if (from == MessageSource::controlNode && endpointListVersion.term < endpointListVersion_.term) {
        reply(digest());  // its duty has gone to another, which it may not know
    } else if (after != pods.end() && newer && (!listed_ || readEdition(*after) != endpointListVersion_)) {
        reply(digest());  // one has been missed: what differs comes back
    } else if (newer) {
        endpointListVersion_ = endpointListVersion, listed_ = true;
    }
}

}  // namespace lichenlanding::subscription
