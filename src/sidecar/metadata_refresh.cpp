#include "sidecar/metadata_refresh.hpp"

namespace lichenlanding::sidecar {

using namespace metadata;

// Suspends until the document that the update requests next is accepted, missing or refused.
struct MetadataRefresh::DocumentAwaiter {
    MetadataRefresh& refresh;
    MirrorFetch::Result result = MirrorFetch::Result::refused;
    Refusal failure = {};

    explicit DocumentAwaiter(MetadataRefresh& refresh_) : refresh(refresh_) {}
    DocumentAwaiter(const DocumentAwaiter&) = delete;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> coroutine) {
        const auto& request = refresh.update_.next();
        refresh.fetch_.start(
            {request.path, request.maxBytes, request.role == "root"},
            [this](std::string bytes, MirrorFetch::OnVerified onVerified) {
                verify(std::move(bytes), std::move(onVerified));
            },
            [this, coroutine](MirrorFetch::Result fetchResult, const Refusal& reason) {
                result = fetchResult;
                failure = reason;
                coroutine.resume();
            });
    }
    void await_resume() const {}

  private:
    void verify(std::string bytes, MirrorFetch::OnVerified onVerified) {
        auto& owner = refresh;
        if (!owner.worker_) {
            owner.verify(bytes);
            return onVerified(owner.refusal());
        }
        owner.worker_->run([&owner, content = std::move(bytes)] { owner.verify(content); },
                           [&owner, onVerified] { onVerified(owner.refusal()); });
    }
};

MetadataRefresh::MetadataRefresh(EventLoop& loop, Mirrors& mirrors, const std::vector<Url>& bases,
                                 TrustStore& store, Update update, const FetchTimeouts& timeouts,
                                 FetchCounts& counts, WorkerThread* worker, ResultHandler onDone)
    : loop_(loop),
      worker_(worker),
      budget_(mirrors.size()),
      store_(store),
      update_(std::move(update)),
      fetch_(loop, mirrors, bases, budget_, timeouts, counts),
      onDone_(std::move(onDone)) {}

void MetadataRefresh::start() { task_ = run(); }

// Called before the next document is requested, so that the trust in memory is never newer than what a
// restart finds in the store.
void MetadataRefresh::store() {
    for (const auto& step : update_.takeTransactions())
        if (auto refusal = store_.commit(step)) return update_.abort(*refusal);
}

void MetadataRefresh::verify(const std::string& bytes) {
    update_.retry();  // in case another mirror's bytes were refused before
    update_.receive(bytes);
    if (!refusal()) store();
}

Task MetadataRefresh::run() {
    while (update_.next().kind == Update::Next::fetch) {
        DocumentAwaiter awaiter(*this);
        co_await awaiter;
        if (awaiter.result == MirrorFetch::Result::missing) update_.notFound();
        if (awaiter.result == MirrorFetch::Result::refused) {
            update_.retry();
            update_.fail(awaiter.failure);
        }
        store();  // also after a missing document, which ends the root chain
    }
    loop_.post([this, alive = std::weak_ptr<char>(lifetime_), onDone = std::exchange(onDone_, nullptr)] {
        if (!alive.expired()) onDone(*this);
    });
}

Check MetadataRefresh::refusal() const {
    if (update_.next().kind == Update::Next::refused) return update_.refusal();
    return {};
}

TargetDownload::TargetDownload(EventLoop& loop, Mirrors& mirrors, const std::vector<Url>& bases,
                               const FetchTimeouts& timeouts, FetchCounts& counts)
    : budget_(mirrors.size()), fetch_(loop, mirrors, bases, budget_, timeouts, counts) {}

void TargetDownload::start(const Found& found, bool consistent, std::size_t maxBytes, ResultHandler onDone) {
    const auto& target = found.target;
    if (target.length > static_cast<std::int64_t>(maxBytes))
        return onDone(
            Refusal{Reason::tooLong, found.path, 0, std::to_string(target.length) + " bytes listed"});
    const auto name = percentEncoded(consistent ? found.location() : found.path, true);
    fetch_.start(
        {name, static_cast<std::size_t>(target.length)},
        [this, found](std::string bytes, const MirrorFetch::OnVerified& onVerified) {
            auto refusal = verifyBytes(bytes, found.target.length, found.target.hashes, found.path);
            if (!refusal) body_ = std::move(bytes);
            onVerified(std::move(refusal));
        },
        [this, onDone, path = found.path](MirrorFetch::Result result, const Refusal& failure) {
            if (result == MirrorFetch::Result::accepted) return onDone(std::move(body_));
            auto refusal = failure;
            refusal.role = path;
            onDone(refusal);
        });
}

}  // namespace lichenlanding::sidecar
