// The operator's calls over a scripted register: one value a key, changed in one sequence as the real one's
// ballots are, whose answers may be held back, or lost before or after the value is in force.
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

struct ScriptedRegister {
    enum class Fate { answered, lostBefore, lostAfter };

    explicit ScriptedRegister(asio::io_context& io)
        : gate(io, std::chrono::steady_clock::time_point::max()) {}
    void release() { held = false, gate.cancel(); }
    AdminApi::Register its() {
        return {[this] { return contact; },
                [this](std::string key, consensus::Change change, Nanos within) {
                    return run(std::move(key), std::move(change), within);
                },
                [this](std::string key, Nanos within) {
                    return run(
                        std::move(key), [](const std::string& held) { return held; }, within);
                }};
    }
    Task<std::optional<std::string>> run(std::string key, consensus::Change change, Nanos /*unused*/) {
        ++asked;
        auto fate = Fate::answered;
        if (!fates.empty()) fate = fates.front(), fates.pop_front();
        ErrorCode code;
        while (held) co_await gate.async_wait(withErrorCode(code));
        if (fate == Fate::lostBefore) co_return std::nullopt;
        auto& value = values[key];
        value = change(value);
        if (fate == Fate::lostAfter) co_return std::nullopt;
        co_return value;
    }

    asio::steady_timer gate;  // held runs wait on it
    bool contact = true, held = false;
    std::deque<Fate> fates;  // of the runs to come; answered where there is none
    std::size_t asked = 0;
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

// A caller that writes bytes and reads answers, as the test says.
struct Caller {
    explicit Caller(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::string seen;  // status and body of each answer, a line each; "end" where the connection ends
};

class AdminApiFixture {
  public:
    explicit AdminApiFixture(bool metrics = false, control_plane::AdminServerLimits limits = {})
        : api(
              reg.its(),
              [] {
                  control_plane::StatusReport report;
                  report.node = "scripted";
                  return report;
              },
              metrics),
          server(io, api, limits) {}
    template <typename Done>
    void until(Done done) {
        event_loop_fixture::runUntil(io, 200'000, done);
    }
    control_plane::AdminResponse ask(const std::string& target, const std::string& body,
                                     http::verb method = http::verb::post) {
        control_plane::AdminRequest request(method, target, 11);
        request.body() = body;
        return event_loop_fixture::runTask(io, api.answer(request), [&](auto done) { until(done); });
    }
    control_plane::AdminResponse call(const std::string& name, const std::string& body = "") {
        return ask("/api/rpc?call=" + name, body);
    }
    unsigned status(const std::string& name, const std::string& body = "") {
        return call(name, body).result_int();
    }

    // Over loopback.
    std::shared_ptr<Caller> connect(int receiveBuffer = 0) {
        if (!acceptor) {
            acceptor = std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0"));
            spawn(io, "control", server.serve(*acceptor));
        }
        auto caller = std::make_shared<Caller>(io);
        caller->socket.open(tcp::v4());
        if (receiveBuffer > 0)
            caller->socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        caller->socket.connect(acceptor->local_endpoint());  // the backlog takes it
        return caller;
    }
    static std::string bytes(const std::string& name, const std::string& body = "",
                             const std::string& more = "") {
        return "POST /api/rpc?call=" + name + " HTTP/1.1\r\nHost: c\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void send(const std::shared_ptr<Caller>& caller, const std::string& sent) {
        spawn(io, "send", [](std::shared_ptr<Caller> caller_, std::string sent_) -> Task<> {
            ErrorCode code;
            co_await asio::async_write(caller_->socket, asio::buffer(sent_), withErrorCode(code));
        }(caller, sent));
    }
    // Reads so many answers, or to the end of the connection.
    void listenTo(const std::shared_ptr<Caller>& caller, int answers) {
        spawn(io, "listen", [](std::shared_ptr<Caller> caller_, int answers_) -> Task<> {
            for (; answers_ > 0; --answers_) {
                http::response<http::string_body> response;
                ErrorCode code;
                co_await http::async_read(caller_->socket, caller_->buffer, response, withErrorCode(code));
                if (code) {
                    caller_->seen += "end\n";
                    co_return;
                }
                caller_->seen += std::to_string(response.result_int()) + " " + response.body() + "\n";
            }
        }(caller, answers));
    }
    std::string answers(const std::shared_ptr<Caller>& caller, int count) {
        caller->seen.clear();
        listenTo(caller, count);
        until([&] {
            return std::count(caller->seen.begin(), caller->seen.end(), '\n') == count ||
                   caller->seen.ends_with("end\n");
        });
        return caller->seen;
    }

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    ScriptedRegister reg{io};
    AdminApi api;
    control_plane::AdminServer server;
    std::unique_ptr<tcp::acceptor> acceptor;
};

}  // namespace admin_api_fixture
