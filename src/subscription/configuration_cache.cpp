#include "subscription/configuration_cache.hpp"

#include <algorithm>
#include <utility>

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::subscription {
namespace {

constexpr Nanos kConfigurationRequestTimeout = 400'000'000;  // for a configuration that has not come

std::size_t rangeOf(const std::string& id) { return hashing::hash("range", id) % kDigestRanges; }

Json encode(const EndpointListVersion& endpointListVersion) {
    return Json::array({endpointListVersion.term, endpointListVersion.sequence});
}
EndpointListVersion decodeVersion(const Json& from) {
    return {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>()};
}

}  // namespace

void ConfigurationCache::setConfiguration(std::uint32_t version, std::string compressed) {
    if (version <= version_) return;
    version_ = version, compressed_ = std::move(compressed);
    if (subscriber_.onConfiguration) subscriber_.onConfiguration(compressed_);
}

bool ConfigurationCache::setRollouts(std::int64_t number, std::string text) {
    if (number <= rolloutsNumber_) return false;
    rolloutsNumber_ = number, rollouts_ = std::move(text);
    if (subscriber_.onRollouts) subscriber_.onRollouts(rollouts_);
    return true;
}

void ConfigurationCache::apply(const discovery::EndpointEvent& event) {
    if (!endpoints_.apply(event)) return;
    sumsCurrent_ = false;
    if (subscriber_.onEndpointEvent) subscriber_.onEndpointEvent(event);
}

Json ConfigurationCache::updateEndpoints(const std::vector<discovery::Endpoint>& endpoints,
                                         std::uint64_t term) {
    if (term < std::max(endpointListVersion_.term, highestTermSeen_))
        return nullptr;  // another has the duty by now
    const auto events = endpoints_.eventsTowards(endpoints, 0);
    const bool first = term > endpointListVersion_.term;
    endpointsCurrent_ = true, highestTermSeen_ = term;
    if (!first && events.empty()) return nullptr;
    const auto before = std::exchange(
        endpointListVersion_,
        first ? EndpointListVersion{term, 1} : EndpointListVersion{term, endpointListVersion_.sequence + 1});
    Json set = Json::array(), gone = Json::array();
    for (const auto& event : events) {
        apply(event);
        if (event.removed) gone.push_back(event.endpoint.id);
        else set.push_back(messages::encode(event.endpoint));
    }
    if (first) return nullptr;
    return {{"t", "pods"},
            {"after", subscription::encode(before)},
            {"edition", subscription::encode(endpointListVersion_)},
            {"set", set},
            {"gone", gone}};
}

const std::array<std::uint64_t, kDigestRanges>& ConfigurationCache::rangeHashes() const {
    if (sumsCurrent_) return rangeHashes_;
    rangeHashes_ = {};
    for (const auto& [id, member] : endpoints_.endpoints())
        rangeHashes_[rangeOf(id)] ^= hashing::hash(member.draining ? "draining" : "ready", id);
    sumsCurrent_ = true;
    return rangeHashes_;
}

Json ConfigurationCache::versionsMessage() const {
    return {{"t", "digest"}, {"configuration", version_}, {"rollouts", rolloutsNumber_}};
}

Json ConfigurationCache::rolloutsMessage() const {
    return {{"t", "rollouts"}, {"number", rolloutsNumber_}, {"list", rollouts_}};
}

Json ConfigurationCache::digestMessage() const {
    auto told = versionsMessage();
    if (endpointsCurrent_)
        told["edition"] = subscription::encode(endpointListVersion_), told["sums"] = rangeHashes();
    return told;
}

bool ConfigurationCache::handleMessage(const Json& message, MessageSource from, Nanos now,
                                       const Reply& reply) {
    const auto& kind = message.at("t").get_ref<const std::string&>();
    if (kind == "digest") {
        compareDigest(message, from, now, reply);
    } else if (kind == "want") {
        answerFetch(message, reply);
    } else if (kind == "configuration") {
        setConfiguration(message.at("version").get<std::uint32_t>(),
                         messages::decodeBytes(message.at("squeezed")));
    } else if (kind == "rollouts") {
        setRollouts(message.at("number").get<std::int64_t>(), message.at("list").get<std::string>());
    } else if (kind == "pods") {
        applyEndpoints(message, from, reply);
    } else {
        return false;
    }
    return true;
}

// What theirs has that this one lacks is asked for; where this one is the newer, its digest goes back, once.
void ConfigurationCache::compareDigest(const Json& theirs, MessageSource from, Nanos now,
                                       const Reply& reply) {
    const bool asks = from != MessageSource::subscriber;
    Json want{{"t", "want"}};
    bool newer = false;
    const auto version = theirs.at("configuration").get<std::uint32_t>();
    if (version > version_ && asks &&
        (requestedVersion_ != version || now - requestedAt_ > kConfigurationRequestTimeout))
        want["configuration"] = requestedVersion_ = version, requestedAt_ = now;
    newer = newer || version < version_;
    const auto number = theirs.at("rollouts").get<std::int64_t>();
    if (number > rolloutsNumber_ && asks) want["rollouts"] = true;
    newer = newer || number < rolloutsNumber_;
    if (!theirs.contains("edition")) {
        newer = newer || endpointsCurrent_;
    } else {
        const auto endpointListVersion = decodeVersion(theirs.at("edition"));
        const auto told = theirs.at("sums").get<std::array<std::uint64_t, kDigestRanges>>();
        const bool same = told == rangeHashes();
        highestTermSeen_ = std::max(highestTermSeen_, endpointListVersion.term);
        if (!asks && endpointListVersion.term > endpointListVersion_.term)
            endpointsCurrent_ = false;  // its duty has gone to another
        // Of one edition and not the same: a part has been missed. The control node's word mends it.
        const bool follows =
            asks && (!endpointsCurrent_ || endpointListVersion > endpointListVersion_ ||
                     (from == MessageSource::controlNode && endpointListVersion == endpointListVersion_));
        if (same && follows) {
            endpointListVersion_ = endpointListVersion, endpointsCurrent_ = true;
        } else if (follows) {
            Json held = Json::object();
            for (std::size_t range = 0; range < kDigestRanges; ++range)
                if (told[range] != rangeHashes()[range]) held[std::to_string(range)] = Json::array();
            for (const auto& [id, _] : endpoints_.endpoints())
                if (const auto of = held.find(std::to_string(rangeOf(id))); of != held.end())
                    of->push_back(id);
            want["held"] = std::move(held), want["of"] = theirs.at("edition");
        }
        newer = newer || (endpointsCurrent_ && !same &&
                          (endpointListVersion < endpointListVersion_ ||
                           (!asks && endpointListVersion == endpointListVersion_)));
    }
    if (want.size() > 1) reply(std::move(want));
    // A control node that is behind in its term does not know that its duty has gone to another.
    const bool outrun = endpointsCurrent_ && theirs.contains("edition") &&
                        decodeVersion(theirs.at("edition")).term < endpointListVersion_.term;
    if ((from == MessageSource::controlNode ? outrun : newer) && !theirs.contains("back")) {
        auto mine = digestMessage();
        mine["back"] = true;
        reply(std::move(mine));
    }
}

bool ConfigurationCache::wantsFullList(const Json& want) const {
    const auto held = want.find("held");
    return endpointsCurrent_ && held != want.end() && decodeVersion(want.at("of")) == endpointListVersion_ &&
           std::all_of(held->begin(), held->end(), [](const auto& ids) { return ids.empty(); });
}

// Ranges that are not asked for are the same there: they hold nothing, or the copies agree.
Json ConfigurationCache::fullEndpointsMessage() const {
    Json set = Json::array();
    for (const auto& [_, member] : endpoints_.endpoints()) set.push_back(messages::encode(member));
    return {{"t", "pods"},
            {"edition", subscription::encode(endpointListVersion_)},
            {"set", set},
            {"gone", Json::array()}};
}

Json ConfigurationCache::configurationMessage() const {
    return {{"t", "configuration"}, {"version", version_}, {"squeezed", messages::encodeBytes(compressed_)}};
}

void ConfigurationCache::answerFetch(const Json& want, const Reply& reply) const {
    if (want.contains("configuration") && version_ > 0) reply(configurationMessage());
    if (want.contains("rollouts") && rolloutsNumber_ >= 0) reply(rolloutsMessage());
    const auto held = want.find("held");
    if (held == want.end() || !endpointsCurrent_) return;
    if (decodeVersion(want.at("of")) !=
        endpointListVersion_) {  // changed meanwhile, maybe in ranges that were not asked for
        reply(digestMessage());
        return;
    }
    std::set<std::string> theirs;
    for (const auto& [_, ids] : held->items())
        for (const auto& id : ids) theirs.insert(id.get<std::string>());
    Json set = Json::array(), gone = Json::array(), aside = Json::array();
    for (const auto& [id, member] : endpoints_.endpoints())
        if (held->contains(std::to_string(rangeOf(id))) && (member.draining || !theirs.contains(id)))
            set.push_back(messages::encode(member));
    // What is not in this edition has no place in a copy of it. Gone for good is only what was seen to go:
    // the other may know a pod that is newer than this edition.
    for (const auto& id : theirs)
        if (!endpoints_.endpoints().contains(id)) (endpoints_.hasLeft(id) ? gone : aside).push_back(id);
    reply({{"t", "pods"},
           {"edition", subscription::encode(endpointListVersion_)},
           {"set", set},
           {"gone", gone},
           {"aside", aside}});
}

void ConfigurationCache::applyEndpoints(const Json& pods, MessageSource from, const Reply& reply) {
    const auto endpointListVersion = decodeVersion(pods.at("edition"));
    const auto after = pods.find("after");  // a change names the one before it, a mended copy does not
    // A copy of this very edition mends what was missed of it.
    const bool newer = !endpointsCurrent_ || endpointListVersion > endpointListVersion_ ||
                       (from == MessageSource::controlNode && endpointListVersion == endpointListVersion_);
    for (const auto& entry : pods.at("set")) {
        discovery::EndpointEvent event;
        event.endpoint = messages::decodeEndpoint(entry);
        // Of an older list only what never goes back is taken.
        if (newer || (event.endpoint.draining && endpoints_.endpoints().contains(event.endpoint.id)))
            apply(event);
    }
    const auto drop = [&](const char* field, bool aside) {
        const auto ids = pods.find(field);
        if (ids == pods.end()) return;
        for (const auto& id : *ids) {
            discovery::EndpointEvent event;
            event.removed = true, event.suspect = aside, id.get_to(event.endpoint.id);
            apply(event);
        }
    };
    drop("gone", false);
    if (newer) drop("aside", true);
    highestTermSeen_ = std::max(highestTermSeen_, endpointListVersion.term);
    if (from == MessageSource::controlNode && endpointListVersion.term < endpointListVersion_.term) {
        reply(digestMessage());  // its duty has gone to another, which it may not know
    } else if (after != pods.end() && newer &&
               (!endpointsCurrent_ || decodeVersion(*after) != endpointListVersion_)) {
        reply(digestMessage());  // one has been missed: what differs comes back
    } else if (newer) {
        endpointListVersion_ = endpointListVersion, endpointsCurrent_ = true;
    }
}

}  // namespace lichenlanding::subscription
