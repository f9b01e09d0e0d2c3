// Connections to pods: kept open, reused the last used first, and closed before the pod's side does it.
#pragma once

#include <list>
#include <map>

#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

struct UpstreamHost;

/// A connection to a pod. It is in use from the send to the end of a call, then idle or closed.
struct UpstreamConnection {
    UpstreamConnection(EventLoop& loop, UpstreamHost& host);

    UpstreamHost& host;
    Connection connection;
    Timer idleTimer;
    std::list<std::shared_ptr<UpstreamConnection>>::iterator position;  // in the pool's list
};

/// A pod: the policy's view of it, its address, and its idle connections.
struct UpstreamHost : Pod {
    std::string name;
    Address address;
    std::vector<UpstreamConnection*> idle;  ///< the last used at the end
};

class UpstreamPool {
  public:
    /// An idle connection is closed after half of `idleTimeout`, the pod's own. `maxConnections`: idle ones
    /// and those in use, of all pods.
    UpstreamPool(EventLoop& loop, Nanos connectTimeout, Nanos idleTimeout, int maxConnections);

    /// The host of that name, added at its first mention and never removed.
    UpstreamHost& host(const std::string& name);
    /// Nothing if it was never mentioned.
    UpstreamHost* find(const std::string& name);
    /// Connections to the old address are not reused.
    void setAddress(UpstreamHost& host, const Address& address);
    void closeIdle(UpstreamHost& host);

    /// Sends a request to a pod; `onDone` is called from the loop. Closing the returned connection cancels
    /// the call. Nothing, and CallResult::noDescriptor, at the connection limit.
    UpstreamConnection* send(UpstreamHost& host, const HttpRequest& request, Nanos timeout,
                             Connection::ResponseHandler onDone);

    std::size_t connections() const { return active_.size() + idle_.size(); }
    /// Ever mentioned.
    std::size_t hosts() const { return hosts_.size(); }

  private:
    using Connections = std::list<std::shared_ptr<UpstreamConnection>>;

    UpstreamConnection* acquire(UpstreamHost& host);
    void release(UpstreamConnection& connection, bool responded);
    void closeIdle(UpstreamConnection& connection);
    void destroy(Connections& list, UpstreamConnection& connection);

    EventLoop& loop_;
    Nanos connectTimeout_, maxIdleTime_;
    std::size_t maxConnections_;
    std::map<std::string, std::unique_ptr<UpstreamHost>> hosts_;
    Connections active_, idle_;  // idle: the longest idle first
};

/// The id of a pod: the same at every sidecar, since messages between sidecars name pods by it.
std::uint32_t podId(std::string_view name);

}  // namespace lichenlanding::sidecar
