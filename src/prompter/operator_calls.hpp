// The operator's calls, over HTTP on the control address: configurations and rollouts ordered and read,
// `status`, and the page of metrics.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "prompter/keeper.hpp"

namespace lichenlanding::prompter {

class OperatorCalls {
  public:
    // What is asked of the register (Keeper). change() and read() end with null where no majority could be had
    // in time: then nothing is known either way.
    struct Register {
        std::function<bool()> inContact;
        std::function<Task<std::optional<std::string>>(std::string key, reg::Change, Nanos within)> change;
        std::function<Task<std::optional<std::string>>(std::string key, Nanos within)> read;
        static Register of(Keeper& keeper);  // which outlives it
    };

    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    // `status`: what this prompter knows, nothing is asked of others. `metrics`: GET /metrics is answered.
    // All outlive this.
    OperatorCalls(wings::asio::io_context& io, Register its, std::function<Json()> status, bool metrics)
        : io_(io), register_(std::move(its)), status_(std::move(status)), metrics_(metrics) {}

    Task<> serve(wings::tcp::acceptor& control);  // as long as the acceptor is open
    Task<Response> answer(const Request& request);
    std::uint64_t calls() const { return calls_; }  // taken so far

  private:
    Task<> caller(wings::tcp::socket socket);
    Task<Response> ask(const std::string& call, const std::string& of, const std::string& body);
    Task<Response> replace(const std::string& body);
    Task<Response> readBack();
    Task<Response> begin(const std::string& body);
    Task<Response> readRollout(const std::string& service);
    Response metricsPage() const;

    wings::asio::io_context& io_;
    Register register_;
    std::function<Json()> status_;
    const bool metrics_;
    std::uint64_t calls_ = 0;
};

}  // namespace lichenlanding::prompter
