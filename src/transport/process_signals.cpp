#include "transport/process_signals.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace lichenlanding::transport {
namespace {

sigset_t handledSignals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
    return signals;
}

}  // namespace

void blockSignals() {
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void unblockSignals() {
    const auto signals = handledSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void ignoreWriteSignals() {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

void openStandardStreams() {
    for (int stream = STDIN_FILENO; stream <= STDERR_FILENO; ++stream) {
        const bool closed = fcntl(stream, F_GETFD) < 0 && errno == EBADF;
        // The lowest free number is this stream's, since those below it are open.
        if (closed) ::open("/dev/null", O_RDWR);
    }
}

std::optional<int> waitForSignal(Nanos duration) {
    const auto signals = handledSignals();
    const timespec timeout{duration / kSecond, duration % kSecond};
    const int signal = sigtimedwait(&signals, nullptr, &timeout);
    if (signal < 0) return std::nullopt;
    return signal;
}

SignalHandler::SignalHandler(asio::io_context& io, std::function<void()> stop, std::function<void()> reload)
    : signals_(io, SIGTERM, SIGINT, SIGHUP), stop_(std::move(stop)), reload_(std::move(reload)) {
    waitForNext();
    unblockSignals();
}

SignalHandler::~SignalHandler() { blockSignals(); }

void SignalHandler::waitForNext() {
    signals_.async_wait([this](ErrorCode code, int signal) {
        if (code) return;
        if (signal == SIGHUP) reload_();
        else stop_();
        waitForNext();
    });
}

}  // namespace lichenlanding::transport
