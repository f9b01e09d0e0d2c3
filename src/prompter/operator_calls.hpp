// The operator's calls, over HTTP on the control address: configurations and rollouts ordered and read,
// `status`, and the page of metrics.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "prompter/keeper.hpp"

namespace lichenlanding::prompter {

// A register's configuration is the version's eight digits and the body as it was sent, squeezed.
std::uint32_t versionOf(const std::string& value);

class OperatorCalls {
  public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    // `status`: what this prompter knows, nothing is asked of others. `metrics`: GET /metrics is answered.
    // All outlive this.
    OperatorCalls(wings::asio::io_context& io, Keeper& keeper, std::function<Json()> status, bool metrics)
        : io_(io), keeper_(keeper), status_(std::move(status)), metrics_(metrics) {}

    Task<> serve(wings::tcp::acceptor& control);  // as long as the acceptor is open
    Task<Response> answer(const Request& request);
    std::uint64_t calls() const { return calls_; }  // taken so far

  private:
    Task<> caller(wings::tcp::socket socket);
    Task<Response> replace(const std::string& body);
    Task<Response> begin(const std::string& body);
    Response metricsPage() const;

    wings::asio::io_context& io_;
    Keeper& keeper_;
    std::function<Json()> status_;
    const bool metrics_;
    std::uint64_t calls_ = 0;
};

}  // namespace lichenlanding::prompter
