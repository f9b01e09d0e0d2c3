#include "proxy/readiness_server.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <list>

#include "transport/bounded_parser.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;
namespace http = boost::beast::http;

// Probes come one at a time; more connections than this are of clients that don't end theirs.
constexpr std::size_t kMaxConnections = 32;
constexpr std::size_t kMaxHeaderBytes = 8 << 10;

using Stream = std::shared_ptr<beast::tcp_stream>;
using Streams = std::list<Stream>;  // in order of arrival

Task<> serveProbes(Stream stream, std::function<bool()> ready, Nanos timeout) {
    beast::flat_buffer buffer;
    for (;;) {
        BoundedParser<true, http::empty_body> parser({kMaxHeaderBytes});
        ErrorCode code;
        limitReadBuffer(buffer, kMaxHeaderBytes);
        stream->expires_after(toDuration(timeout));
        co_await http::async_read(*stream, buffer, parser, withErrorCode(code));
        if (code) co_return;
        http::response<http::empty_body> response(
            ready() ? http::status::ok : http::status::service_unavailable, 11);
        response.content_length(0);
        response.keep_alive(parser.get().keep_alive());
        co_await http::async_write(*stream, response, withErrorCode(code));
        if (code || !response.keep_alive()) co_return;
    }
}

Task<> serveConnection(std::shared_ptr<Streams> open, Stream stream, std::function<bool()> ready,
                       Nanos timeout) {
    co_await serveProbes(stream, std::move(ready), timeout);
    open->remove(stream);
}

}  // namespace

Task<> serveReadiness(asio::io_context& io, tcp::acceptor& acceptor, std::function<bool()> ready,
                      Nanos timeout) {
    const auto open = std::make_shared<Streams>();
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {  // out of file descriptors: accept() would fail again at once
            log("accept_failed", {{"step", "readiness"}, {"error", code.message()}});
            co_await sleep(20 * kMillisecond);
            continue;
        }
        if (open->size() >= kMaxConnections) {
            open->front()->close();
            open->pop_front();
        }
        open->push_back(std::make_shared<beast::tcp_stream>(std::move(socket)));
        spawn(io, "readiness", serveConnection(open, open->back(), ready, timeout));
    }
}

}  // namespace lichenlanding::proxy
