#include "sidecar/mirror_fetch.hpp"

namespace lichenlanding::net {

using metadata::Reason;
using metadata::Refusal;

struct MirrorFetch::Sending {
    Sending(MirrorFetch& of_, const Url& url_) : of(of_), url(url_) {}
    Sending(const Sending&) = delete;

    MirrorFetch& of;
    Url url;
    Fetched back;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> life) {
        of.fetch_ = std::make_unique<Fetch>(of.loop_, url, of.document_.atMost, of.patience_.connectWithin,
                                            of.patience_.within, [this, life](Fetched came) {
                                                back = std::move(came);
                                                life.resume();
                                            });
    }
    Fetched await_resume() {
        of.fetch_.reset();
        return std::move(back);
    }
};

struct MirrorFetch::Judging {
    Judging(MirrorFetch& of_, std::string bytes_) : of(of_), bytes(std::move(bytes_)) {}
    Judging(const Judging&) = delete;

    MirrorFetch& of;
    std::string bytes;
    metadata::Check refusal;
    bool judged = false, waits = false;

    bool await_ready() const { return false; }
    bool await_suspend(std::coroutine_handle<> life) {
        of.accept_(std::move(bytes), [this, life](metadata::Check came) {
            refusal = std::move(came);
            judged = true;
            if (waits) life.resume();
        });
        return waits = !judged;  // judged within the call: goes on without having waited
    }
    metadata::Check await_resume() { return std::move(refusal); }
};

MirrorFetch::MirrorFetch(Loop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                         metadata::Budget& budget, const metadata::Patience& patience, FetchCounts& counts)
    : loop_(loop), mirrors_(mirrors), bases_(bases), budget_(budget), patience_(patience), counts_(counts) {}

void MirrorFetch::start(Document document, Accept accept, Done done) {
    document_ = std::move(document), accept_ = std::move(accept), done_ = std::move(done);
    ++counts_.asked;
    life_ = life();
}

Task MirrorFetch::life() {
    std::vector<bool> tried(mirrors_.size());
    auto result = Result::refused;
    // A typed refusal of bytes says more than that a mirror was silent: the first one stays.
    Refusal why{Reason::unavailable, {}, 0, "no mirror may be asked: all drain or rest"};
    bool typed = false;
    const auto refused = [&](Refusal one, bool ofBytes) {
        if (typed && !ofBytes) return;
        if (!typed) why = std::move(one);
        typed = typed || ofBytes;
    };
    for (bool first = true; result == Result::refused; first = false) {
        const auto mirror = mirrors_.choose(loop_.now(), tried);
        if (!mirror || (!first && !budget_.take())) break;
        tried[*mirror] = true;
        ++counts_.forwards;
        counts_.resent += !first;
        Sending sending(*this, bases_[*mirror].below(document_.name));
        auto back = co_await sending;
        const auto outcome = outcomeOf(back.ending);
        const auto& name = mirrors_.name(*mirror);
        if (back.tooLong) {
            refused({Reason::tooLong,
                     {},
                     0,
                     name + " sent more than " + std::to_string(document_.atMost) + " bytes"},
                    true);
        } else if (outcome == Outcome::delivered) {
            Judging judging(*this, std::move(back.body));
            if (auto refusal = co_await judging) {
                refused(std::move(*refusal), true);
            } else {
                mirrors_.answered(*mirror);
                result = Result::accepted;
                continue;
            }
        } else if (back.code == 404 || back.code == 403) {
            refused({Reason::unavailable, {}, 0, name + " has no " + metadata::escaped(document_.name, 100)},
                    false);
            if (document_.firstWordOnMissing) {
                mirrors_.answered(*mirror);
                result = Result::missing;
            }
            continue;  // a mirror that lags has not failed
        } else {
            const auto code = back.code ? " " + std::to_string(back.code) : std::string();
            refused({Reason::unavailable, {}, 0, name + ": " + nameOf(back.ending) + code}, false);
        }
        mirrors_.failed(*mirror, loop_.now());
        if (back.retryAfter > 0) mirrors_.rests(*mirror, loop_.now() + back.retryAfter);
    }
    ++counts_.closed;
    const auto done = std::exchange(done_, nullptr);
    // On a turn of its own: whoever is told may destroy this.
    loop_.later([here = std::weak_ptr<char>(here_), done, result, why] {
        if (!here.expired()) done(result, why);
    });
}

}  // namespace lichenlanding::net
