#include "sidecar/mirror_fetch.hpp"

#include <utility>

namespace lichenlanding::sidecar {
namespace {

using metadata::Reason;
using metadata::Refusal;

// Selects the failure to report for a document: the first one about a mirror's bytes, else the last one. A
// bad document is more informative than a mirror that did not respond.
class FailureRecord {
  public:
    void add(Refusal failure, bool aboutBytes) {
        if (aboutBytes_) return;
        failure_ = std::move(failure);
        aboutBytes_ = aboutBytes;
    }
    const Refusal& failure() const { return failure_; }

  private:
    Refusal failure_{Reason::unavailable, {}, 0, "no mirror available: all are draining or backing off"};
    bool aboutBytes_ = false;
};

Refusal unavailable(std::string text) { return {Reason::unavailable, {}, 0, std::move(text)}; }

Refusal noResponse(const std::string& mirror, const FetchResponse& response) {
    const auto code = response.statusCode ? " " + std::to_string(response.statusCode) : std::string();
    return unavailable(mirror + ": " + nameOf(response.result) + code);
}

Refusal tooLarge(const std::string& mirror, std::size_t maxBytes) {
    return {Reason::tooLong, {}, 0, mirror + " sent more than " + std::to_string(maxBytes) + " bytes"};
}

}  // namespace

struct MirrorFetch::ResponseAwaiter {
    ResponseAwaiter(MirrorFetch& fetch_, Url url_) : fetch(fetch_), url(std::move(url_)) {}
    ResponseAwaiter(const ResponseAwaiter&) = delete;

    MirrorFetch& fetch;
    Url url;
    FetchResponse response;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> coroutine) {
        fetch.fetch_ =
            std::make_unique<HttpFetch>(fetch.loop_, url, fetch.document_.maxBytes, fetch.timeouts_.connect,
                                        fetch.timeouts_.response, [this, coroutine](FetchResponse received) {
                                            response = std::move(received);
                                            coroutine.resume();
                                        });
    }
    FetchResponse await_resume() {
        fetch.fetch_.reset();
        return std::move(response);
    }
};

struct MirrorFetch::VerificationAwaiter {
    VerificationAwaiter(MirrorFetch& fetch_, std::string bytes_) : fetch(fetch_), bytes(std::move(bytes_)) {}
    VerificationAwaiter(const VerificationAwaiter&) = delete;

    MirrorFetch& fetch;
    std::string bytes;
    metadata::Check failure;
    bool verified = false, suspended = false;

    bool await_ready() const { return false; }
    bool await_suspend(std::coroutine_handle<> coroutine) {
        fetch.verifier_(std::move(bytes), [this, coroutine](metadata::Check result) {
            failure = std::move(result);
            verified = true;
            if (suspended) coroutine.resume();
        });
        suspended = !verified;  // continues at once if verified within the call
        return suspended;
    }
    metadata::Check await_resume() { return std::move(failure); }
};

MirrorFetch::MirrorFetch(EventLoop& loop, metadata::Mirrors& mirrors, const std::vector<Url>& bases,
                         metadata::RetryBudget& budget, const metadata::FetchTimeouts& timeouts,
                         FetchCounts& counts)
    : loop_(loop), mirrors_(mirrors), bases_(bases), budget_(budget), timeouts_(timeouts), counts_(counts) {}

void MirrorFetch::start(Document document, Verifier verifier, ResultHandler onDone) {
    document_ = std::move(document);
    verifier_ = std::move(verifier);
    onDone_ = std::move(onDone);
    ++counts_.requested;
    task_ = run();
}

Task MirrorFetch::run() {
    std::vector<bool> tried(mirrors_.size());
    auto result = Result::refused;
    FailureRecord record;
    for (bool first = true; result == Result::refused; first = false) {
        const auto mirror = mirrors_.choose(loop_.now(), tried);
        if (!mirror || (!first && !budget_.take())) break;
        tried[*mirror] = true;
        ++counts_.attempts;
        counts_.retries += !first;
        ResponseAwaiter awaiter(*this, bases_[*mirror].below(document_.name));
        auto response = co_await awaiter;
        const auto& name = mirrors_.name(*mirror);
        if (response.tooLarge) {
            record.add(tooLarge(name, document_.maxBytes), true);
        } else if (outcomeOf(response.result) == Outcome::succeeded) {
            VerificationAwaiter verification(*this, std::move(response.body));
            if (auto failure = co_await verification) {
                record.add(std::move(*failure), true);
            } else {
                mirrors_.recordSuccess(*mirror);
                result = Result::accepted;
                continue;
            }
        } else if (response.statusCode == 404 || response.statusCode == 403) {
            record.add(unavailable(name + " has no " + metadata::escaped(document_.name, 100)), false);
            if (document_.firstNotFoundIsFinal) {
                mirrors_.recordSuccess(*mirror);
                result = Result::missing;
            }
            continue;  // a mirror that lags behind is not counted as failed
        } else {
            record.add(noResponse(name, response), false);
        }
        mirrors_.recordFailure(*mirror, loop_.now());
        if (response.retryAfter > 0) mirrors_.backOffUntil(*mirror, loop_.now() + response.retryAfter);
    }
    finish(result, record.failure());
}

// Posted to the loop, since the handler may destroy this object.
void MirrorFetch::finish(Result result, const Refusal& failure) {
    ++counts_.completed;
    const auto onDone = std::exchange(onDone_, nullptr);
    loop_.post([alive = std::weak_ptr<char>(lifetime_), onDone, result, failure] {
        if (!alive.expired()) onDone(result, failure);
    });
}

}  // namespace lichenlanding::sidecar
