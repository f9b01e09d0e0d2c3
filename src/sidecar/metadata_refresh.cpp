#include "sidecar/metadata_refresh.hpp"

namespace lichenlanding::sidecar {

using namespace metadata;

// Waits until the document that the update wants next is accepted, missing or refused.
struct MetadataRefresh::DocumentAwaiter {
    MetadataRefresh& refresh;
    MirrorFetch::Result result = MirrorFetch::Result::refused;
    Refusal failure = {};

    explicit DocumentAwaiter(MetadataRefresh& refresh_) : refresh(refresh_) {}
    DocumentAwaiter(const DocumentAwaiter&) = delete;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> waiting) {
        const auto& wanted = refresh.update_.next();
        refresh.fetch_.start(
            {wanted.path, wanted.maxBytes, wanted.role == "root"},
            [this](std::string bytes, MirrorFetch::OnVerified onVerified) {
                verify(std::move(bytes), std::move(onVerified));
            },
            [this, waiting](MirrorFetch::Result fetched, const Refusal& why) {
                result = fetched;
                failure = why;
                waiting.resume();
            });
    }
    void await_resume() const {}

  private:
    void verify(std::string bytes, MirrorFetch::OnVerified onVerified) {
        auto& of = refresh;
        if (!of.worker_) {
            of.verify(bytes);
            return onVerified(of.refusal());
        }
        of.worker_->run([&of, held = std::move(bytes)] { of.verify(held); },
                        [&of, onVerified] { onVerified(of.refusal()); });
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

// Before the next document is requested: what is trusted in memory is never ahead of what a restart finds.
void MetadataRefresh::store() {
    for (const auto& step : update_.takeTransactions())
        if (auto refusal = store_.commit(step)) return update_.abort(*refusal);
}

void MetadataRefresh::verify(const std::string& bytes) {
    update_.retry();  // after another mirror's bytes were refused
    update_.receive(bytes);
    if (!refusal()) store();
}

Task MetadataRefresh::run() {
    while (update_.next().kind == Update::NextAction::fetch) {
        DocumentAwaiter awaiter(*this);
        co_await awaiter;
        if (awaiter.result == MirrorFetch::Result::missing) update_.notFound();
        if (awaiter.result == MirrorFetch::Result::refused) {
            update_.retry();
            update_.fail(awaiter.failure);
        }
        store();  // also of what ended without bytes: the end of the root chain
    }
    loop_.post([this, alive = std::weak_ptr<char>(lifetime_), onDone = std::exchange(onDone_, nullptr)] {
        if (!alive.expired()) onDone(*this);
    });
}

Check MetadataRefresh::refusal() const {
    if (update_.next().kind == Update::NextAction::refused) return update_.refusal();
    return {};
}

TargetDownload::TargetDownload(EventLoop& loop, Mirrors& mirrors, const std::vector<Url>& bases,
                               const FetchTimeouts& timeouts, FetchCounts& counts)
    : budget_(mirrors.size()), fetch_(loop, mirrors, bases, budget_, timeouts, counts) {}

void TargetDownload::start(const FoundTarget& found, bool consistent, std::size_t maxBytes,
                           ResultHandler onDone) {
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
