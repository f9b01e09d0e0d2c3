#include "sidecar/event_loop.hpp"

#include <chrono>
#include <csignal>
#include <stdexcept>

namespace lichenlanding::sidecar {
namespace {

template <typename T>
T* throwIfNull(T* object, const char* errorMessage) {
    if (!object) throw std::runtime_error(errorMessage);
    return object;
}

timeval timevalOf(Nanos duration) {
    const auto micros = (std::max<Nanos>(duration, 0) + 999) / 1000;
    return {micros / 1'000'000, micros % 1'000'000};
}

template <typename T>
Nanos nanosSinceEpoch(T timePoint) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(timePoint.time_since_epoch()).count();
}

}  // namespace

EventLoop::EventLoop() {
    std::signal(SIGPIPE, SIG_IGN);  // writing to a closed connection must fail the call, not end the process
    event_set_log_callback([](int severity, const char* text) {
        if (severity >= EVENT_LOG_WARN) logExceptions([&] { log(LogEvent::failure, text); });
    });
    auto* config = throwIfNull(event_config_new(), "cannot create a libevent configuration");
    // Without this flag timers have the millisecond resolution of epoll.
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    throwIfNull(base_.get(), "cannot create a libevent event base");
    const auto onPosted = [](evutil_socket_t, short, void* self) {
        static_cast<EventLoop*>(self)->runPosted();
    };
    postEvent_.reset(throwIfNull(event_new(base_.get(), -1, 0, onPosted, this),
                                 "cannot create the event for posted callbacks"));
    unixToMonotonicOffset_ = now() - nanosSinceEpoch(std::chrono::system_clock::now());
}

EventLoop::~EventLoop() { postedCallbacks_.clear(); }

Nanos EventLoop::now() const { return nanosSinceEpoch(std::chrono::steady_clock::now()); }

Nanos EventLoop::fromUnixMillis(std::int64_t unixMillis) const {
    return unixMillis * 1'000'000 + unixToMonotonicOffset_;
}

void EventLoop::post(std::function<void()> callback) {
    postedCallbacks_.push_back(std::move(callback));
    event_active(postEvent_.get(), EV_TIMEOUT, 0);
}

void EventLoop::runPosted() {
    std::vector<std::function<void()>> callbacks;
    callbacks.swap(postedCallbacks_);
    for (auto& callback : callbacks) logExceptions(callback);
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
    event_.reset(throwIfNull(evtimer_new(loop.base(), onTimeout, this), "cannot create a timer event"));
}

void Timer::start(Nanos delay) {
    dueAt_ = loop_.now() + std::max<Nanos>(delay, 0);
    const auto timeout = timevalOf(delay);
    event_add(event_.get(), &timeout);
}

void Timer::onEvent() {
    const auto remaining = dueAt_ - loop_.now();
    if (remaining <= 0) return callback_();
    const auto timeout = timevalOf(remaining);
    event_add(event_.get(), &timeout);
}

void Timer::stop() { event_del(event_.get()); }

bool Timer::running() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

EventWatch::EventWatch(EventLoop& loop, int descriptorOrSignal, short events, std::function<void()> callback)
    : callback_(std::move(callback)) {
    const auto onEvent = [](evutil_socket_t, short, void* self) {
        logExceptions(static_cast<EventWatch*>(self)->callback_);
    };
    event_.reset(throwIfNull(event_new(loop.base(), descriptorOrSignal, events, onEvent, this),
                             "cannot create an event for a descriptor or signal"));
    event_add(event_.get(), nullptr);
}

}  // namespace lichenlanding::sidecar
