/// What the gateway's programs share of Boost.Asio and Beast: names, times, addresses, coroutines. Everything
/// of one io_context runs on one thread.
#pragma once

// clang-format off
#include <utility>  // before Asio 1.74, which uses std::exchange without it
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

/// Steady time; of use only within this process.
inline Nanos now() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
inline std::chrono::nanoseconds toDuration(Nanos nanos) { return std::chrono::nanoseconds(nanos); }
inline std::chrono::steady_clock::time_point toTimePoint(Nanos at) {
    return std::chrono::steady_clock::time_point(std::chrono::nanoseconds(at));
}

/// Completes with an error code in place of an exception.
inline auto withErrorCode(ErrorCode& code) { return asio::redirect_error(asio::use_awaitable, code); }

/// "10.1.0.13:8161". Throws ParseError.
tcp::endpoint parseAddress(const std::string& address);
/// The part of an address before its port.
std::string hostOf(const std::string& address);

/// Small writes go at once; the kernel gives the connection up where the peer acknowledges no byte for
/// `silence`.
void configureSocket(tcp::socket& socket, Nanos silence);

/// Throws ParseError, and boost::system::system_error where the address cannot be had.
tcp::acceptor listen(asio::io_context& io, const std::string& address);

/// Waits; an end of the wait by cancel() is no error.
Task<> sleep(Nanos duration);

/// Runs a coroutine that nobody waits for: what it throws is logged with `step`, which must be a literal.
void spawn(asio::io_context& io, const char* step, Task<> task);

/// One coroutine waits, others notify it. A notification before the wait is kept.
class AsyncEvent {
  public:
    explicit AsyncEvent(asio::io_context& io) : timer_(io) {}
    void notify();
    /// False where the time came first.
    Task<bool> wait(Nanos until);

  private:
    asio::steady_timer timer_;
    bool notified_ = false;
};

/// SIGTERM and SIGINT call `stop`, SIGHUP calls `reload`; SIGPIPE is ignored. Once in a process.
void handleSignals(asio::io_context& io, std::function<void()> stop, std::function<void()> reload);

}  // namespace lichenlanding::transport
