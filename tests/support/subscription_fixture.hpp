/// Lists of endpoints, and configuration caches that exchange messages, without connections or time.
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

/// Delivers a message of a control node to a proxy, or of a proxy to another, and all answers to it, both
/// ways until there are no more; `each` is shown every message.
inline void deliver(
    ConfigurationCache& from, ConfigurationCache& to, Json message,
    ConfigurationCache::MessageSource role = ConfigurationCache::MessageSource::controlNode,
    const std::function<void(const Json&)>& each = [](const Json&) {}) {
    if (message.is_null()) return;
    const auto other = role == ConfigurationCache::MessageSource::controlNode
                           ? ConfigurationCache::MessageSource::subscriber
                           : ConfigurationCache::MessageSource::peerProxy;
    std::vector<Json> way{std::move(message)};
    for (bool forth = true; !way.empty(); forth = !forth) {
        std::vector<Json> back;
        for (const auto& one : way) {
            each(one);
            (forth ? to : from).handleMessage(one, forth ? role : other, 1'000'000'000, [&](Json reply) {
                back.push_back(std::move(reply));
            });
        }
        way = std::move(back);
    }
}

}  // namespace subscription_fixture
