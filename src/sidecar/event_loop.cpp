#include "sidecar/event_loop.hpp"

#include <chrono>
#include <csignal>
#include <stdexcept>

namespace lichenlanding::sidecar {
namespace {

template <typename T>
T* checked(T* object, const char* failure) {
    if (!object) throw std::runtime_error(failure);
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

EventLoop::EventLoop() {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that is gone ends a call, not the process
    event_set_log_callback([](int severity, const char* text) {
        if (severity >= EVENT_LOG_WARN) logExceptions([&] { log(LogEvent::failure, text); });
    });
    auto* config = checked(event_config_new(), "cannot make an event configuration");
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);  // epoll alone counts in milliseconds
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    checked(base_.get(), "cannot make an event loop");
    const auto onPosted = [](evutil_socket_t, short, void* self) {
        static_cast<EventLoop*>(self)->runPosted();
    };
    postEvent_.reset(checked(event_new(base_.get(), -1, 0, onPosted, this), "cannot make an event"));
    unixOffset_ = now() - nanosSince(std::chrono::system_clock::now());
}

EventLoop::~EventLoop() { posted_.clear(); }

Nanos EventLoop::now() const { return nanosSince(std::chrono::steady_clock::now()); }

Nanos EventLoop::fromUnixMillis(std::int64_t unixMillis) const {
    return unixMillis * 1'000'000 + unixOffset_;
}

void EventLoop::post(std::function<void()> call) {
    posted_.push_back(std::move(call));
    event_active(postEvent_.get(), EV_TIMEOUT, 0);
}

void EventLoop::runPosted() {
    std::vector<std::function<void()>> calls;
    calls.swap(posted_);
    for (auto& call : calls) logExceptions(call);
}

void EventLoop::run() { event_base_dispatch(base_.get()); }

void EventLoop::runOnce() { event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }

void EventLoop::stop() {
    stopped_ = true;
    event_base_loopbreak(base_.get());
}

Timer::Timer(EventLoop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {
    const auto onTimeout = [](evutil_socket_t, short, void* self) {
        logExceptions([&] { static_cast<Timer*>(self)->onEvent(); });
    };
    event_.reset(checked(evtimer_new(loop.base(), onTimeout, this), "cannot make a timer"));
}

void Timer::start(Nanos span) {
    dueAt_ = loop_.now() + std::max<Nanos>(span, 0);
    const auto wait = timevalOf(span);
    event_add(event_.get(), &wait);
}

void Timer::onEvent() {
    const auto early = dueAt_ - loop_.now();
    if (early <= 0) return callback_();
    const auto wait = timevalOf(early);
    event_add(event_.get(), &wait);
}

void Timer::stop() { event_del(event_.get()); }

bool Timer::running() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

EventWatch::EventWatch(EventLoop& loop, int descriptorOrSignal, short what, std::function<void()> callback)
    : callback_(std::move(callback)) {
    const auto onEvent = [](evutil_socket_t, short, void* self) {
        logExceptions(static_cast<EventWatch*>(self)->callback_);
    };
    event_.reset(checked(event_new(loop.base(), descriptorOrSignal, what, onEvent, this),
                         "cannot make an event watch"));
    event_add(event_.get(), nullptr);
}

}  // namespace lichenlanding::sidecar
