// Connections from a proxy to pods: kept ones by pod, and one call on one of them. Decides nothing; what an
// end means is for routing.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <functional>
#include <map>

#include "routing/router.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::proxy {

namespace asio = boost::asio;

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

struct UpstreamConnection {
    UpstreamConnection(asio::io_context& io, std::shared_ptr<routing::UpstreamHost> to)
        : socket(io), host(std::move(to)) {
        ++host->connections;
    }
    ~UpstreamConnection() { --host->connections; }
    UpstreamConnection(const UpstreamConnection&) = delete;
    transport::tcp::socket socket;
    std::shared_ptr<routing::UpstreamHost> host;
    transport::beast::flat_buffer buffer;
    Nanos idleSince = 0, idleFor = 0;
};

// Bodies up to this are held whole (and can go to a second pod); larger ones pass through as they come.
constexpr std::size_t kHoldAtMost = 256 << 10;

// Bytes to offer a parser for what comes next. One more than is left where that is known: with none over,
// Beast ends the read before it has seen that the body is whole, and the next read would wait for bytes that
// never come.
template <typename Parser>
std::size_t room(const Parser& parser) {
    constexpr std::size_t block = 16 << 10;
    const auto left = parser.content_length_remaining();
    return left && *left <= block ? static_cast<std::size_t>(*left) + 1 : block;
}

// The part of a pod's answer that has not been read yet.
struct UnreadBody {
    std::shared_ptr<UpstreamConnection> line;
    std::unique_ptr<http::response_parser<http::buffer_body>> parser;
};

// Writes what follows the part of a request's body that is held, to the pod.
using BodyWriter = std::function<transport::Task<transport::ErrorCode>(transport::tcp::socket& pod)>;

// One attempt of a request, on the wire.
struct UpstreamRequest {
    explicit UpstreamRequest(std::shared_ptr<routing::Attempt> attempt_) : attempt(std::move(attempt_)) {}
    std::shared_ptr<routing::Attempt> attempt;
    std::shared_ptr<UpstreamConnection> line;
    routing::AttemptEvent end = routing::AttemptEvent::unreached;  // once the call is back
    Response response;
    std::unique_ptr<UnreadBody> rest;  // of an answer too large to hold
    bool aborted = false;
    Nanos began = 0;

    // The host has no more time for it: ends it, as overdue (or as unreached where nothing was written).
    void abort();
};

class UpstreamClient {
  public:
    explicit UpstreamClient(asio::io_context& io) : io_(io) {}

    // Sends `request` (its connection headers already off) and reads one whole answer. Fills the call, and
    // tells its attempt when the first byte is written; the end is for the caller to tell.
    // `careful`: the request may not run twice, so no connection is used that the pod may just be closing.
    transport::Task<> call(std::shared_ptr<UpstreamRequest> call, std::shared_ptr<const Request> request,
                           Nanos deadline, bool careful, int maxConnections, BodyWriter tail = {});
    // Ends idle connections that the pod will soon end, and those to pods that are gone.
    void sweep(Nanos now);

  private:
    transport::Task<transport::ErrorCode> answer(std::shared_ptr<UpstreamRequest> call,
                                                 std::shared_ptr<UpstreamConnection> line, bool head);
    std::shared_ptr<UpstreamConnection> kept(const routing::UpstreamHost& host, bool careful);
    void keep(const std::shared_ptr<routing::UpstreamHost>& host, std::shared_ptr<UpstreamConnection> line);

    asio::io_context& io_;
    struct HostPool {
        std::shared_ptr<routing::UpstreamHost> host;
        std::deque<std::shared_ptr<UpstreamConnection>> idle;  // the one used last behind
    };
    std::map<std::string, HostPool> places_;  // by pod
};

}  // namespace lichenlanding::proxy
