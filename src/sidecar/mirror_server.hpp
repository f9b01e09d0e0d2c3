// Serves metadata and targets to others, as a mirror: only what this sidecar has verified itself.
#pragma once

#include <list>
#include <map>

#include "sidecar/http_server.hpp"

namespace lichenlanding::sidecar {

/// A document set is published as a whole once a refresh is complete, so that no client gets an incomplete
/// one. The previous set stays available to clients that are still fetching it.
class MirrorServer {
  public:
    using Bytes = std::shared_ptr<const std::string>;
    using DocumentSet = std::map<std::string, Bytes>;  ///< by file name

    struct Limits {
        std::size_t connections = 64;
        std::size_t cachedBytes = 32U << 20;  ///< limit for all documents and targets together
    };

    /// Throws std::runtime_error if it cannot listen.
    MirrorServer(EventLoop& loop, const Address& listen, const Limits& limits);

    /// Documents that exceed the byte limit are omitted, the largest first, and logged.
    void publish(DocumentSet documents);
    /// Caches a target under its name in a consistent repository; evicts the least recently used targets if
    /// the limit requires it.
    void cacheTarget(const std::string& name, std::string bytes);
    bool hasTarget(const std::string& name) const { return targets_.contains(name); }

    /// Graceful shutdown: readiness checks fail, and each connection gets one more response.
    void drain();
    Address address() const { return server_.address(); }
    std::size_t served() const { return served_; }
    std::size_t cachedBytes() const { return documentBytes_ + targetBytes_; }

    static constexpr const char* kMetadataPath = "/metadata/";
    static constexpr const char* kTargetsPath = "/targets/";

  private:
    struct CachedTarget {
        Bytes bytes;
        std::list<std::string>::iterator lruPosition;  // in targetLru_
    };
    void onRequest(std::unique_ptr<ClientRequest> request);
    Bytes find(const std::string& path);
    void evictTargets(std::size_t bytesNeeded);

    Limits limits_;
    DocumentSet current_, previous_;
    std::map<std::string, CachedTarget> targets_;
    std::list<std::string> targetLru_;  // the least recently used first
    std::size_t documentBytes_ = 0, targetBytes_ = 0, served_ = 0;
    bool draining_ = false;
    HttpServer server_;
};

}  // namespace lichenlanding::sidecar
