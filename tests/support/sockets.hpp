// Sockets that tests drive byte by byte.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <vector>

#include "doctest/doctest.h"
#include "sidecar/connection.hpp"

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// The local port of a socket, or the remote one.
inline std::uint16_t portOf(int descriptor, bool remote = false) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (remote) getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    else getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns a socket bound to a free port. With a backlog it listens; the caller accepts connections.
inline int boundSocket(int type, int backlog = -1) {
    const int descriptor = socket(AF_INET, type, 0);
    const auto address = loopback(0);
    REQUIRE(bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    if (backlog >= 0) REQUIRE(listen(descriptor, backlog) == 0);
    return descriptor;
}

inline std::uint16_t freePort(int type = SOCK_STREAM) {
    const int descriptor = boundSocket(type);
    const auto port = portOf(descriptor);
    close(descriptor);
    return port;
}

/// Listens and never responds. With a backlog of 0 its accept queue is filled, so that no connection can be
/// established.
class UnresponsiveListener {
  public:
    explicit UnresponsiveListener(int backlog = 0) : listener_(boundSocket(SOCK_STREAM, backlog)) {
        address = {"127.0.0.1", portOf(listener_)};
        const auto remote = loopback(address.port);
        for (int filler = 0; backlog == 0 && filler < 4; ++filler) {
            fillers_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&remote), sizeof remote);
        }
        fcntl(listener_, F_SETFL, O_NONBLOCK);
    }
    ~UnresponsiveListener() {
        for (int filler : fillers_) close(filler);
        close(listener_);
    }
    /// Accepts a connection once one with input is pending, and resets it without reading. Returns false
    /// before.
    bool acceptAndReset() {
        if (accepted_ < 0) accepted_ = accept(listener_, nullptr, nullptr);
        char first;
        if (accepted_ < 0 || recv(accepted_, &first, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) return false;
        const linger reset{1, 0};
        setsockopt(accepted_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(accepted_);
        return true;
    }

    lichenlanding::sidecar::Address address;

  private:
    int listener_, accepted_ = -1;
    std::vector<int> fillers_;
};

/// A client that sends raw bytes.
class RawClient {
  public:
    explicit RawClient(const lichenlanding::sidecar::Address& address)
        : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
        const auto remote = loopback(address.port);
        REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0);
    }
    ~RawClient() { close(socket_); }
    void write(const std::string& bytes) {
        REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    }
    /// Everything received so far.
    const std::string& read() {
        char bytes[4096];
        ssize_t length = 0;
        while ((length = recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
            read_.append(bytes, static_cast<std::size_t>(length));
        closed_ = closed_ || length == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return read_;
    }
    bool closed() {
        read();
        return closed_;
    }
    void disconnect() {
        close(socket_);
        socket_ = -1;
    }
    int descriptor() const { return socket_; }

  private:
    int socket_;
    std::string read_;
    bool closed_ = false;
};
