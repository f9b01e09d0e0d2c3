#include "subscription/configuration_cache.hpp"

#include <algorithm>
#include <utility>

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::subscription {
namespace {

// A configuration that was asked for and has not come is asked for again after so long.
constexpr Nanos kConfigurationRequestTimeout = 400'000'000;

std::size_t rangeOf(const std::string& id) { return hashing::hash("range", id) % messages::kDigestRanges; }

}  // namespace

// ---- What a control node has from its own sources. ----

void ConfigurationCache::setConfiguration(std::uint32_t version, std::string compressed) {
    if (version <= version_) return;
    version_ = version;
    compressed_ = std::move(compressed);
    if (subscriber_.onConfiguration) subscriber_.onConfiguration(compressed_);
}

bool ConfigurationCache::setRollouts(std::int64_t number, std::string text) {
    if (number <= rolloutsNumber_) return false;
    rolloutsNumber_ = number;
    rollouts_ = std::move(text);
    if (subscriber_.onRollouts) subscriber_.onRollouts(rollouts_);
    return true;
}

void ConfigurationCache::apply(const discovery::EndpointEvent& event) {
    if (!endpoints_.apply(event)) return;
    rangeHashesCurrent_ = false;
    if (subscriber_.onEndpointEvent) subscriber_.onEndpointEvent(event);
}

Json ConfigurationCache::updateEndpoints(const std::vector<discovery::Endpoint>& endpoints,
                                         std::uint64_t term) {
    // Another control node has the lease by now.
    if (term < std::max(endpointListVersion_.term, highestTermSeen_)) return nullptr;
    const auto events = endpoints_.eventsTowards(endpoints, 0);
    const bool first = term > endpointListVersion_.term;
    endpointsCurrent_ = true;
    highestTermSeen_ = term;
    if (!first && events.empty()) return nullptr;
    messages::EndpointsUpdate update;
    update.baseVersion = endpointListVersion_;
    endpointListVersion_ = {term, first ? 1 : endpointListVersion_.sequence + 1};
    update.version = endpointListVersion_;
    for (const auto& event : events) {
        apply(event);
        if (event.removed) update.removed.push_back(event.endpoint.id);
        else update.endpoints.push_back(event.endpoint);
    }
    if (first) return nullptr;
    return messages::encode(update);
}

// ---- Messages. ----

const messages::RangeHashes& ConfigurationCache::rangeHashes() const {
    if (rangeHashesCurrent_) return rangeHashes_;
    rangeHashes_ = {};
    for (const auto& [id, endpoint] : endpoints_.endpoints())
        rangeHashes_[rangeOf(id)] ^= hashing::hash(endpoint.draining ? "draining" : "ready", id);
    rangeHashesCurrent_ = true;
    return rangeHashes_;
}

messages::Digest ConfigurationCache::digest() const {
    messages::Digest digest{version_, rolloutsNumber_, std::nullopt, false};
    if (endpointsCurrent_) digest.endpoints = {endpointListVersion_, rangeHashes()};
    return digest;
}

Json ConfigurationCache::digestMessage() const { return messages::encode(digest()); }

Json ConfigurationCache::versionsMessage() const {
    return messages::encode(messages::Digest{version_, rolloutsNumber_, std::nullopt, false});
}

Json ConfigurationCache::rolloutsMessage() const {
    return messages::encode(messages::RolloutsUpdate{rolloutsNumber_, rollouts_});
}

Json ConfigurationCache::fullEndpointsMessage() const {
    // Ranges that are not asked for are the same there: they hold nothing, or the copies agree.
    messages::EndpointsUpdate update;
    update.version = endpointListVersion_;
    for (const auto& [_, endpoint] : endpoints_.endpoints()) update.endpoints.push_back(endpoint);
    return messages::encode(update);
}

Json ConfigurationCache::configurationMessage() const {
    return messages::encode(messages::ConfigurationUpdate{version_, compressed_});
}

bool ConfigurationCache::handleMessage(const Json& message, MessageSource from, Nanos now,
                                       const Reply& reply) {
    const auto& type = messages::typeOf(message);
    if (type == messages::kTypeDigest) {
        compareDigest(messages::decodeDigest(message), from, now, reply);
    } else if (type == messages::kTypeFetch) {
        answerFetch(messages::decodeFetchRequest(message), reply);
    } else if (type == messages::kTypeConfiguration) {
        auto update = messages::decodeConfigurationUpdate(message);
        setConfiguration(update.version, std::move(update.compressed));
    } else if (type == messages::kTypeRollouts) {
        auto update = messages::decodeRolloutsUpdate(message);
        setRollouts(update.number, std::move(update.text));
    } else if (type == messages::kTypeEndpoints) {
        applyEndpoints(messages::decodeEndpointsUpdate(message), from, reply);
    } else {
        return false;
    }
    return true;
}

// ---- Digests. What theirs has and this copy lacks is asked for; where this copy is newer, its digest goes
// back, once. ----

void ConfigurationCache::compareDigest(const messages::Digest& theirs, MessageSource from, Nanos now,
                                       const Reply& reply) {
    auto request = missingFrom(theirs, from, now);
    bool newer = version_ > theirs.configuration || rolloutsNumber_ > theirs.rollouts;
    if (theirs.endpoints) newer = adoptOrFetchEndpoints(*theirs.endpoints, from, request) || newer;
    else newer = newer || endpointsCurrent_;
    if (!request.empty()) reply(messages::encode(request));
    if (theirs.isReply) return;
    // A control node that is behind in its term does not know that its lease has gone to another.
    const bool theirTermIsOver =
        endpointsCurrent_ && theirs.endpoints && theirs.endpoints->version.term < endpointListVersion_.term;
    if (from == MessageSource::controlNode ? !theirTermIsOver : !newer) return;
    auto own = digest();
    own.isReply = true;
    reply(messages::encode(own));
}

messages::FetchRequest ConfigurationCache::missingFrom(const messages::Digest& theirs, MessageSource from,
                                                       Nanos now) {
    messages::FetchRequest request;
    if (from == MessageSource::subscriber) return request;
    const bool onItsWay =
        requestedVersion_ == theirs.configuration && now - requestedAt_ <= kConfigurationRequestTimeout;
    if (theirs.configuration > version_ && !onItsWay) {
        request.configuration = requestedVersion_ = theirs.configuration;
        requestedAt_ = now;
    }
    request.rollouts = theirs.rollouts > rolloutsNumber_;
    return request;
}

// True where this copy has the newer list.
bool ConfigurationCache::adoptOrFetchEndpoints(const messages::Digest::Endpoints& theirs, MessageSource from,
                                               messages::FetchRequest& request) {
    const bool fromSubscriber = from == MessageSource::subscriber;
    const bool same = theirs.hashes == rangeHashes();
    highestTermSeen_ = std::max(highestTermSeen_, theirs.version.term);
    if (fromSubscriber && theirs.version.term > endpointListVersion_.term)
        endpointsCurrent_ = false;  // the lease has gone to another control node
    if (!fromSubscriber && isNewerList(theirs.version, from)) {
        if (same) {
            endpointListVersion_ = theirs.version;
            endpointsCurrent_ = true;
        } else {
            request.endpoints = {theirs.version, idsInDifferingRanges(theirs.hashes)};
        }
    }
    return endpointsCurrent_ && !same &&
           (theirs.version < endpointListVersion_ ||
            (fromSubscriber && theirs.version == endpointListVersion_));
}

// Of one version and not the same: a part has been missed, and a control node's word mends it.
bool ConfigurationCache::isNewerList(const EndpointListVersion& version, MessageSource from) const {
    return !endpointsCurrent_ || version > endpointListVersion_ ||
           (from == MessageSource::controlNode && version == endpointListVersion_);
}

std::map<std::string, std::vector<std::string>> ConfigurationCache::idsInDifferingRanges(
    const messages::RangeHashes& theirs) const {
    std::map<std::string, std::vector<std::string>> ids;
    for (std::size_t range = 0; range < messages::kDigestRanges; ++range)
        if (theirs[range] != rangeHashes()[range]) ids[std::to_string(range)];
    for (const auto& [id, _] : endpoints_.endpoints())
        if (const auto range = ids.find(std::to_string(rangeOf(id))); range != ids.end())
            range->second.push_back(id);
    return ids;
}

// ---- Fetch requests. ----

bool ConfigurationCache::wantsFullList(const Json& fetchRequest) const {
    const auto request = messages::decodeFetchRequest(fetchRequest);
    return endpointsCurrent_ && request.endpoints && request.endpoints->version == endpointListVersion_ &&
           std::all_of(request.endpoints->heldIds.begin(), request.endpoints->heldIds.end(),
                       [](const auto& range) { return range.second.empty(); });
}

void ConfigurationCache::answerFetch(const messages::FetchRequest& request, const Reply& reply) const {
    if (request.configuration && version_ > 0) reply(configurationMessage());
    if (request.rollouts && rolloutsNumber_ >= 0) reply(rolloutsMessage());
    if (!request.endpoints || !endpointsCurrent_) return;
    // Changed meanwhile, maybe in ranges that were not asked for.
    if (request.endpoints->version != endpointListVersion_) return reply(digestMessage());
    reply(endpointsAnswer(*request.endpoints));
}

Json ConfigurationCache::endpointsAnswer(const messages::FetchRequest::Endpoints& request) const {
    std::set<std::string> theirs;
    for (const auto& [_, ids] : request.heldIds) theirs.insert(ids.begin(), ids.end());
    messages::EndpointsUpdate update;
    update.version = endpointListVersion_;
    for (const auto& [id, endpoint] : endpoints_.endpoints())
        if (request.heldIds.contains(std::to_string(rangeOf(id))) &&
            (endpoint.draining || !theirs.contains(id)))
            update.endpoints.push_back(endpoint);
    // What is not in this version has no place in a copy of it. Removed for good is only what was seen to go:
    // the other may know an endpoint that is newer than this version.
    auto& suspect = update.suspect.emplace();
    for (const auto& id : theirs)
        if (!endpoints_.endpoints().contains(id))
            (endpoints_.hasLeft(id) ? update.removed : suspect).push_back(id);
    return messages::encode(update);
}

// ---- Updates of endpoints. ----

void ConfigurationCache::applyEndpoints(const messages::EndpointsUpdate& update, MessageSource from,
                                        const Reply& reply) {
    const bool newer = isNewerList(update.version, from);
    for (const auto& endpoint : update.endpoints)
        // Of an older list only what never goes back is taken.
        if (newer || (endpoint.draining && endpoints_.endpoints().contains(endpoint.id)))
            apply({0, endpoint, false, false});
    removeAll(update.removed, false);
    if (newer && update.suspect) removeAll(*update.suspect, true);
    highestTermSeen_ = std::max(highestTermSeen_, update.version.term);
    // A change names the version before it, a mended copy does not.
    const bool missedOne =
        update.baseVersion && (!endpointsCurrent_ || *update.baseVersion != endpointListVersion_);
    if (from == MessageSource::controlNode && update.version.term < endpointListVersion_.term) {
        reply(digestMessage());  // its lease has gone to another, which it may not know
    } else if (newer && missedOne) {
        reply(digestMessage());  // what differs comes back
    } else if (newer) {
        endpointListVersion_ = update.version;
        endpointsCurrent_ = true;
    }
}

void ConfigurationCache::removeAll(const std::vector<std::string>& ids, bool suspect) {
    for (const auto& id : ids) {
        discovery::EndpointEvent event;
        event.endpoint.id = id;
        event.removed = true;
        event.suspect = suspect;
        apply(event);
    }
}

}  // namespace lichenlanding::subscription
