// Fetches the documents that a metadata::Update requests, and the targets that it finds.
#pragma once

#include "sidecar/mirror_fetch.hpp"
#include "sidecar/trust_store.hpp"
#include "sidecar/worker_thread.hpp"

namespace lichenlanding::sidecar {

/// One update of the trusted metadata: fetches, verifies and stores one document after another.
class MetadataRefresh {
  public:
    using ResultHandler = std::function<void(MetadataRefresh&)>;

    /// All references must outlive this object, and this object must outlive its jobs on `worker`, where
    /// documents are verified and stored. If `worker` is null, that is done on the loop. `onDone` is called
    /// once, from the loop, unless this object is destroyed first; it may destroy this object.
    MetadataRefresh(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                    TrustStore& store, metadata::Update update, const metadata::FetchTimeouts& timeouts,
                    FetchCounts& counts, WorkerThread* worker, ResultHandler onDone);

    void start();
    metadata::Update& update() { return update_; }
    /// The reason why the update was refused; nullopt if it was not.
    metadata::Check refusal() const;

  private:
    struct DocumentAwaiter;
    Task run();
    void store();
    void verify(const std::string& bytes);

    EventLoop& loop_;
    WorkerThread* worker_;
    metadata::RetryBudget budget_;
    TrustStore& store_;
    metadata::Update update_;
    MirrorFetch fetch_;
    ResultHandler onDone_;
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // lets posted callbacks detect destruction
    Task task_;
};

/// Downloads a listed target from the mirrors' target URLs and verifies its length and hash.
class TargetDownload {
  public:
    using ResultHandler = std::function<void(metadata::Result<std::string>)>;

    /// All references must outlive this object.
    TargetDownload(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                   const metadata::FetchTimeouts& timeouts, FetchCounts& counts);
    /// Calls `onDone` once: within this call if the target is larger than `maxBytes`, else from the loop,
    /// unless this object is destroyed first.
    void start(const metadata::Found& found, bool consistent, std::size_t maxBytes, ResultHandler onDone);

  private:
    metadata::RetryBudget budget_;
    MirrorFetch fetch_;
    std::string body_;
};

}  // namespace lichenlanding::sidecar
