// The event loop, and RAII owners of libevent objects. All callbacks run on the thread that runs the loop.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <vector>

#include "sidecar/log.hpp"
#include "state.hpp"

namespace lichenlanding::sidecar {

struct LibeventDeleter {
    void operator()(event_base* object) const { event_base_free(object); }
    void operator()(event* object) const { event_free(object); }
    void operator()(evhttp* object) const { evhttp_free(object); }
    void operator()(evhttp_connection* object) const { evhttp_connection_free(object); }
    void operator()(evhttp_request* object) const { evhttp_request_free(object); }
    void operator()(evbuffer* object) const { evbuffer_free(object); }
    void operator()(bufferevent* object) const { bufferevent_free(object); }
};
template <typename T>
using LibeventPtr = std::unique_ptr<T, LibeventDeleter>;

/// Calls `function` and logs an exception that it throws: exceptions must not propagate into C code.
template <typename Function>
void logExceptions(Function&& function) noexcept {
    try {
        function();
    } catch (const std::exception& error) {
        log(LogEvent::failure, error.what());
    }
}

class EventLoop {
  public:
    /// Sets SIGPIPE to be ignored in the whole process. Throws std::runtime_error.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;

    event_base* base() const { return base_.get(); }
    /// The monotonic clock's time.
    Nanos now() const;
    /// Converts a Unix time in milliseconds to monotonic time, by the offset of the clocks at construction.
    Nanos fromUnixMillis(std::int64_t unixMillis) const;
    /// Runs `callback` in the next iteration of the loop, in the order in which callbacks were posted.
    void post(std::function<void()> callback);
    /// Releases `object` in the next iteration, when none of its callbacks is running any more.
    void releaseLater(std::shared_ptr<void> object) {
        post([object = std::move(object)] {});
    }
    /// Runs until stop() is called.
    void run();
    /// Processes the events that are due now, without waiting.
    void runOnce();
    void stop();
    bool stopped() const { return stopped_; }

  private:
    void runPosted();

    LibeventPtr<event_base> base_;
    LibeventPtr<event> postEvent_;
    std::vector<std::function<void()>> postedCallbacks_;
    Nanos unixToMonotonicOffset_ = 0;
    bool stopped_ = false;
};

/// A one-shot timer that never fires early. libevent's own timers can, since it measures a delay from the
/// start of the loop iteration; and a policy that is called early would not start another timer.
class Timer {
  public:
    Timer(EventLoop& loop, std::function<void()> callback);
    Timer(const Timer&) = delete;

    void setCallback(std::function<void()> callback) { callback_ = std::move(callback); }
    /// Starts or restarts the timer; a negative `delay` counts as 0.
    void start(Nanos delay);
    void stop();
    bool running() const;

  private:
    void onEvent();

    EventLoop& loop_;
    std::function<void()> callback_;
    LibeventPtr<event> event_;
    Nanos dueAt_ = 0;
};

/// Calls back whenever a descriptor is readable, or a signal is received.
class EventWatch {
  public:
    static constexpr short kReadable = EV_READ | EV_PERSIST, kSignal = EV_SIGNAL | EV_PERSIST;

    /// `events` is one of the constants above.
    EventWatch(EventLoop& loop, int descriptorOrSignal, short events, std::function<void()> callback);
    EventWatch(const EventWatch&) = delete;

  private:
    std::function<void()> callback_;
    LibeventPtr<event> event_;
};

}  // namespace lichenlanding::sidecar
