// Fetches one document from several mirrors: from one at a time, and from each at most once, until a response
// is accepted.
#pragma once

#include "metadata/mirror_selection.hpp"
#include "metadata/refusal.hpp"
#include "sidecar/http_fetch.hpp"
#include "sidecar/task.hpp"

namespace lichenlanding::sidecar {

/// Counters of a client of mirrors, for logs and tests. Every requested document is completed once.
struct FetchCounts {
    std::size_t requested = 0, completed = 0, attempts = 0, retries = 0;
};

class MirrorFetch {
  public:
    struct Document {
        std::string name;
        std::size_t maxBytes = 0;
        bool firstNotFoundIsFinal = false;  ///< one 404 is conclusive: the end of the root chain
    };
    enum class Result { accepted, missing, refused };
    /// Takes the body of a response, verifies it and calls `onVerified` once, during the call or later.
    using OnVerified = std::function<void(metadata::Check)>;
    using Verifier = std::function<void(std::string bytes, OnVerified onVerified)>;
    /// The refusal is meaningful only with Result::refused.
    using ResultHandler = std::function<void(Result, const metadata::Refusal&)>;

    /// All references must outlive this object. `bases` are the mirrors' URLs, by their index in `mirrors`.
    MirrorFetch(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                metadata::RetryBudget& budget, const metadata::FetchTimeouts& timeouts, FetchCounts& counts);
    /// Calls `onDone` once, from the loop, unless this object is destroyed first; it may destroy this object.
    void start(Document document, Verifier verifier, ResultHandler onDone);

  private:
    struct ResponseAwaiter;
    struct VerificationAwaiter;
    Task run();
    void finish(Result result, const metadata::Refusal& failure);

    EventLoop& loop_;
    metadata::Mirrors& mirrors_;
    const std::vector<Url>& bases_;
    metadata::RetryBudget& budget_;
    metadata::FetchTimeouts timeouts_;
    FetchCounts& counts_;
    Document document_;
    Verifier verifier_;
    ResultHandler onDone_;
    std::unique_ptr<HttpFetch> fetch_;
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // lets posted callbacks detect destruction
    Task task_;
};

}  // namespace lichenlanding::sidecar
