/// A simulated platform API that lists endpoints (PROTOCOL, "Which pods there are"), in pages and with a rate
/// limit. Nothing listens at the endpoints' addresses. Single-threaded, on the event loop of its io_context.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "scale_test/scenario_config.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {

class Platform {
  public:
    Platform(transport::asio::io_context& io, const ScenarioConfig& scenario);
    std::string address() const;  ///< host and port

    /// Sets the oldest ready endpoint to draining, removes the one that started draining two replacements
    /// ago, and adds a new one. Returns the id of the draining endpoint, or "" if there are too few
    /// endpoints.
    std::string replaceEndpoint();

    std::uint64_t calls = 0;                 ///< list calls, including rejected ones
    std::uint64_t rejected = 0;              ///< calls over the rate limit
    std::uint64_t bytes = 0;                 ///< size of all response bodies
    std::vector<Nanos> listCompletionTimes;  ///< when the last page of a list was served

  private:
    transport::Task<> accept();
    transport::Task<> serve(transport::tcp::socket socket);
    std::string page(std::size_t from);  // the response body
    bool tryAcquireCall();

    transport::asio::io_context& io_;
    const ScenarioConfig scenario_;
    transport::tcp::acceptor acceptor_;
    std::deque<discovery::Endpoint> endpoints_;
    std::int64_t endpointsCreated_ = 0;
    std::size_t drainingCount_ = 0;  // these are first in endpoints_
    double availableCalls_;
    Nanos refilledAt_ = transport::now();
};

}  // namespace lichenlanding::scale_test
