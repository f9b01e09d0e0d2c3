/// Connections from a proxy to hosts: a pool of idle connections per host, and single attempts on them.
/// Interpreting how an attempt ended is left to routing. Used from one thread: the event loop of its
/// io_context.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <functional>
#include <map>

#include "limits/memory_budget.hpp"
#include "limits/process_limits.hpp"
#include "routing/router.hpp"
#include "transport/bounded_parser.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::proxy {

namespace asio = boost::asio;

namespace http = boost::beast::http;
using transport::HeaderFields;
using Request = http::request<http::string_body, HeaderFields>;
using Response = http::response<http::string_body, HeaderFields>;

/// One connection to a host. While it exists, it is counted in UpstreamHost::connections.
struct UpstreamConnection {
    UpstreamConnection(asio::io_context& io, std::shared_ptr<routing::UpstreamHost> to);
    ~UpstreamConnection() { --host->connections; }
    UpstreamConnection(const UpstreamConnection&) = delete;
    transport::tcp::socket socket;
    std::shared_ptr<routing::UpstreamHost> host;
    transport::beast::flat_buffer buffer;
    Nanos idleSince = 0;
    Nanos idleLimit = 0;  ///< maximum idle time before reuse
};

/// Bodies up to this size are buffered whole, so that a request can be retried at another host; larger ones,
/// and those that find the memory for buffers used up, are streamed.
constexpr std::size_t kMaxBufferedBody = 256 << 10;

/// Whether the next block of a body may be buffered behind `body`; takes the memory for it.
bool mayBufferMore(const std::string& body, limits::MemoryBudget::Share& memory);

using ResponseParser = transport::BoundedParser<false>;

/// The part of a host's response that has not been read yet.
struct UnreadBody {
    std::shared_ptr<UpstreamConnection> connection;
    std::unique_ptr<ResponseParser> parser;
};

/// Writes the part of a request body that follows the buffered one to the host.
using BodyWriter = std::function<transport::Task<transport::ErrorCode>(transport::tcp::socket& host)>;

/// One attempt of a request at a host.
struct UpstreamRequest {
    explicit UpstreamRequest(std::shared_ptr<routing::Attempt> attempt_) : attempt(std::move(attempt_)) {}
    std::shared_ptr<routing::Attempt> attempt;
    std::shared_ptr<UpstreamConnection> connection;
    /// How the attempt ended; valid once call() has returned.
    routing::AttemptEvent end = routing::AttemptEvent::unreached;
    Response response;
    limits::MemoryBudget::Share responseFieldMemory;  ///< for the fields of `response`
    limits::MemoryBudget::Share responseMemory;       ///< for the body of `response`
    std::unique_ptr<UnreadBody> unread;  ///< the rest of a response that is too large to buffer; null: none
    bool aborted = false;
    /// The end to report if the attempt is aborted.
    routing::AttemptEvent abortEvent = routing::AttemptEvent::timedOut;
    Nanos startedAt = 0;

    /// Ends the attempt because its time is up: as timed out, or as unreached if nothing was written.
    void abort();
    /// Ends the attempt as cancelled, because nobody waits for its response any more.
    void cancel();
};

class UpstreamClient {
  public:
    /// `buffers` accounts for buffered responses and must outlive this object.
    UpstreamClient(asio::io_context& io, limits::MemoryBudget& buffers) : io_(io), buffers_(buffers) {}

    /// Sends `request` (its hop-by-hop headers already removed) and reads one complete response. Fills
    /// `call`, and applies AttemptEvent::written to its attempt before the first byte is written; reporting
    /// the end is left to the caller. Throws if the host's address is invalid. `nonIdempotent`: the request
    /// must not be executed twice, so that no idle connection is reused that the host may be closing at that
    /// moment.
    transport::Task<> call(std::shared_ptr<UpstreamRequest> call, std::shared_ptr<const Request> request,
                           Nanos deadline, bool nonIdempotent, int maxConnections, BodyWriter writeBody = {});
    /// Closes idle connections that have reached their idle limit, and those to hosts that are gone.
    void closeExpired(Nanos now);

  private:
    struct HostPool {
        std::shared_ptr<routing::UpstreamHost> host;
        std::deque<std::shared_ptr<UpstreamConnection>> idle;  // most recently used last
    };
    // How the reading of a response ended.
    struct ResponseRead {
        bool complete = false;    // the response, or its first part with the rest to follow, was read
        bool mismatched = false;  // responses to other requests were skipped
    };

    transport::Task<bool> connect(std::shared_ptr<UpstreamRequest> call, bool nonIdempotent,
                                  int maxConnections);
    transport::Task<transport::ErrorCode> writeRequest(std::shared_ptr<UpstreamRequest> call,
                                                       std::shared_ptr<const Request> request, Nanos deadline,
                                                       BodyWriter writeBody);
    transport::Task<ResponseRead> readMatchingResponse(std::shared_ptr<UpstreamRequest> call,
                                                       std::shared_ptr<const Request> request);
    transport::Task<transport::ErrorCode> readResponse(std::shared_ptr<UpstreamRequest> call, bool headOnly);
    void release(UpstreamRequest& call, const ResponseRead& read);
    std::shared_ptr<UpstreamConnection> takeIdle(const routing::UpstreamHost& host, bool nonIdempotent);
    void putIdle(std::shared_ptr<UpstreamConnection> connection);

    asio::io_context& io_;
    limits::MemoryBudget& buffers_;
    std::map<std::string, HostPool> pools_;  // by host id
};

}  // namespace lichenlanding::proxy
