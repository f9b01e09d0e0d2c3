// Hollow pods: a stand-in for the platform's list (PROTOCOL, "Which pods there are"), in pages and with a
// bound on calls a second. Nobody listens where the pods are said to be.
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
    std::string address() const;

    // The oldest ready pod is said to be draining, the one that drained two changes ago is gone, another is
    // new. The id of the first.
    std::string change();

    std::uint64_t calls = 0, refused = 0, bytes = 0;
    std::vector<Nanos> wholes;  // when a list's last page was handed out

  private:
    transport::Task<> accept();
    transport::Task<> serve(transport::tcp::socket socket);
    std::string page(std::size_t from);  // the body
    bool allowed();

    transport::asio::io_context& io_;
    const ScenarioConfig plan_;
    transport::tcp::acceptor door_;
    std::deque<discovery::Endpoint> pods_;
    std::int64_t made_ = 0;
    std::size_t draining_ = 0;  // the first so many
    double left_;
    Nanos filled_ = transport::now();
};

}  // namespace lichenlanding::scale_test
