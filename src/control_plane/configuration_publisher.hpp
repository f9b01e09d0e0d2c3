// Sends the configuration, the rollouts and the endpoint list to proxies, and answers their requests for
// them.
#pragma once

#include <functional>
#include <string>

#include "control_plane/proxy_registry.hpp"
#include "subscription/configuration_cache.hpp"

namespace lichenlanding::control_plane {

/// Runs on the event loop's thread.
class ConfigurationPublisher {
  public:
    /// Each message carries the current result of `quorumContact`. All must outlive this object.
    ConfigurationPublisher(subscription::ConfigurationCache& cache, const ProxyRegistry& proxies,
                           std::function<bool()> quorumContact)
        : cache_(cache), proxies_(proxies), quorumContact_(std::move(quorumContact)) {}

    /// Called with the register's new value of the configuration, "" for none yet. A value that this version
    /// cannot decode is logged, and the cache keeps its configuration.
    void onConfigurationLearned(const std::string& value);
    /// Called with the register's new value of the rollouts.
    void onRolloutsLearned(const std::string& value);

    void onDigest(transport::PeerConnection& proxy, const Json& digest);
    void onWant(transport::PeerConnection& proxy, Json want);

    void sendDigest(transport::PeerConnection& proxy) const;
    void broadcastDigest() const { broadcast(cache_.digestMessage()); }
    void broadcast(const Json& message) const;

  private:
    /// Caches the last encoded message. Many proxies request the same one at once, as after a start; it is
    /// encoded once for each `key`.
    struct CachedMessage {
        Json key;
        transport::EncodedMessage encoded;
    };
    template <typename Make>
    static transport::EncodedMessage encodeCached(CachedMessage& cached, Json key, Make make);
    Json withCurrentContact(Json message) const;
    void answer(transport::PeerConnection& proxy, const Json& message) const;

    subscription::ConfigurationCache& cache_;
    const ProxyRegistry& proxies_;
    std::function<bool()> quorumContact_;
    CachedMessage configuration_, endpointList_;  // as last requested
};

}  // namespace lichenlanding::control_plane
