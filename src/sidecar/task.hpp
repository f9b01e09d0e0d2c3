// A coroutine type that starts eagerly; its owner frees the coroutine frame.
#pragma once

#include <coroutine>
#include <exception>
#include <utility>

#include "sidecar/log.hpp"

namespace lichenlanding::sidecar {

/// Owns the coroutine frame; destroying it ends the coroutine wherever it is suspended. An exception thrown
/// by the coroutine is logged and ends it.
class Task {
  public:
    struct promise_type {
        Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
        std::suspend_never initial_suspend() noexcept { return {}; }
        std::suspend_always final_suspend() noexcept { return {}; }
        void return_void() {}
        void unhandled_exception() noexcept {
            try {
                throw;
            } catch (const std::exception& failure) {
                log(LogEvent::failure, failure.what());
            }
        }
    };

    Task() = default;
    Task(Task&& other) noexcept : frame_(std::exchange(other.frame_, nullptr)) {}
    Task& operator=(Task&& other) noexcept {
        std::swap(frame_, other.frame_);
        return *this;
    }
    ~Task() {
        if (frame_) frame_.destroy();
    }

  private:
    explicit Task(std::coroutine_handle<promise_type> frame) : frame_(frame) {}

    std::coroutine_handle<promise_type> frame_;
};

}  // namespace lichenlanding::sidecar
