/// What a proxy serves by (the configuration, the rollouts, the endpoints), and how its copies are kept the
/// same. Control nodes push what changes; proxies that watch each other compare digests over ranges of
/// endpoint ids, and the older copy fetches from the newer. Control nodes and proxies use the same class, so
/// a proxy that is cut off from every control node gets the same updates from its peers. See
/// docs/design/peer-updates.md.
///
/// Pure: time comes in as an argument; messages come and go as JSON values (messages/peer_messages.hpp), in
/// any order, doubled or lost. Nothing goes back: versions, numbers and list versions only rise, and an
/// endpoint only goes from ready to draining to removed. No clock tells what is newer. One thread.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "discovery/endpoint_set.hpp"
#include "messages/peer_messages.hpp"

namespace lichenlanding::subscription {

using Json = nlohmann::json;
using discovery::EndpointListVersion;

class ConfigurationCache {
  public:
    /// Called with each thing that is newer than what was held, before the call that brought it returns. Any
    /// may be empty.
    struct Subscriber {
        std::function<void(const std::string& compressed)> onConfiguration;  // bytes as they travel
        std::function<void(const std::string& text)> onRollouts;
        std::function<void(const discovery::EndpointEvent&)> onEndpointEvent;
    };
    /// Who sent a message. A subscriber (a proxy, to a control node) is told what it lacks and asked for
    /// nothing: the register and the platform are the control nodes' sources.
    enum class MessageSource { controlNode, peerProxy, subscriber };
    /// Sends down the connection that the message came by.
    using Reply = std::function<void(Json)>;

    explicit ConfigurationCache(Subscriber subscriber) : subscriber_(std::move(subscriber)) {}

    // ---- What a control node has from its own sources. ----

    void setConfiguration(std::uint32_t version, std::string compressed);
    /// `number` is that of the newest change of any rollout. False where it is not newer than what is held.
    bool setRollouts(std::int64_t number, std::string text);
    /// A whole list as the platform gave it to the holder of the lease in `term` (from 1). Returns the change
    /// to be pushed, or null. The first list of a term is told by digestMessage() instead: no copy can chain
    /// a change to it.
    Json updateEndpoints(const std::vector<discovery::Endpoint>& endpoints, std::uint64_t term);
    void markEndpointsStale() { endpointsCurrent_ = false; }  // the list is no longer kept up to date

    // ---- Messages. ----

    /// What is held, in short: told at the start of a connection and from time to time.
    Json digestMessage() const;
    Json versionsMessage() const;  // a digest without the endpoints
    Json rolloutsMessage() const;
    Json fullEndpointsMessage() const;
    Json configurationMessage() const;
    /// Whether fullEndpointsMessage() answers the fetch request, since its sender holds no endpoints: at a
    /// start many ask at once, so the caller encodes the answer once for all of them.
    bool wantsFullList(const Json& fetchRequest) const;
    /// Takes digests, fetch requests, and updates of configuration, rollouts and endpoints; false where the
    /// message is none of these. Throws nlohmann::json::exception on one that cannot be read; nothing of it
    /// counts then.
    bool handleMessage(const Json& message, MessageSource from, Nanos now, const Reply& reply);

    std::uint32_t version() const { return version_; }  // of the configuration; 0: none
    bool endpointsCurrent() const { return endpointsCurrent_; }
    const EndpointListVersion& endpointListVersion() const { return endpointListVersion_; }
    std::uint64_t highestTermSeen() const { return highestTermSeen_; }  // own ones among them
    const discovery::EndpointSet& endpoints() const { return endpoints_; }

  private:
    void compareDigest(const messages::Digest& theirs, MessageSource from, Nanos now, const Reply& reply);
    messages::FetchRequest missingFrom(const messages::Digest& theirs, MessageSource from, Nanos now);
    bool adoptOrFetchEndpoints(const messages::Digest::Endpoints& theirs, MessageSource from,
                               messages::FetchRequest& request);
    std::map<std::string, std::vector<std::string>> idsInDifferingRanges(
        const messages::RangeHashes& theirs) const;
    void answerFetch(const messages::FetchRequest& request, const Reply& reply) const;
    Json endpointsAnswer(const messages::FetchRequest::Endpoints& request) const;
    void applyEndpoints(const messages::EndpointsUpdate& update, MessageSource from, const Reply& reply);
    bool isNewerList(const EndpointListVersion& version, MessageSource from) const;
    void removeAll(const std::vector<std::string>& ids, bool suspect);
    void apply(const discovery::EndpointEvent& event);
    messages::Digest digest() const;
    const messages::RangeHashes& rangeHashes() const;

    Subscriber subscriber_;
    std::uint32_t version_ = 0;
    std::string compressed_;
    std::int64_t rolloutsNumber_ = -1;
    std::string rollouts_;
    discovery::EndpointSet endpoints_;
    EndpointListVersion endpointListVersion_;  // of the list that the copy follows
    std::uint64_t highestTermSeen_ = 0;
    bool endpointsCurrent_ = false;
    std::uint32_t requestedVersion_ = 0;  // of the configuration, last asked for
    Nanos requestedAt_ = 0;
    mutable messages::RangeHashes rangeHashes_{};
    mutable bool rangeHashesCurrent_ = true;
};

}  // namespace lichenlanding::subscription
