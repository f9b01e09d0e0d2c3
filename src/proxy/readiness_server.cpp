#include "proxy/readiness_server.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/log.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;
namespace http = boost::beast::http;

Task<> serveProbe(tcp::socket socket, std::function<bool()> ready, Nanos timeout) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::empty_body> request;
        ErrorCode code;
        stream.expires_after(toDuration(timeout));
        co_await http::async_read(stream, buffer, request, withErrorCode(code));
        if (code) co_return;
        http::response<http::empty_body> response(
            ready() ? http::status::ok : http::status::service_unavailable, 11);
        response.content_length(0);
        response.keep_alive(request.keep_alive());
        co_await http::async_write(stream, response, withErrorCode(code));
        if (code || !response.keep_alive()) co_return;
    }
}

}  // namespace

Task<> serveReadiness(asio::io_context& io, tcp::acceptor& acceptor, std::function<bool()> ready,
                      Nanos timeout) {
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {  // out of file descriptors: accept() would fail again at once
            log("accept_failed", {{"step", "readiness"}, {"error", code.message()}});
            co_await sleep(20 * kMillisecond);
            continue;
        }
        spawn(io, "readiness", serveProbe(std::move(socket), ready, timeout));
    }
}

}  // namespace lichenlanding::proxy
