// The event loop, and owners of libevent's objects. All callbacks run on the thread that runs the loop.
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

/// Logs what `call` throws: no exception may leave a callback that C code has called.
template <typename Call>
void logExceptions(Call&& call) noexcept {
    try {
        call();
    } catch (const std::exception& failure) {
        log(LogEvent::failure, failure.what());
    }
}

class EventLoop {
  public:
    /// Ignores SIGPIPE for the process. Throws std::runtime_error.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;

    event_base* base() const { return base_.get(); }
    /// Monotonic.
    Nanos now() const;
    /// The monotonic time of a Unix time in milliseconds, by the offset of both clocks at construction.
    Nanos fromUnixMillis(std::int64_t unixMillis) const;
    /// Runs `call` on the next turn of the loop, in the order of the posts.
    void post(std::function<void()> call);
    /// Frees `object` on the next turn, when no callback is inside it any more.
    void releaseLater(std::shared_ptr<void> object) {
        post([object = std::move(object)] {});
    }
    /// Until stop().
    void run();
    /// One pass over what is due now, without waiting.
    void runOnce();
    void stop();
    bool stopped() const { return stopped_; }

  private:
    void runPosted();

    LibeventPtr<event_base> base_;
    LibeventPtr<event> postEvent_;
    std::vector<std::function<void()>> posted_;
    Nanos unixOffset_ = 0;
    bool stopped_ = false;
};

/// Calls once after a span. It never fires early: the loop counts from the start of its turn, and a policy
/// that is woken early would not ask for another timer.
class Timer {
  public:
    Timer(EventLoop& loop, std::function<void()> callback);
    Timer(const Timer&) = delete;

    void setCallback(std::function<void()> callback) { callback_ = std::move(callback); }
    /// Starts it, or starts it anew; a span below 0 counts as 0.
    void start(Nanos span);
    void stop();
    bool running() const;

  private:
    void onEvent();

    EventLoop& loop_;
    std::function<void()> callback_;
    LibeventPtr<event> event_;
    Nanos dueAt_ = 0;
};

/// Calls whenever a descriptor is readable, or a signal has come.
class EventWatch {
  public:
    static constexpr short kReadable = EV_READ | EV_PERSIST, kSignal = EV_SIGNAL | EV_PERSIST;

    /// `what` is one of the constants above.
    EventWatch(EventLoop& loop, int descriptorOrSignal, short what, std::function<void()> callback);
    EventWatch(const EventWatch&) = delete;

  private:
    std::function<void()> callback_;
    LibeventPtr<event> event_;
};

}  // namespace lichenlanding::sidecar
