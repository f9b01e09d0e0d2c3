/// A stand-in for the platform's list of endpoints (PROTOCOL, "Which pods there are"), in pages and with a
/// bound on calls a second. Nobody listens at the endpoints. One thread, the loop of its io_context.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "scale_test/scenario_config.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {

class Platform {
  public:
    Platform(transport::asio::io_context& io, const ScenarioConfig& plan);
    std::string address() const;  ///< host and port

    /// The oldest ready endpoint drains, the one that drained two replacements ago is gone, another is new.
    /// The id of the first; "" where there are too few.
    std::string replaceEndpoint();

    std::uint64_t calls = 0;           ///< all
    std::uint64_t rejected = 0;        ///< of these, over the rate
    std::uint64_t bytes = 0;           ///< of bodies
    std::vector<Nanos> completeLists;  ///< when a list's last page was handed out, steady nanoseconds

  private:
    transport::Task<> accept();
    transport::Task<> serve(transport::tcp::socket socket);
    std::string page(std::size_t from);  // the body
    bool takeCall();

    transport::asio::io_context& io_;
    const ScenarioConfig plan_;
    transport::tcp::acceptor acceptor_;
    std::deque<discovery::Endpoint> endpoints_;
    std::int64_t endpointsMade_ = 0;
    std::size_t drainingCount_ = 0;  // the first so many
    double callsLeft_;
    Nanos refilledAt_ = transport::now();
};

}  // namespace lichenlanding::scale_test
