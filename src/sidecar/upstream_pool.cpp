#include "sidecar/upstream_pool.hpp"

#include <algorithm>

#include "sidecar/messages.hpp"

namespace lichenlanding::sidecar {

std::uint32_t podId(std::string_view name) {  // FNV-1a
    std::uint32_t hash = 2166136261U;
    for (unsigned char character : name) hash = (hash ^ character) * 16777619U;
    return hash;
}

UpstreamConnection::UpstreamConnection(EventLoop& loop, UpstreamHost& host_)
    : host(host_), connection(loop, host_.address, kMaxBodyBytes), idleTimer(loop, [] {}) {}

UpstreamPool::UpstreamPool(EventLoop& loop, Nanos connectTimeout, Nanos idleTimeout, int maxConnections)
    : loop_(loop),
      connectTimeout_(connectTimeout),
      maxIdleTime_(idleTimeout / 2),
      maxConnections_(static_cast<std::size_t>(maxConnections)) {}

UpstreamHost& UpstreamPool::host(const std::string& name) {
    auto& entry = hosts_[name];
    if (!entry) {
        entry = std::make_unique<UpstreamHost>();
        entry->name = name;
        entry->id = podId(name);
    }
    return *entry;
}

UpstreamHost* UpstreamPool::find(const std::string& name) {
    const auto found = hosts_.find(name);
    return found == hosts_.end() ? nullptr : found->second.get();
}

void UpstreamPool::setAddress(UpstreamHost& host, const Address& address) {
    if (host.address == address) return;
    host.address = address;
    closeIdle(host);
}

void UpstreamPool::closeIdle(UpstreamHost& host) {
    while (!host.idle.empty()) closeIdle(*host.idle.back());
}

UpstreamConnection* UpstreamPool::acquire(UpstreamHost& host) {
    while (!host.idle.empty()) {
        auto* connection = host.idle.back();
        if (!connection->connection.reusable()) {
            closeIdle(*connection);
            continue;
        }
        host.idle.pop_back();
        active_.splice(active_.end(), idle_, connection->position);
        connection->idleTimer.stop();
        return connection;
    }
    if (connections() >= maxConnections_ && !idle_.empty()) closeIdle(*idle_.front());
    if (connections() >= maxConnections_) return nullptr;
    const auto position = active_.insert(active_.end(), std::make_shared<UpstreamConnection>(loop_, host));
    (*position)->position = position;
    return position->get();
}

UpstreamConnection* UpstreamPool::send(UpstreamHost& host, const HttpRequest& request, Nanos timeout,
                                       Connection::ResponseHandler onDone) {
    auto* connection = acquire(host);
    if (!connection) {
        log(LogEvent::pod, "connection limit reached, no connection to " + host.name);
        loop_.post([onDone = std::move(onDone)] { onDone({CallResult::noDescriptor}); });
        return nullptr;
    }
    connection->connection.call(request, connectTimeout_, timeout,
                                [this, connection, onDone = std::move(onDone)](CallResponse response) {
                                    const bool responded = response.statusCode != 0 ||
                                                           response.result == CallResult::malformedResponse;
                                    release(*connection, responded);
                                    onDone(std::move(response));
                                });
    return connection;
}

void UpstreamPool::release(UpstreamConnection& connection, bool responded) {
    auto& host = connection.host;
    // After a call without a response the host's idle connections are closed too. If the host vanished or was
    // partitioned, or a device in between dropped idle connections, they stay open but silent, and each would
    // cost a request. If the host was only slow, this costs a few new connections.
    if (!responded) closeIdle(host);
    auto& channel = connection.connection;
    if (!channel.available() || !(channel.address() == host.address)) return destroy(active_, connection);
    idle_.splice(idle_.end(), active_, connection.position);
    host.idle.push_back(&connection);
    channel.onClose([this, &connection] { closeIdle(connection); });
    connection.idleTimer.setCallback([this, &connection] { closeIdle(connection); });
    connection.idleTimer.start(maxIdleTime_);
}

void UpstreamPool::closeIdle(UpstreamConnection& connection) {
    if (std::erase(connection.host.idle, &connection) > 0) destroy(idle_, connection);
}

void UpstreamPool::destroy(Connections& list, UpstreamConnection& connection) {
    auto owner = *connection.position;
    list.erase(connection.position);
    connection.idleTimer.stop();
    connection.connection.discard();
    loop_.releaseLater(owner);
}

}  // namespace lichenlanding::sidecar
