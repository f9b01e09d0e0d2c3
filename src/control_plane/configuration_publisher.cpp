#include "control_plane/configuration_publisher.hpp"

#include "admin/configuration_record.hpp"
#include "control_plane/replica_node.hpp"
#include "messages/codec.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {

using namespace transport;

namespace {

// Fields of a proxy's "want" message.
constexpr const char* kWantConfiguration = "configuration";
constexpr const char* kWantEndpoints = "held";

}  // namespace

void ConfigurationPublisher::onConfigurationLearned(const std::string& value) {
    if (value.empty()) return;
    try {
        cache_.setConfiguration(admin::version(value), std::string(admin::compressed(value)));
    } catch (const admin::ParseError& error) {  // possibly written by a later version
        log("register_value_rejected",
            {{"step", "learn"}, {"key", kConfigurationKey}, {"error", error.what()}});
        return;
    }
    broadcast(cache_.versionsMessage());
}

void ConfigurationPublisher::onRolloutsLearned(const std::string& value) {
    std::int64_t number = 0;
    for (const auto& rollout : messages::decodeRollouts(value)) number = std::max(number, rollout.number);
    const bool changed = cache_.setRollouts(number, value);  // false if only ages have changed
    if (changed) broadcast(cache_.rolloutsMessage());
}

void ConfigurationPublisher::onDigest(PeerConnection& proxy, const Json& digest) { answer(proxy, digest); }

void ConfigurationPublisher::onWant(PeerConnection& proxy, Json want) {
    const bool contact = quorumContact_();
    if (want.contains(kWantConfiguration) && cache_.version() > 0) {
        proxy.send(encodeCached(configuration_, {cache_.version(), contact},
                                [&] { return withCurrentContact(cache_.configurationMessage()); }));
        want.erase(kWantConfiguration);
    }
    if (cache_.wantsFullList(want)) {
        const auto& version = cache_.endpointListVersion();
        proxy.send(encodeCached(endpointList_, {version.term, version.sequence, contact},
                                [&] { return withCurrentContact(cache_.fullEndpointsMessage()); }));
        want.erase(kWantEndpoints);
    }
    answer(proxy, want);
}

void ConfigurationPublisher::answer(PeerConnection& proxy, const Json& message) const {
    cache_.handleMessage(message, subscription::ConfigurationCache::MessageSource::subscriber, now(),
                         [&](Json reply) { proxy.send(withCurrentContact(std::move(reply))); });
}

void ConfigurationPublisher::sendDigest(PeerConnection& proxy) const {
    proxy.send(withCurrentContact(cache_.digestMessage()));
}

void ConfigurationPublisher::broadcast(const Json& message) const {
    proxies_.broadcast(PeerConnection::encode(withCurrentContact(message)));
}

Json ConfigurationPublisher::withCurrentContact(Json message) const {
    return withContact(std::move(message), quorumContact_(), now() / kMillisecond);
}

template <typename Make>
EncodedMessage ConfigurationPublisher::encodeCached(CachedMessage& cached, Json key, Make make) {
    if (cached.key != key) cached = {std::move(key), PeerConnection::encode(make())};
    return cached.encoded;
}

}  // namespace lichenlanding::control_plane
