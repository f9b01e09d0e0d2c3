// The operator's calls, over HTTP on the control address: configurations and rollouts ordered and read,
// `status`, and the page of metrics.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "control_plane/replica_node.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

// What a caller may take, of time and of places. Each is far beyond what an operator's client needs.
struct AdminApiLimits {
    Nanos idle = 15 * transport::kSecond;    // between two calls on a connection
    Nanos head = 3 * transport::kSecond;     // from a head's first byte to its last
    Nanos body = 30 * transport::kSecond;    // for a body, of 96 MiB at the most
    Nanos taking = 30 * transport::kSecond;  // for an answer to be taken
    std::size_t callers = 128;               // connections at once
};

class AdminApi {
  public:
    // What is asked of the register (Keeper). change() and read() end with null where no majority could be
    // had in time: then nothing is known either way.
    struct Register {
        std::function<bool()> hasQuorumContact;
        std::function<Task<std::optional<std::string>>(std::string key, consensus::Change, Nanos within)>
            change;
        std::function<Task<std::optional<std::string>>(std::string key, Nanos within)> read;
        static Register of(ReplicaNode& replica);  // which outlives it
    };

    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    // `status`: what this control node knows, nothing is asked of others. `metrics`: GET /metrics is
    // answered. All outlive this.
    AdminApi(transport::asio::io_context& io, Register its, std::function<Json()> status, bool metrics,
             AdminApiLimits bounds = {})
        : io_(io),
          register_(std::move(its)),
          status_(std::move(status)),
          metrics_(metrics),
          bounds_(bounds),
          room_(io) {}

    // As long as the acceptor is open. On one connection calls are answered one after the other, in the order
    // they came; an answer goes down the connection that its call came by or nowhere. An order goes on when
    // its caller is gone.
    Task<> serve(transport::tcp::acceptor& control);
    Task<Response> answer(const Request& request);
    std::uint64_t calls() const { return calls_; }  // taken so far
    std::size_t callers() const { return callers_.size(); }

  private:
    // In the order in which callers give way to new ones where all places are taken; one that is being
    // answered never does.
    enum class Phase { idle, sending, taking, answered };
    struct Caller {
        transport::beast::tcp_stream stream;
        Phase phase = Phase::idle;
        Nanos since = 0;  // in the phase
        explicit Caller(transport::tcp::socket socket) : stream(std::move(socket)) {}
        void enter(Phase next) { phase = next, since = transport::now(); }
    };

    Task<> caller(std::shared_ptr<Caller> its);
    Task<> converse(Caller& its);
    Task<> turnAway(Caller& its, Response response);
    void left(const std::shared_ptr<Caller>& its);
    bool makeRoom();
    Task<Response> ask(const std::string& call, const std::string& of, const std::string& body);
    Task<Response> replace(const std::string& body);
    Task<Response> readBack();
    Task<Response> begin(const std::string& body);
    Task<Response> readRollout(const std::string& service);
    Response metricsPage() const;

    transport::asio::io_context& io_;
    Register register_;
    std::function<Json()> status_;
    const bool metrics_;
    const AdminApiLimits bounds_;
    std::vector<std::shared_ptr<Caller>> callers_;
    transport::AsyncEvent room_;  // rung when a caller has left
    std::uint64_t calls_ = 0;
};

}  // namespace lichenlanding::control_plane
