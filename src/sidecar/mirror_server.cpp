#include "sidecar/mirror_server.hpp"

#include <algorithm>

namespace lichenlanding::sidecar {
namespace {

constexpr Nanos kDrainRetryAfter = 1'000'000'000;

ConnectionLimits limitsOf(std::size_t connections) {
    return {std::max<std::size_t>(connections * 3 / 4, 1), connections};
}

std::size_t sizeOf(const MirrorServer::DocumentSet& documents) {
    std::size_t bytes = 0;
    for (const auto& [name, document] : documents) bytes += document->size();
    return bytes;
}

}  // namespace

MirrorServer::MirrorServer(EventLoop& loop, const Address& listen, const Limits& limits)
    : limits_(limits),
      server_(
          loop, listen, limitsOf(limits.connections),
          [this](std::unique_ptr<ClientRequest> request) { onRequest(std::move(request)); },
          [this] { return !draining_ && !current_.empty(); }) {}

void MirrorServer::publish(DocumentSet documents) {
    auto bytes = sizeOf(documents);
    while (bytes > limits_.cachedBytes && !documents.empty()) {
        const auto largest = std::max_element(documents.begin(), documents.end(), [](auto& one, auto& other) {
            return one.second->size() < other.second->size();
        });
        const auto size = largest->second->size();
        log(LogEvent::overload,
            "mirror cache full, not served: " + largest->first + ", " + std::to_string(size) + " bytes");
        bytes -= size;
        documents.erase(largest);
    }
    previous_ = std::exchange(current_, std::move(documents));
    documentBytes_ = bytes;
    for (const auto& [name, document] : previous_) {
        const auto same = current_.find(name);
        if (same == current_.end() || same->second != document) documentBytes_ += document->size();
    }
    if (documentBytes_ > limits_.cachedBytes) {
        previous_.clear();
        documentBytes_ = bytes;
    }
    evictTargets(0);
}

void MirrorServer::evictTargets(std::size_t bytesNeeded) {
    while (!targetLru_.empty() && cachedBytes() + bytesNeeded > limits_.cachedBytes) {
        const auto oldest = targets_.find(targetLru_.front());
        targetBytes_ -= oldest->second.bytes->size();
        targets_.erase(oldest);
        targetLru_.pop_front();
    }
}

void MirrorServer::cacheTarget(const std::string& name, std::string bytes) {
    if (hasTarget(name)) return;
    evictTargets(bytes.size());
    if (cachedBytes() + bytes.size() > limits_.cachedBytes) return;
    targetBytes_ += bytes.size();
    targetLru_.push_back(name);
    const auto shared = std::make_shared<const std::string>(std::move(bytes));
    targets_.emplace(name, CachedTarget{shared, std::prev(targetLru_.end())});
}

MirrorServer::Bytes MirrorServer::find(const std::string& path) {
    const std::string_view metadata = kMetadataPath;
    const std::string_view targets = kTargetsPath;
    if (path.compare(0, metadata.size(), metadata) == 0) {
        const auto name = path.substr(metadata.size());
        for (const auto* documents : {&current_, &previous_})
            if (const auto found = documents->find(name); found != documents->end()) return found->second;
    }
    if (path.compare(0, targets.size(), targets) == 0) {
        const auto found = targets_.find(path.substr(targets.size()));
        if (found == targets_.end()) return nullptr;
        targetLru_.splice(targetLru_.end(), targetLru_, found->second.lruPosition);
        return found->second.bytes;
    }
    return nullptr;
}

void MirrorServer::onRequest(std::unique_ptr<ClientRequest> request) {
    if (request->method() != EVHTTP_REQ_GET) return request->refuse(405);
    if (draining_) return request->respond(503, {}, {}, kDrainRetryAfter);
    const auto bytes = find(request->path());
    if (!bytes) return request->respond(404);
    ++served_;
    request->respond(200, bytes, "application/json");
}

void MirrorServer::drain() {
    draining_ = true;
    server_.drain();
}

}  // namespace lichenlanding::sidecar
