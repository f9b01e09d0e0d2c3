#include "sidecar/event_loop.hpp"

#include <chrono>
#include <csignal>
#include <stdexcept>

namespace lichenlanding::net {
namespace {

template <typename T>
T* made(T* object, const char* what) {
    if (!object) throw std::runtime_error(what);
    return object;
}

timeval timevalOf(Nanos span) {
    const auto micros = (std::max<Nanos>(span, 0) + 999) / 1000;
    return {micros / 1'000'000, micros % 1'000'000};
}

template <typename T>
Nanos nanosSince(T point) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(point.time_since_epoch()).count();
}

}  // namespace

Loop::Loop() {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that is gone is an ending, not the process's end
    event_set_log_callback([](int severity, const char* text) {
        if (severity >= EVENT_LOG_WARN) guarded([&] { log(Kind::failure, text); });
    });
    auto* config = made(event_config_new(), "cannot make an event configuration");
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);  // epoll alone counts in milliseconds
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    made(base_.get(), "cannot make an event loop");
    turn_.reset(
        made(event_new(
                 base_.get(), -1, 0,
                 [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->runLater(); }, this),
             "cannot make an event"));
    unixOffset_ = now() - nanosSince(std::chrono::system_clock::now());
}

Loop::~Loop() { queue_.clear(); }

Nanos Loop::now() const { return nanosSince(std::chrono::steady_clock::now()); }

Nanos Loop::fromUnixMillis(std::int64_t unixMillis) const { return unixMillis * 1'000'000 + unixOffset_; }

void Loop::later(std::function<void()> call) {
    queue_.push_back(std::move(call));
    event_active(turn_.get(), EV_TIMEOUT, 0);
}

void Loop::runLater() {
    std::vector<std::function<void()>> calls;
    calls.swap(queue_);
    for (auto& call : calls) guarded(call);
}

void Loop::run() { event_base_dispatch(base_.get()); }
void Loop::turn() { event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }
void Loop::stop() {
    stopped_ = true;
    event_base_loopbreak(base_.get());
}

Timer::Timer(Loop& loop, std::function<void()> call) : loop_(loop), call_(std::move(call)) {
    event_.reset(made(
        evtimer_new(
            loop.base(),
            [](evutil_socket_t, short, void* self) { guarded([&] { static_cast<Timer*>(self)->due(); }); },
            this),
        "cannot make a timer"));
}

void Timer::in(Nanos span) {
    at_ = loop_.now() + std::max<Nanos>(span, 0);
    const auto wait = timevalOf(span);
    event_add(event_.get(), &wait);
}

void Timer::due() {
    const auto early = at_ - loop_.now();
    if (early <= 0) return call_();
    const auto wait = timevalOf(early);
    event_add(event_.get(), &wait);
}
void Timer::stop() { event_del(event_.get()); }
bool Timer::running() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

Watch::Watch(Loop& loop, int descriptorOrSignal, short what, std::function<void()> call)
    : call_(std::move(call)) {
    event_.reset(
        made(event_new(
                 loop.base(), descriptorOrSignal, what,
                 [](evutil_socket_t, short, void* self) { guarded(static_cast<Watch*>(self)->call_); }, this),
             "cannot make a watch"));
    event_add(event_.get(), nullptr);
}

}  // namespace lichenlanding::net
