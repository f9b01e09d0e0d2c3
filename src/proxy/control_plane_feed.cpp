#include "proxy/control_plane_feed.hpp"

#include "messages/codec.hpp"
#include "transport/compression.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {

using namespace transport;
using MessageSource = subscription::ConfigurationCache::MessageSource;
using ContactChange = subscription::QuorumContact::Change;

ControlPlaneFeed::ControlPlaneFeed(routing::Router& router, Listener listener)
    : router_(router),
      listener_(std::move(listener)),
      cache_({[this](const std::string& compressed) { onConfiguration(compressed); },
              [this](const std::string& text) {
                  router_.setRollouts(messages::decodeRollouts(text), now());
                  listener_.rollouts();
              },
              [this](const discovery::EndpointEvent& event) { router_.applyEndpointEvent(event, now()); }}) {}

// Each message states whether its content comes from a control node in contact with a majority.
void ControlPlaneFeed::onMessage(PeerConnection& from, const Json& message, bool fromControlNode) {
    const bool confirmed = message.value(wire::kConfirmed, true);
    const auto& type = typeOf(message);
    if (type != wire::kFetch) {
        if (fromControlNode) logContact(quorumContact_.onControlNodeMessage(from.peer, confirmed, now()));
        if (!quorumContact_.acceptsUpdates(confirmed, cache_.version() > 0, now())) return;
    }
    const auto source = fromControlNode ? MessageSource::controlNode : MessageSource::peerProxy;
    cache_.handleMessage(message, source, now(), [&](Json reply) {
        if (typeOf(reply) != wire::kFetch) reply[wire::kConfirmed] = quorumContact_.isConfirmed();
        from.send(reply);
    });
    const bool confirms = type == wire::kConfiguration ||
                          (type == wire::kDigest && message.at("configuration") <= cache_.version());
    if (confirmed && cache_.version() > 0 && confirms) quorumContact_.markConfirmed(true);
    // The proxies share the control node's clock, so that those that rotate over the hosts in step do not
    // depend on their own clocks.
    if (fromControlNode && type == wire::kDigest && message.contains("clock"))
        router_.setSharedClockOffset(message.at("clock").get<std::int64_t>() * kMillisecond - now());
    if (cache_.endpointsCurrent()) router_.setEndpointsKnown();
}

void ControlPlaneFeed::onControlNodeLost(const std::string& controlNode) {
    logContact(quorumContact_.onControlNodeDisconnected(controlNode, now()));
}

void ControlPlaneFeed::logContact(ContactChange change) const {
    if (change == ContactChange::none) return;
    log(change == ContactChange::unconfirmed ? "control_plane_contact_lost"
                                             : "control_plane_contact_established",
        {{"step", "control_plane"},
         {"configuration", config::formatVersion(cache_.version())},
         {"held_confirmed", quorumContact_.isConfirmed()}});
}

Json ControlPlaneFeed::digest() const {
    auto digest = cache_.digestMessage();
    digest[wire::kConfirmed] = quorumContact_.isConfirmed();
    return digest;
}

bool ControlPlaneFeed::checkWaitElapsed() {
    if (!quorumContact_.waitElapsed(cache_.version() > 0, now())) return false;
    log("unconfirmed_state_accepted",
        {{"step", "control_plane"},
         {"waited_ms", lichenlanding::subscription::QuorumContact::kUnconfirmedWait / kMillisecond}});
    return true;
}

void ControlPlaneFeed::onConfiguration(const std::string& compressed) {
    try {
        router_.setConfiguration(std::make_shared<const config::Configuration>(
            config::Configuration::parse(decompress(compressed))));
    } catch (const std::exception& error) {
        log("configuration_rejected", {{"step", "apply"}, {"error", error.what()}});
    }
    listener_.configuration(router_.configuration() ? router_.configuration()->version : 0);
}

}  // namespace lichenlanding::proxy
