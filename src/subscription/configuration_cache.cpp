#include "subscription/configuration_cache.hpp"

#include <algorithm>
#include <utility>

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::subscription {
namespace {

std::size_t rangeOf(const std::string& id) { return hashing::hash("range", id) % messages::kDigestRanges; }

}  // namespace

// ---- Updates from a control node's own sources. ----

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
    // Another control node has acquired the lease.
    if (term < std::max(endpointListVersion_.term, highestTermSeen_)) return nullptr;
    const auto events = endpoints_.eventsTowards(endpoints, 0);
    const bool firstOfTerm = term > endpointListVersion_.term;
    endpointsCurrent_ = true;
    highestTermSeen_ = term;
    if (!firstOfTerm && events.empty()) return nullptr;
    messages::EndpointsUpdate update;
    update.baseVersion = endpointListVersion_;
    endpointListVersion_ = {term, firstOfTerm ? 1 : endpointListVersion_.sequence + 1};
    update.version = endpointListVersion_;
    for (const auto& event : events) {
        apply(event);
        if (event.removed) update.removed.push_back(event.endpoint.id);
        else update.endpoints.push_back(event.endpoint);
    }
    if (firstOfTerm) return nullptr;
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
    // Ranges that were not requested need no update: they are empty or equal in both copies.
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
        applyConfiguration(messages::decodeConfigurationUpdate(message), from, now, reply);
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

// ---- Digests. Fetches what this copy lacks; if this copy is newer, replies once with its own digest. ----

void ConfigurationCache::compareDigest(const messages::Digest& remote, MessageSource from, Nanos now,
                                       const Reply& reply) {
    auto request = fetchRequestFor(remote, from, now);
    bool newer = version_ > remote.configuration || rolloutsNumber_ > remote.rollouts;
    if (remote.endpoints) newer = adoptOrFetchEndpoints(*remote.endpoints, from, request) || newer;
    else newer = newer || endpointsCurrent_;
    if (!request.empty()) reply(messages::encode(request));
    if (remote.isReply) return;
    // A control node with a lower term does not know yet that another one has acquired its lease.
    const bool remoteTermIsOutdated =
        endpointsCurrent_ && remote.endpoints && remote.endpoints->version.term < endpointListVersion_.term;
    if (from == MessageSource::controlNode ? !remoteTermIsOutdated : !newer) return;
    auto own = digest();
    own.isReply = true;
    reply(messages::encode(own));
}

messages::FetchRequest ConfigurationCache::fetchRequestFor(const messages::Digest& remote, MessageSource from,
                                                           Nanos now) {
    messages::FetchRequest request;
    if (from == MessageSource::subscriber) return request;
    configurationFetch_.onAnnounced(remote.configuration);
    if (remote.configuration > version_ && configurationFetch_.isDue(version_, now)) {
        request.configuration = remote.configuration;
        configurationFetch_.onRequested(now);
    }
    request.rollouts = remote.rollouts > rolloutsNumber_;
    return request;
}

// Fetches again from the same sender while that leads to newer versions.
void ConfigurationCache::applyConfiguration(messages::ConfigurationUpdate update, MessageSource from,
                                            Nanos now, const Reply& reply) {
    const bool newer = update.version > version_;
    setConfiguration(update.version, std::move(update.compressed));
    if (from == MessageSource::subscriber) return;
    configurationFetch_.onArrived();
    if (!newer || !configurationFetch_.isDue(version_, now)) return;
    messages::FetchRequest request;
    request.configuration = configurationFetch_.announced();
    configurationFetch_.onRequested(now);
    reply(messages::encode(request));
}

// True if this copy has the newer list.
bool ConfigurationCache::adoptOrFetchEndpoints(const messages::Digest::Endpoints& remote, MessageSource from,
                                               messages::FetchRequest& request) {
    const bool fromSubscriber = from == MessageSource::subscriber;
    const bool same = remote.hashes == rangeHashes();
    highestTermSeen_ = std::max(highestTermSeen_, remote.version.term);
    if (fromSubscriber && remote.version.term > endpointListVersion_.term)
        endpointsCurrent_ = false;  // another control node has acquired the lease
    if (!fromSubscriber && isNewerList(remote.version, from)) {
        if (same) {
            endpointListVersion_ = remote.version;
            endpointsCurrent_ = true;
        } else {
            request.endpoints = {remote.version, idsInDifferingRanges(remote.hashes)};
        }
    }
    return endpointsCurrent_ && !same &&
           (remote.version < endpointListVersion_ ||
            (fromSubscriber && remote.version == endpointListVersion_));
}

// Equal versions with different content: this copy has missed an update, and the control node's is right.
bool ConfigurationCache::isNewerList(const EndpointListVersion& version, MessageSource from) const {
    return !endpointsCurrent_ || version > endpointListVersion_ ||
           (from == MessageSource::controlNode && version == endpointListVersion_);
}

std::map<std::string, std::vector<std::string>> ConfigurationCache::idsInDifferingRanges(
    const messages::RangeHashes& remote) const {
    std::map<std::string, std::vector<std::string>> ids;
    for (std::size_t range = 0; range < messages::kDigestRanges; ++range)
        if (remote[range] != rangeHashes()[range]) ids[std::to_string(range)];
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
    // The list has changed since, maybe in ranges that were not requested.
    if (request.endpoints->version != endpointListVersion_) return reply(digestMessage());
    reply(endpointsAnswer(*request.endpoints));
}

Json ConfigurationCache::endpointsAnswer(const messages::FetchRequest::Endpoints& request) const {
    std::set<std::string> remoteIds;
    for (const auto& [_, ids] : request.heldIds) remoteIds.insert(ids.begin(), ids.end());
    messages::EndpointsUpdate update;
    update.version = endpointListVersion_;
    for (const auto& [id, endpoint] : endpoints_.endpoints())
        if (request.heldIds.contains(std::to_string(rangeOf(id))) &&
            (endpoint.draining || !remoteIds.contains(id)))
            update.endpoints.push_back(endpoint);
    // A copy of this version must not contain other endpoints. But only endpoints whose removal was observed
    // are removed for good: the receiver may know an endpoint that is newer than this version.
    auto& suspect = update.suspect.emplace();
    for (const auto& id : remoteIds)
        if (!endpoints_.endpoints().contains(id))
            (endpoints_.hasLeft(id) ? update.removed : suspect).push_back(id);
    return messages::encode(update);
}

// ---- Updates of endpoints. ----

void ConfigurationCache::applyEndpoints(const messages::EndpointsUpdate& update, MessageSource from,
                                        const Reply& reply) {
    const bool newer = isNewerList(update.version, from);
    for (const auto& endpoint : update.endpoints)
        // From an older list only irreversible changes are applied: draining here, removals below.
        if (newer || (endpoint.draining && endpoints_.endpoints().contains(endpoint.id)))
            apply({0, endpoint, false, false});
    removeAll(update.removed, false);
    if (newer && update.suspect) removeAll(*update.suspect, true);
    highestTermSeen_ = std::max(highestTermSeen_, update.version.term);
    // A pushed change names the version before it; the response to a fetch request does not.
    const bool missedUpdate =
        update.baseVersion && (!endpointsCurrent_ || *update.baseVersion != endpointListVersion_);
    if (from == MessageSource::controlNode && update.version.term < endpointListVersion_.term) {
        reply(digestMessage());  // another control node has its lease, which it may not know
    } else if (newer && missedUpdate) {
        reply(digestMessage());  // the sender replies with what differs
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
