#include "sidecar/watch_stream.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::sidecar {
namespace {

constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;  // a list of tens of thousands of pods
constexpr std::size_t kMaxLoggedBytes = 120;            // of a malformed line

}  // namespace

WatchStream::WatchStream(EventLoop& loop, Address address, LogEvent event, Nanos connectTimeout,
                         Nanos idleTimeout, limits::ReconnectBackoff reconnectBackoff, PathProvider path,
                         LineHandler onLine)
    : loop_(loop),
      address_(std::move(address)),
      event_(event),
      connectTimeout_(connectTimeout),
      idleTimeout_(idleTimeout),
      reconnectBackoff_(reconnectBackoff),
      path_(std::move(path)),
      onLine_(std::move(onLine)),
      idleTimer_(loop,
                 [this] {
                     close("idle time-out");
                     reopenTimer_.start(reconnectBackoff_.initialDelay());  // the timeout was backoff enough
                 }),
      reopenTimer_(loop, [this] { open(); }) {}

void WatchStream::start(bool immediately) {
    if (const auto wait = immediately ? 0 : reconnectBackoff_.initialDelay(); wait > 0)
        reopenTimer_.start(wait);
    else open();
}

void WatchStream::open() {
    partialLine_.clear();
    connection_ = std::make_shared<Connection>(loop_, address_, SIZE_MAX >> 1);
    idleTimer_.start(idleTimeout_);
    connection_->call(
        {EVHTTP_REQ_GET, path_(), {{"Host", address_.text()}}, {}}, connectTimeout_, 0,
        [this](const CallResponse& response) { onEnd(response); },
        [this](std::string_view bytes) {
            // The body of an error response has no lines, and nothing after a malformed line is read.
            if (connection_ && connection_->statusCode() == 200) onBytes(bytes);
        });
}

void WatchStream::setAddress(const Address& address) {
    close("address changed");
    address_ = address;
    reconnectBackoff_.reset();
    reopenTimer_.stop();
    open();
}

// The end of a complete response also terminates its last line.
void WatchStream::onEnd(const CallResponse& response) {
    if (response.result == CallResult::succeeded && !partialLine_.empty()) onBytes("\n");
    if (connection_) close(nameOf(response.result), response.retryAfter);
}

void WatchStream::onBytes(std::string_view bytes) {
    idleTimer_.start(idleTimeout_);
    partialLine_ += bytes;
    if (partialLine_.size() > kMaxLineBytes) return close("line too long");
    if (bytes.find('\n') == std::string_view::npos) return;
    const auto end = partialLine_.rfind('\n');
    std::string lines(partialLine_, 0, end + 1);
    partialLine_.erase(0, end + 1);
    for (std::size_t from = 0; from < lines.size();) {
        const auto to = lines.find('\n', from);
        const auto line = std::string_view(lines).substr(from, to - from);
        from = to + 1;
        if (line.empty() || line == "\r") continue;
        if (!onLine_(line)) {
            log(event_, "malformed line: " + std::string(line.substr(0, kMaxLoggedBytes)));
            return close("malformed line");
        }
    }
    reconnectBackoff_.reset();
    if (!std::exchange(established_, true)) log(event_, "watch on " + address_.text() + " established");
}

void WatchStream::close(const char* reason, Nanos retryAfter) {
    if (std::exchange(established_, false) || std::exchange(firstLoss_, false))
        log(event_, "watch on " + address_.text() + " lost: " + reason);
    idleTimer_.stop();
    if (connection_) {
        connection_->discard();
        loop_.releaseLater(std::exchange(connection_, nullptr));
    }
    reopenTimer_.start(reconnectBackoff_.nextDelay(retryAfter));
}

}  // namespace lichenlanding::sidecar
