/// What a proxy serves by: configuration, rollouts and endpoints, as control nodes and neighbours tell them.
/// One thread, the proxy's loop.
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
    /// What is told of news, once the router has them. None of them may be null.
    struct Listener {
        /// A configuration has come; `version` is in force now (0: none).
        std::function<void(std::uint32_t version)> configuration;
        std::function<void()> rollouts;
    };

    ControlPlaneFeed(routing::Router& router, Listener listener);

    /// A message of a control node or of a neighbour; replies go down its connection.
    void onMessage(transport::PeerConnection& from, const Json& message, bool fromControlNode);
    /// The connection to a control node has ended.
    void onControlNodeLost(const std::string& controlNode);

    /// What is held, in short, for neighbours and control nodes to compare.
    Json digest() const;
    /// True once, where the wait for a control node that speaks for a majority is over.
    bool isWaitOver();

  private:
    void onConfiguration(const std::string& compressed);
    void logContact(subscription::QuorumContact::Change change) const;

    routing::Router& router_;
    Listener listener_;
    subscription::ConfigurationCache cache_;
    subscription::QuorumContact quorumContact_;
};

}  // namespace lichenlanding::proxy
