// Pool of connections to pods: kept open, reused most recently used first, and closed before the pod closes
// them.
#pragma once

#include <list>
#include <map>

#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

struct UpstreamHost;

/// A connection to a pod: in use from the sending of a call to its end, then idle or closed.
struct UpstreamConnection {
    UpstreamConnection(EventLoop& loop, UpstreamHost& host);

    UpstreamHost& host;
    Connection connection;
    Timer idleTimer;
    std::list<std::shared_ptr<UpstreamConnection>>::iterator position;  // in the pool's list
};

/// A pod: the policy's state of it, its address, and its idle connections.
struct UpstreamHost : Pod {
    std::string name;
    Address address;
    std::vector<UpstreamConnection*> idle;  ///< the most recently used last
};

class UpstreamPool {
  public:
    /// Idle connections are closed after half of `idleTimeout`, which is the idle timeout of the pods.
    /// `maxConnections` limits idle and used connections to all pods together.
    UpstreamPool(EventLoop& loop, Nanos connectTimeout, Nanos idleTimeout, int maxConnections);

    /// The host with that name. It is added by the first call and never removed.
    UpstreamHost& host(const std::string& name);
    /// nullptr if host() was never called with that name.
    UpstreamHost* find(const std::string& name);
    /// Connections to the previous address are not reused.
    void setAddress(UpstreamHost& host, const Address& address);
    void closeIdle(UpstreamHost& host);

    /// Sends a request to a pod; `onDone` is called from the loop. Closing the returned connection cancels
    /// the call. At the connection limit it returns nullptr, and the result is CallResult::noDescriptor.
    UpstreamConnection* send(UpstreamHost& host, const HttpRequest& request, Nanos timeout,
                             Connection::ResponseHandler onDone);

    std::size_t connections() const { return active_.size() + idle_.size(); }
    /// Number of hosts, whether in use or not.
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
    Connections active_, idle_;  // idle_: the longest idle first
};

/// The id of a pod, by which messages between sidecars name it: the same at every sidecar.
std::uint32_t podId(std::string_view name);

}  // namespace lichenlanding::sidecar
