// One document from any of several mirrors: requested from one at a time, from each once, until one gives
// what is accepted.
#pragma once

#include "metadata/mirror_selection.hpp"
#include "metadata/refusal.hpp"
#include "sidecar/http_fetch.hpp"
#include "sidecar/task.hpp"

namespace lichenlanding::sidecar {

/// Counts of a client of mirrors, for logs and tests: every document requested is completed once.
struct FetchCounts {
    std::size_t requested = 0, completed = 0, attempts = 0, retries = 0;
};

class MirrorFetch {
  public:
    struct Document {
        std::string name;
        std::size_t maxBytes = 0;
        bool oneMissingSuffices = false;  ///< one mirror's 404 settles it: the end of the root chain
    };
    enum class Result { accepted, missing, refused };
    /// Verifies the bytes of a response, which are its own, and calls `onVerified` once, now or later.
    using OnVerified = std::function<void(metadata::Check)>;
    using Verifier = std::function<void(std::string bytes, OnVerified onVerified)>;
    /// The error explains a `refused`.
    using ResultHandler = std::function<void(Result, const metadata::Refusal&)>;

    /// All references must outlive it. `bases` are the mirrors' URLs, by their index in `mirrors`.
    MirrorFetch(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                metadata::RetryBudget& budget, const metadata::FetchTimeouts& timeouts, FetchCounts& counts);
    /// `onDone` is called once, from the loop, unless this is destroyed first; it may destroy this.
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
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // expires with it, for posted calls
    Task task_;
};

}  // namespace lichenlanding::sidecar
