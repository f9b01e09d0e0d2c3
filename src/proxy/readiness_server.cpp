#include "proxy/readiness_server.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/log.hpp"

namespace lichenlanding::foyer {
namespace {

using namespace wings;
namespace http = boost::beast::http;

Task<> probe(tcp::socket socket, std::function<bool()> ready, Nanos within) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::empty_body> request;
        Code code;
        stream.expires_after(span(within));
        co_await http::async_read(stream, buffer, request, told(code));
        if (code) co_return;
        http::response<http::empty_body> response(
            ready() ? http::status::ok : http::status::service_unavailable, 11);
        response.content_length(0);
        response.keep_alive(request.keep_alive());
        co_await http::async_write(stream, response, told(code));
        if (code || !response.keep_alive()) co_return;
    }
}

}  // namespace

Task<> serveProbes(asio::io_context& io, tcp::acceptor& acceptor, std::function<bool()> ready, Nanos within) {
    while (acceptor.is_open()) {
        Code code;
        auto socket = co_await acceptor.async_accept(told(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {  // for want of descriptors, at once and again: others are to have their turns
            log("accept_failed", {{"step", "readiness"}, {"error", code.message()}});
            co_await sleep(20 * ms);
            continue;
        }
        start(io, "readiness", probe(std::move(socket), ready, within));
    }
}

}  // namespace lichenlanding::foyer
