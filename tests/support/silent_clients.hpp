// Clients that send bytes until the receiver takes no more, and read nothing.
#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "transport/event_loop.hpp"

// Raises the soft limit of this process on descriptors to the hard limit, for many clients at once.
inline void raiseDescriptorLimit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
    setrlimit(RLIMIT_NOFILE, &limit);
}

class SilentClients {
  public:
    // `receiveBytes`: of the sockets' receive buffers; 0: the system's default.
    explicit SilentClients(std::string address, int receiveBytes = 0)
        : address_(std::move(address)), receiveBytes_(receiveBytes) {}

    void connect(std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            auto& socket = sockets_.emplace_back(io_);
            lichenlanding::transport::ErrorCode code;
            socket.open(lichenlanding::transport::tcp::v4(), code);
            if (receiveBytes_ > 0)
                socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes_), code);
            socket.connect(lichenlanding::transport::parseAddress(address_), code);
            if (!code) socket.non_blocking(true, code);
        }
        sent_.assign(sockets_.size(), 0);
    }
    // Sends `bytes` on each connection, until none of them has taken any for kQuietTime. `pump` runs the
    // caller's event loop meanwhile.
    template <typename Pump>
    void send(const std::string& bytes, Pump pump) {
        using lichenlanding::transport::now;
        constexpr lichenlanding::Nanos kQuietTime = lichenlanding::transport::kSecond;
        sent_.assign(sockets_.size(), 0);
        for (lichenlanding::Nanos progressAt = now(); now() - progressAt < kQuietTime; pump())
            if (sendSome(bytes)) progressAt = now();
    }
    // Sends what each connection takes of `bytes` at once.
    void sendOnce(const std::string& bytes) {
        sent_.assign(sockets_.size(), 0);
        sendSome(bytes);
    }
    void close() { sockets_.clear(); }

  private:
    bool sendSome(const std::string& bytes) {
        bool progress = false;
        for (std::size_t client = 0; client < sockets_.size(); ++client) {
            const auto rest = boost::asio::buffer(bytes) + sent_[client];
            lichenlanding::transport::ErrorCode code;
            const auto written = rest.size() > 0 ? sockets_[client].write_some(rest, code) : 0;
            sent_[client] += written;
            progress = progress || written > 0;
        }
        return progress;
    }

    boost::asio::io_context io_{1};
    std::string address_;
    int receiveBytes_;
    std::deque<lichenlanding::transport::tcp::socket> sockets_;
    std::vector<std::size_t> sent_;
};
