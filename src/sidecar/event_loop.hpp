// The event loop, and libevent's objects owned as C++ objects are.
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

namespace lichenlanding::net {

struct Release {
    void operator()(event_base* held) const { event_base_free(held); }
    void operator()(event* held) const { event_free(held); }
    void operator()(evhttp* held) const { evhttp_free(held); }
    void operator()(evhttp_connection* held) const { evhttp_connection_free(held); }
    void operator()(evhttp_request* held) const { evhttp_request_free(held); }
    void operator()(evbuffer* held) const { evbuffer_free(held); }
    void operator()(bufferevent* held) const { bufferevent_free(held); }
};
template <typename T>
using Owned = std::unique_ptr<T, Release>;

// No exception leaves a callback that C code has called.
template <typename Call>
void guarded(Call&& call) noexcept {
    try {
        call();
    } catch (const std::exception& failure) {
        log(Kind::failure, failure.what());
    }
}

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;

    event_base* base() const { return base_.get(); }
    Nanos now() const;                                    // monotonic
    Nanos fromUnixMillis(std::int64_t unixMillis) const;  // by the offset taken at the start
    void later(std::function<void()> call);               // on the next turn, in order
    void bury(std::shared_ptr<void> dead) {               // frees it once nobody is inside it any more
        later([dead = std::move(dead)] {});
    }
    void run();
    void turn();  // one pass over what is due now, without waiting
    void stop();
    bool stopped() const { return stopped_; }

  private:
    void runLater();

    Owned<event_base> base_;
    Owned<event> turn_;
    std::vector<std::function<void()>> queue_;
    Nanos unixOffset_ = 0;
    bool stopped_ = false;
};

// Never fires before its time. The loop counts from the start of its turn, which may lie behind by what the
// turn has taken, and the decisions ask for no second wake when they are woken early: their tick would end
// for good.
class Timer {
  public:
    Timer(Loop& loop, std::function<void()> call);
    Timer(const Timer&) = delete;

    void calls(std::function<void()> call) { call_ = std::move(call); }
    void in(Nanos span);
    void stop();
    bool running() const;

  private:
    void due();

    Loop& loop_;
    std::function<void()> call_;
    Owned<event> event_;
    Nanos at_ = 0;
};

// Calls when a descriptor can be read, or when a signal comes.
class Watch {
  public:
    static constexpr short readable = EV_READ | EV_PERSIST, signal = EV_SIGNAL | EV_PERSIST;
    Watch(Loop& loop, int descriptorOrSignal, short what, std::function<void()> call);
    Watch(const Watch&) = delete;

  private:
    std::function<void()> call_;
    Owned<event> event_;
};

}  // namespace lichenlanding::net
