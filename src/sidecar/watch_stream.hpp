// A response that stays open and brings one line after another; reopened when it ends or times out.
#pragma once

#include "limits/fleet.hpp"
#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

class WatchStream {
  public:
    /// The path to request, at each opening.
    using PathProvider = std::function<std::string()>;
    /// Handles one line that is not empty; false if it is malformed: the stream is reopened.
    using LineHandler = std::function<bool(std::string_view)>;

    /// `idleTimeout`: without a byte, after which it is reopened. `reconnectBackoff` spaces the openings.
    /// Gains and losses are logged as `event`.
    WatchStream(EventLoop& loop, Address address, LogEvent event, Nanos connectTimeout, Nanos idleTimeout,
                limits::ReconnectBackoff reconnectBackoff, PathProvider path, LineHandler onLine);

    /// At once, else when `reconnectBackoff` says.
    void start(bool atOnce);
    /// Reopens it there at once.
    void setAddress(const Address& address);

  private:
    void open();
    void onBytes(std::string_view bytes);
    void onEnd(const CallResponse& response);
    void close(const char* reason, Nanos retryAfter = 0);  // and reopens it later

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
    bool firstLoss_ = true;  // it is logged even if the stream was never established
};

}  // namespace lichenlanding::sidecar
