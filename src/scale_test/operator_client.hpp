/// HTTP client that acts as the operator of a run and as a client of its real proxies. Single-threaded, on
/// the event loop of its io_context.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "scale_test/run_layout.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {

class OperatorClient {
  public:
    OperatorClient(transport::asio::io_context& io, const ScenarioConfig& scenario, const RunLayout& layout);

    /// Sends the configuration with this number of changes, and retries until it is acknowledged. Throws
    /// std::runtime_error if it is rejected.
    transport::Task<> replaceConfiguration(std::int64_t changes);
    /// Polls the real proxy of this index for the route that a change adds. Returns the time when it was
    /// first served, or 0 after the timeout.
    transport::Task<Nanos> waitForRoute(std::int64_t proxy, std::int64_t change, Nanos timeout);

    std::size_t bodyBytes() const { return bodyBytes_; }  ///< size of the last configuration
    std::uint64_t resent() const { return resent_; }      ///< number of retries

  private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    /// The HTTP status of the response; 0 on failure.
    transport::Task<int> call(std::string address, Request request);

    transport::asio::io_context& io_;
    const ScenarioConfig& scenario_;
    const RunLayout& layout_;
    std::size_t bodyBytes_ = 0;
    std::uint64_t resent_ = 0;
};

}  // namespace lichenlanding::scale_test
