// Sends proxies the configuration, the rollouts and the endpoint list, and answers what they ask for.
#pragma once

#include <functional>
#include <string>

#include "control_plane/proxy_registry.hpp"
#include "subscription/configuration_cache.hpp"

namespace lichenlanding::control_plane {

/// Runs on the event loop's thread.
class ConfigurationPublisher {
  public:
    /// Each message says whether `quorumContact` holds. All outlive this object.
    ConfigurationPublisher(subscription::ConfigurationCache& cache, const ProxyRegistry& proxies,
                           std::function<bool()> quorumContact)
        : cache_(cache), proxies_(proxies), quorumContact_(std::move(quorumContact)) {}

    /// The register has another configuration: the value as it keeps it, "" for none yet. One that this
    /// version can't read is logged, and what the cache has stays.
    void onConfigurationLearned(const std::string& value);
    /// The register has other rollouts, as it keeps them.
    void onRolloutsLearned(const std::string& value);

    void onDigest(transport::PeerConnection& proxy, const Json& digest);
    void onWant(transport::PeerConnection& proxy, Json want);

    void sendDigest(transport::PeerConnection& proxy) const;
    void broadcastDigest() const { broadcast(cache_.digestMessage()); }
    void broadcast(const Json& message) const;

  private:
    /// A message that many proxies ask for at once, as at a start: made and encoded once for each `key`.
    struct EncodedOnce {
        Json key;
        transport::EncodedMessage encoded;
    };
    template <typename Make>
    static transport::EncodedMessage encodeOnce(EncodedOnce& last, Json key, Make make);
    Json stamped(Json message) const;
    void answer(transport::PeerConnection& proxy, const Json& message) const;

    subscription::ConfigurationCache& cache_;
    const ProxyRegistry& proxies_;
    std::function<bool()> quorumContact_;
    EncodedOnce configuration_, endpointList_;  // as last asked for
};

}  // namespace lichenlanding::control_plane
