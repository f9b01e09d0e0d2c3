/// The proxy's view of the control plane: configuration, rollouts and endpoints, received from control nodes
/// and other proxies. Used from one thread: the proxy's event loop.
#pragma once

#include <functional>

#include "proxy/peer_messages.hpp"
#include "routing/router.hpp"
#include "subscription/configuration_cache.hpp"
#include "subscription/quorum_contact.hpp"
#include "transport/peer_connection.hpp"

namespace lichenlanding::proxy {

class ControlPlaneFeed {
  public:
    /// Callbacks, invoked after the router was updated. None may be null.
    struct Listener {
        /// A configuration was received; `version` is the one now in force (0: none).
        std::function<void(std::uint32_t version)> configuration;
        std::function<void()> rollouts;
    };

    ControlPlaneFeed(routing::Router& router, Listener listener);

    /// Handles a message from a control node or another proxy. Replies are sent on the same connection.
    void onMessage(transport::PeerConnection& from, const Json& message, bool fromControlNode);
    /// Called when the connection to a control node has ended.
    void onControlNodeLost(const std::string& controlNode);

    /// A summary of the current state, which other proxies and control nodes compare with their own.
    Json digest() const;
    /// Returns true once, when the wait for a control node that has contact with a majority has elapsed.
    bool checkWaitElapsed();
    /// See subscription::ConfigurationCache::takeConfigurationOverdue().
    bool takeConfigurationOverdue() { return cache_.takeConfigurationOverdue(transport::now()); }

  private:
    void onConfiguration(const std::string& compressed);
    void logContact(subscription::QuorumContact::Change change) const;

    routing::Router& router_;
    Listener listener_;
    subscription::ConfigurationCache cache_;
    subscription::QuorumContact quorumContact_;
};

}  // namespace lichenlanding::proxy
