// Client of a streaming response that delivers one line after another; reopened when it ends or times out.
#pragma once

#include "limits/fleet.hpp"
#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

class WatchStream {
  public:
    /// Returns the path to request; called each time the stream is opened.
    using PathProvider = std::function<std::string()>;
    /// Handles one non-empty line. Returns false if it is malformed; the stream is then reopened.
    using LineHandler = std::function<bool(std::string_view)>;

    /// `idleTimeout`: the time without a received byte after which the stream is reopened. `reconnectBackoff`
    /// delays the reopening. Established and lost streams are logged as `event`.
    WatchStream(EventLoop& loop, Address address, LogEvent event, Nanos connectTimeout, Nanos idleTimeout,
                limits::ReconnectBackoff reconnectBackoff, PathProvider path, LineHandler onLine);

    /// Opens the stream immediately, or after the initial delay of `reconnectBackoff`.
    void start(bool immediately);
    /// Reopens the stream immediately at the new address.
    void setAddress(const Address& address);

  private:
    void open();
    void onBytes(std::string_view bytes);
    void onEnd(const CallResponse& response);
    void close(const char* reason, Nanos retryAfter = 0);  // and schedules the reopening

    EventLoop& loop_;
    Address address_;
    LogEvent event_;
    Nanos connectTimeout_, idleTimeout_;
    limits::ReconnectBackoff reconnectBackoff_;
    PathProvider path_;
    LineHandler onLine_;
    Timer idleTimer_, reopenTimer_;
    std::shared_ptr<Connection> connection_;
    std::string partialLine_;
    bool established_ = false;
    bool firstLoss_ = true;  // the first loss is logged even if the stream was never established
};

}  // namespace lichenlanding::sidecar
