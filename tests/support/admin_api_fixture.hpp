// The admin API on a simulated register. It has one value per key and applies updates one after another. Its
// replies can be delayed, or lost before or after an update takes effect.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <deque>

#include "control_plane/admin_api.hpp"
#include "control_plane/admin_server.hpp"
#include "support/event_loop_fixture.hpp"

namespace admin_api_fixture {

using namespace lichenlanding;
using namespace lichenlanding::transport;
using control_plane::AdminApi;
namespace http = boost::beast::http;

struct SimulatedRegister {
    enum class Outcome { answered, lostBefore, lostAfter };

    explicit SimulatedRegister(asio::io_context& io)
        : resumed(io, std::chrono::steady_clock::time_point::max()) {}
    void release() { paused = false, resumed.cancel(); }
    AdminApi::Register access() {
        return {[this] { return contact; },
                [this](std::string key, consensus::Change change, Nanos timeout) {
                    return run(std::move(key), std::move(change), timeout);
                },
                [this](std::string key, Nanos timeout) {
                    return run(
                        std::move(key), [](const std::string& value) { return value; }, timeout);
                }};
    }
    Task<std::optional<std::string>> run(std::string key, consensus::Change change, Nanos /*unused*/) {
        ++operations;
        auto outcome = Outcome::answered;
        if (!outcomes.empty()) outcome = outcomes.front(), outcomes.pop_front();
        ErrorCode code;
        while (paused) co_await resumed.async_wait(withErrorCode(code));
        if (outcome == Outcome::lostBefore) co_return std::nullopt;
        auto& value = values[key];
        value = change(value);
        if (outcome == Outcome::lostAfter) co_return std::nullopt;
        co_return value;
    }

    asio::steady_timer resumed;  // pauses operations while `paused`
    bool contact = true, paused = false;
    std::deque<Outcome> outcomes;  // outcomes of the next operations; `answered` if empty
    std::size_t operations = 0;
    std::map<std::string, std::string> values;
};

inline std::string configuration(const std::string& number, const std::string& path = "/a/") {
    return R"({"config_version":")" + number +
           R"(","resources":[{"resource_type":"route_table","metadata":{"name":"r"},"spec":{"hostname":"h","path_prefix":")" +
           path +
           R"(","route_class":"idempotent","timeout":"2s","target_latency":"1s","service_name":"s"}},{"resource_type":"service_table","metadata":{"name":"s"},"spec":{}}]})";
}
inline std::string rollout(const std::string& target, const std::string& deadline) {
    return R"({"service_name":"s","target_version":")" + target + R"(","deadline":")" + deadline + R"("})";
}

constexpr std::int64_t kRepeatWindowMs = 5000;

// A client connection. Tests control which bytes it sends and how many responses it reads.
struct Client {
    explicit Client(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::string received;  // a line for each response, with status and body; "end" when the connection closes
};

class AdminApiFixture {
  public:
    explicit AdminApiFixture(bool metrics = false, control_plane::AdminServerLimits limits = {})
        : api(
              simulatedRegister.access(),
              {kRepeatWindowMs, [](const messages::Rollout& recorded) { return recorded.ageMs; }},
              [] {
                  control_plane::StatusReport report;
                  report.node = "simulated";
                  return report;
              },
              metrics),
          server(io, api, limits) {}
    template <typename Done>
    void until(Done done) {
        event_loop_fixture::runUntil(io, 200'000, done);
    }
    control_plane::AdminResponse callTarget(const std::string& target, const std::string& body,
                                            http::verb method = http::verb::post) {
        control_plane::AdminRequest request(method, target, 11);
        request.body() = body;
        return event_loop_fixture::runTask(io, api.answer(request), [&](auto done) { until(done); });
    }
    control_plane::AdminResponse call(const std::string& name, const std::string& body = "") {
        return callTarget("/api/rpc?call=" + name, body);
    }
    unsigned status(const std::string& name, const std::string& body = "") {
        return call(name, body).result_int();
    }

    // Connects over loopback.
    std::shared_ptr<Client> connect(int receiveBuffer = 0) {
        if (!acceptor) {
            acceptor = std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0"));
            spawn(io, "control", server.serve(*acceptor));
        }
        auto client = std::make_shared<Client>(io);
        client->socket.open(tcp::v4());
        if (receiveBuffer > 0)
            client->socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        client->socket.connect(acceptor->local_endpoint());  // completes through the listen backlog
        return client;
    }
    static std::string requestBytes(const std::string& name, const std::string& body = "",
                                    const std::string& extraHeaders = "") {
        return "POST /api/rpc?call=" + name + " HTTP/1.1\r\nHost: c\r\n" + extraHeaders +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void send(const std::shared_ptr<Client>& client, const std::string& sent) {
        spawn(io, "send", [](std::shared_ptr<Client> client_, std::string sent_) -> Task<> {
            ErrorCode code;
            co_await asio::async_write(client_->socket, asio::buffer(sent_), withErrorCode(code));
        }(client, sent));
    }
    // Reads this number of responses, or until the connection closes.
    void readResponses(const std::shared_ptr<Client>& client, int responses) {
        spawn(io, "listen", [](std::shared_ptr<Client> client_, int responses_) -> Task<> {
            for (; responses_ > 0; --responses_) {
                http::response<http::string_body> response;
                ErrorCode code;
                co_await http::async_read(client_->socket, client_->buffer, response, withErrorCode(code));
                if (code) {
                    client_->received += "end\n";
                    co_return;
                }
                client_->received += std::to_string(response.result_int()) + " " + response.body() + "\n";
            }
        }(client, responses));
    }
    std::string responses(const std::shared_ptr<Client>& client, int count) {
        client->received.clear();
        readResponses(client, count);
        until([&] {
            return std::count(client->received.begin(), client->received.end(), '\n') == count ||
                   client->received.ends_with("end\n");
        });
        return client->received;
    }

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    SimulatedRegister simulatedRegister{io};
    AdminApi api;
    control_plane::AdminServer server;
    std::unique_ptr<tcp::acceptor> acceptor;
};

}  // namespace admin_api_fixture
