/// Aliases and helpers for Boost.Asio and Beast: time, addresses, sockets, coroutines. Each io_context runs
/// on a single thread.
#pragma once

// clang-format off
#include <utility>  // must precede Asio 1.74, which uses std::exchange without including it
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "state.hpp"

namespace lichenlanding::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
template <typename T = void>
using Task = asio::awaitable<T>;

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;

/// The steady clock; comparable only within this process.
inline Nanos now() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
inline std::chrono::nanoseconds toDuration(Nanos nanos) { return std::chrono::nanoseconds(nanos); }
inline std::chrono::steady_clock::time_point toTimePoint(Nanos time) {
    return std::chrono::steady_clock::time_point(std::chrono::nanoseconds(time));
}

/// Completion token that reports errors through `code` instead of an exception.
inline auto withErrorCode(ErrorCode& code) { return asio::redirect_error(asio::use_awaitable, code); }

/// Parses an address such as "10.1.0.13:8161". Throws ParseError.
tcp::endpoint parseAddress(const std::string& address);
/// The part of an address before its port.
std::string hostOf(const std::string& address);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT to `unacknowledgedTimeout`: the kernel closes the connection if
/// sent bytes remain unacknowledged for that long.
void configureSocket(tcp::socket& socket, Nanos unacknowledgedTimeout);

/// Throws ParseError, and boost::system::system_error if the address is not available.
tcp::acceptor listen(asio::io_context& io, const std::string& address);

/// Suspends the coroutine for `duration`. Cancellation ends the wait without an error.
Task<> sleep(Nanos duration);

/// Runs a detached coroutine. An exception from it is logged with `step`, which must be a string literal, and
/// `onFailure`, if given, is called; it must not throw.
void spawn(asio::io_context& io, const char* step, Task<> task, std::function<void()> onFailure = {});

/// An event that one coroutine waits for and others notify. A notification before the wait is not lost.
class AsyncEvent {
  public:
    explicit AsyncEvent(asio::io_context& io) : timer_(io) {}
    void notify();
    /// Returns false if the time `until` was reached without a notification.
    Task<bool> wait(Nanos until);

  private:
    asio::steady_timer timer_;
    bool notified_ = false;
};

}  // namespace lichenlanding::transport
