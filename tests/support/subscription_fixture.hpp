/// Builds lists of endpoints and lets configuration caches exchange messages, without connections or time.
#pragma once

#include "subscription/configuration_cache.hpp"

namespace subscription_fixture {

using namespace lichenlanding;
using subscription::ConfigurationCache;
using Json = nlohmann::json;

inline discovery::Endpoint pod(const std::string& id, bool draining = false,
                               const std::string& address = "10.1.0.1:80") {
    return {id, "s", address, "z", "v1", 2, draining, 0};
}
inline discovery::Endpoint pod(int number, bool draining = false) {
    return pod("i-" + std::to_string(100'000 + number), draining, "10.1.0.1:" + std::to_string(number));
}
inline std::vector<discovery::Endpoint> pods(int from, int to, int drainingTo = 0) {
    std::vector<discovery::Endpoint> all;
    for (int at = from; at < to; ++at) all.push_back(pod(at, at < drainingTo));
    return all;
}

/// Delivers a message from a control node to a proxy, or from one proxy to another, and then all replies in
/// both directions until there are none. Calls `each` with every message.
inline void deliver(
    ConfigurationCache& from, ConfigurationCache& to, Json message,
    ConfigurationCache::MessageSource role = ConfigurationCache::MessageSource::controlNode,
    const std::function<void(const Json&)>& each = [](const Json&) {}) {
    if (message.is_null()) return;
    const auto other = role == ConfigurationCache::MessageSource::controlNode
                           ? ConfigurationCache::MessageSource::subscriber
                           : ConfigurationCache::MessageSource::peerProxy;
    std::vector<Json> pending{std::move(message)};
    for (bool forward = true; !pending.empty(); forward = !forward) {
        std::vector<Json> replies;
        for (const auto& current : pending) {
            each(current);
            (forward ? to : from)
                .handleMessage(current, forward ? role : other, 1'000'000'000,
                               [&](Json reply) { replies.push_back(std::move(reply)); });
        }
        pending = std::move(replies);
    }
}

}  // namespace subscription_fixture
