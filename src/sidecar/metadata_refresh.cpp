#include "sidecar/metadata_refresh.hpp"

namespace lichenlanding::net {

using namespace metadata;

// Waits until a document is settled.
struct Refresh::Asking {
    Refresh& of;
    MirrorFetch::Result result = MirrorFetch::Result::refused;
    Refusal why = {};

    explicit Asking(Refresh& of_) : of(of_) {}
    Asking(const Asking&) = delete;
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> life) {
        const auto& want = of.update_.wants();
        of.fetch_.start(
            {want.path, want.atMost, want.role == "root"},
            [this](std::string bytes, std::function<void(Check)> judged) {
                auto& refresh = of;
                if (!refresh.worker_) return refresh.offered(bytes), judged(refresh.refusal());
                refresh.worker_->run([&refresh, held = std::move(bytes)] { refresh.offered(held); },
                                     [&refresh, judged] { judged(refresh.refusal()); });
            },
            [this, life](MirrorFetch::Result came, const Refusal& refusal) {
                result = came, why = refusal;
                life.resume();
            });
    }
    void await_resume() const {}
};

Refresh::Refresh(Loop& loop, Mirrors& mirrors, const std::vector<Url>& bases, TrustStore& store,
                 Update update, const Patience& patience, FetchCounts& counts, Worker* worker, Done done)
    : loop_(loop),
      worker_(worker),
      budget_(mirrors.size()),
      store_(store),
      update_(std::move(update)),
      fetch_(loop, mirrors, bases, budget_, patience, counts),
      done_(std::move(done)) {}

void Refresh::start() { life_ = life(); }

// Kept before the next thing is asked for: what is trusted in memory is never ahead of what a restart finds.
void Refresh::keep() {
    for (const auto& step : update_.keep())
        if (auto refusal = store_.commit(step)) return update_.abort(*refusal);
}

void Refresh::offered(const std::string& bytes) {
    update_.again();  // after another mirror's bytes were refused
    update_.came(bytes);
    if (!refusal()) keep();
}

Task Refresh::life() {
    while (update_.wants().kind == Update::Want::fetch) {
        Asking asking(*this);
        co_await asking;
        if (asking.result == MirrorFetch::Result::missing) update_.missing();
        if (asking.result == MirrorFetch::Result::refused) {
            update_.again();
            update_.failed(asking.why);
        }
        keep();  // of what ended without bytes: nothing, or the end of the root chain
    }
    loop_.later([this, here = std::weak_ptr<char>(here_), done = std::exchange(done_, nullptr)] {
        if (!here.expired()) done(*this);
    });
}

Check Refresh::refusal() const {
    if (update_.wants().kind == Update::Want::refused) return update_.refusal();
    return {};
}

Download::Download(Loop& loop, Mirrors& mirrors, const std::vector<Url>& bases, const Patience& patience,
                   FetchCounts& counts)
    : budget_(mirrors.size()), fetch_(loop, mirrors, bases, budget_, patience, counts) {}

void Download::start(const Found& found, bool consistent, std::size_t atMost, Done done) {
    const auto& target = found.target;
    if (target.length > static_cast<std::int64_t>(atMost))
        return done(Refusal{Reason::tooLong, found.path, 0, std::to_string(target.length) + " bytes listed"});
    const auto name = percentEncoded(consistent ? found.location() : found.path, true);
    fetch_.start(
        {name, static_cast<std::size_t>(target.length)},
        [this, found](std::string bytes, std::function<void(Check)> judged) {
            auto refusal = fits(bytes, found.target.length, found.target.hashes, found.path);
            if (!refusal) body_ = std::move(bytes);
            judged(std::move(refusal));
        },
        [this, done, path = found.path](MirrorFetch::Result result, const Refusal& why) {
            if (result == MirrorFetch::Result::accepted) return done(std::move(body_));
            auto refusal = why;
            refusal.role = path;
            done(refusal);
        });
}

}  // namespace lichenlanding::net
