#include "transport/event_loop.hpp"

#include <netinet/tcp.h>

#include "errors.hpp"
#include "text.hpp"
#include "transport/log.hpp"

namespace lichenlanding::transport {

tcp::endpoint parseAddress(const std::string& address) {
    const auto colon = address.rfind(':');
    ErrorCode code;
    unsigned short port = 0;
    if (colon == std::string::npos || !parse(std::string_view(address).substr(colon + 1), port))
        throw ParseError("address: no valid port in " + address, "read address", address, "port");
    const auto ip = asio::ip::make_address(address.substr(0, colon), code);
    if (code) throw ParseError("address: " + address + ": " + code.message(), "read address", address, "ip");
    return {ip, port};
}

std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

void configureSocket(tcp::socket& socket, Nanos unacknowledgedTimeout) {
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(static_cast<int>(unacknowledgedTimeout / kMillisecond)), ignored);
}

tcp::acceptor listen(asio::io_context& io, const std::string& address) {
    const auto endpoint = parseAddress(address);
    tcp::acceptor acceptor(io);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(1024);
    return acceptor;
}

Task<> sleep(Nanos duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, toDuration(duration));
    ErrorCode code;
    co_await timer.async_wait(withErrorCode(code));
}

void spawn(asio::io_context& io, const char* step, Task<> task, std::function<void()> onFailure) {
    asio::co_spawn(io, std::move(task), [step, onFailure = std::move(onFailure)](std::exception_ptr failure) {
        if (!failure) return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            log("task_failed", {{"step", step}, {"error", error.what()}});
        }
        if (onFailure) onFailure();
    });
}

void AsyncEvent::notify() {
    notified_ = true;
    timer_.cancel();
}

Task<bool> AsyncEvent::wait(Nanos until) {
    if (!notified_) {
        timer_.expires_at(toTimePoint(until));
        ErrorCode code;
        co_await timer_.async_wait(withErrorCode(code));
    }
    co_return std::exchange(notified_, false);
}

}  // namespace lichenlanding::transport
