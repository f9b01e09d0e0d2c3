/// The signals and standard streams of a server process, from its first line to its end.
///
/// SIGTERM, SIGINT and SIGHUP are blocked, and so kept for later, whenever no SignalHandler exists: with
/// their default actions they would kill the process while it starts or exits. Threads inherit the blocked
/// signals, so that only the thread that creates the SignalHandler receives them.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>

#include "transport/event_loop.hpp"

namespace lichenlanding::transport {

/// Blocks SIGTERM, SIGINT and SIGHUP. To be the first call of main(), before any thread is started.
void blockSignals();
/// Restores the default actions, for programs that are no servers.
void unblockSignals();
/// Makes a write to a closed pipe or socket, or beyond the limit on file sizes, fail with an error instead of
/// a signal that kills the process.
void ignoreWriteSignals();
/// Opens /dev/null in place of each standard stream that is closed. Otherwise a socket or file would get its
/// number, and log lines would be written to it.
void openStandardStreams();

/// Waits up to `duration` for a signal that blockSignals() has blocked, and consumes it. Blocks the thread;
/// for use before the event loop runs.
std::optional<int> waitForSignal(Nanos duration);

/// Handles signals while it exists: SIGTERM and SIGINT call `stop`, SIGHUP calls `reload`, on the event
/// loop's thread. Must be destroyed before `io`. One per process.
class SignalHandler {
  public:
    SignalHandler(asio::io_context& io, std::function<void()> stop, std::function<void()> reload);
    ~SignalHandler();
    SignalHandler(const SignalHandler&) = delete;
    SignalHandler& operator=(const SignalHandler&) = delete;

  private:
    void waitForNext();

    asio::signal_set signals_;
    std::function<void()> stop_, reload_;
};

}  // namespace lichenlanding::transport
