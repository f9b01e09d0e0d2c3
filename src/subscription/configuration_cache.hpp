/// A replicated copy of the configuration, the rollouts and the endpoints. Control nodes push updates;
/// proxies that watch each other run anti-entropy: they compare digests over ranges of endpoint ids, and the
/// older copy fetches from the newer. Control nodes and proxies use the same class, so a proxy that is cut
/// off from every control node gets the same updates from its peers. See docs/design/peer-updates.md.
///
/// Pure: time is an argument; messages are JSON values (messages/peer_messages.hpp) that may be reordered,
/// duplicated or lost. State is monotonic: versions, numbers and list versions only rise, and an endpoint
/// only changes from ready to draining to removed. No clock decides what is newer. Not thread-safe.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "discovery/endpoint_set.hpp"
#include "messages/peer_messages.hpp"
#include "subscription/pending_fetch.hpp"

namespace lichenlanding::subscription {

using Json = nlohmann::json;
using discovery::EndpointListVersion;

class ConfigurationCache {
  public:
    /// Callbacks for each update that is newer than the copy, called before the function that applied it
    /// returns. Any may be empty.
    struct Subscriber {
        std::function<void(const std::string& compressed)> onConfiguration;  // as transmitted
        std::function<void(const std::string& text)> onRollouts;
        std::function<void(const discovery::EndpointEvent&)> onEndpointEvent;
    };
    /// The sender of a message. A subscriber (at a control node: a proxy) receives what it lacks, and nothing
    /// is fetched from it: control nodes get their state from the register and the platform.
    enum class MessageSource { controlNode, peerProxy, subscriber };
    /// Sends a message on the connection that the handled message arrived on.
    using Reply = std::function<void(Json)>;

    explicit ConfigurationCache(Subscriber subscriber) : subscriber_(std::move(subscriber)) {}

    // ---- Updates from a control node's own sources. ----

    void setConfiguration(std::uint32_t version, std::string compressed);
    /// `number` is the highest change number of any rollout. False, without effect, if it is not newer.
    bool setRollouts(std::int64_t number, std::string text);
    /// Applies a complete list, as the platform returned it to the holder of the lease in `term` (from 1).
    /// Returns the change to push, or null. For the first list of a term push digestMessage() instead: no
    /// copy follows a list version that the change could be based on.
    Json updateEndpoints(const std::vector<discovery::Endpoint>& endpoints, std::uint64_t term);
    void markEndpointsStale() { endpointsCurrent_ = false; }  // the list is no longer refreshed

    // ---- Messages. ----

    /// A digest of the copy, sent at the start of a connection and periodically.
    Json digestMessage() const;
    Json versionsMessage() const;  // a digest without the endpoints
    Json rolloutsMessage() const;
    Json fullEndpointsMessage() const;
    Json configurationMessage() const;
    /// Whether fullEndpointsMessage() answers the fetch request, because its sender has no endpoints. At a
    /// start many proxies send such requests at once, so the caller encodes the response once for all of
    /// them.
    bool wantsFullList(const Json& fetchRequest) const;
    /// Handles digests, fetch requests, and updates of configuration, rollouts and endpoints; false for any
    /// other message. Throws nlohmann::json::exception, without any effect, on a message that cannot be
    /// decoded.
    bool handleMessage(const Json& message, MessageSource from, Nanos now, const Reply& reply);

    std::uint32_t version() const { return version_; }  // of the configuration; 0: none received
    /// Whether a newer configuration was announced a while ago and did not arrive. The caller then sends
    /// digestMessage() to those that may have it. True once in an interval.
    bool takeConfigurationOverdue(Nanos now) { return configurationFetch_.takeOverdue(version_, now); }
    bool endpointsCurrent() const { return endpointsCurrent_; }
    const EndpointListVersion& endpointListVersion() const { return endpointListVersion_; }
    std::uint64_t highestTermSeen() const { return highestTermSeen_; }  // including this node's own terms
    const discovery::EndpointSet& endpoints() const { return endpoints_; }

  private:
    void compareDigest(const messages::Digest& remote, MessageSource from, Nanos now, const Reply& reply);
    messages::FetchRequest fetchRequestFor(const messages::Digest& remote, MessageSource from, Nanos now);
    void applyConfiguration(messages::ConfigurationUpdate update, MessageSource from, Nanos now,
                            const Reply& reply);
    bool adoptOrFetchEndpoints(const messages::Digest::Endpoints& remote, MessageSource from,
                               messages::FetchRequest& request);
    std::map<std::string, std::vector<std::string>> idsInDifferingRanges(
        const messages::RangeHashes& remote) const;
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
    EndpointListVersion endpointListVersion_;  // of the list that the copy is based on
    std::uint64_t highestTermSeen_ = 0;
    bool endpointsCurrent_ = false;
    PendingFetch configurationFetch_;
    mutable messages::RangeHashes rangeHashes_{};
    mutable bool rangeHashesCurrent_ = true;
};

}  // namespace lichenlanding::subscription
