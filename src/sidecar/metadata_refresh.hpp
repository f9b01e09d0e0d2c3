// Fetching for metadata::Update, and for the targets that it finds.
#pragma once

#include "sidecar/mirror_fetch.hpp"
#include "sidecar/trust_store.hpp"
#include "sidecar/worker_thread.hpp"

namespace lichenlanding::sidecar {

/// One update of the trusted metadata: fetches, verifies and stores document after document.
class MetadataRefresh {
  public:
    using ResultHandler = std::function<void(MetadataRefresh&)>;

    /// All references must outlive it, and it the jobs of `worker`, on which documents are verified and
    /// stored; without one that happens on the loop. `onDone` is called once, from the loop, unless this is
    /// destroyed first; it may destroy this.
    MetadataRefresh(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                    TrustStore& store, metadata::Update update, const metadata::FetchTimeouts& timeouts,
                    FetchCounts& counts, WorkerThread* worker, ResultHandler onDone);

    void start();
    metadata::Update& update() { return update_; }
    /// Why the update was refused; nothing if it was not.
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
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // expires with it, for posted calls
    Task task_;
};

/// The bytes of a listed target, verified by length and hash, from the mirrors' target URLs.
class TargetDownload {
  public:
    using ResultHandler = std::function<void(metadata::Result<std::string>)>;

    /// All references must outlive it.
    TargetDownload(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                   const metadata::FetchTimeouts& timeouts, FetchCounts& counts);
    /// `onDone` is called once: from within this call if the target is larger than `maxBytes`, else from the
    /// loop, unless this is destroyed first.
    void start(const metadata::FoundTarget& found, bool consistent, std::size_t maxBytes,
               ResultHandler onDone);

  private:
    metadata::RetryBudget budget_;
    MirrorFetch fetch_;
    std::string body_;
};

}  // namespace lichenlanding::sidecar
