/// The operator of a run, and a client of its real proxies, over HTTP. One thread, the loop of its
/// io_context.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "scale_test/run_layout.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {

class OperatorClient {
  public:
    OperatorClient(transport::asio::io_context& io, const ScenarioConfig& plan, const RunLayout& layout);

    /// Sends the configuration of so many changes until it is acknowledged. Throws std::runtime_error where
    /// it is rejected.
    transport::Task<> replaceConfiguration(std::int64_t changes);
    /// Asks the n-th real proxy for the route that a change adds, until it is served. Its time; 0: it was
    /// not, `within`.
    transport::Task<Nanos> askForRoute(std::int64_t proxy, std::int64_t change, Nanos within);

    std::size_t bodyBytes() const { return bodyBytes_; }  ///< of the last configuration
    std::uint64_t resent() const { return resent_; }      ///< configurations sent once more

  private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    /// The status of the response; 0 where there is none.
    transport::Task<int> call(std::string address, Request request);

    transport::asio::io_context& io_;
    const ScenarioConfig& plan_;
    const RunLayout& layout_;
    std::size_t bodyBytes_ = 0;
    std::uint64_t resent_ = 0;
};

}  // namespace lichenlanding::scale_test
