// Runs a proxy's HTTP server with scripted pods and raw clients on loopback sockets, all in one thread. What
// clients and pods received is recorded for a transcript. Tests do not wait for time to pass; a stall fails
// them.
#pragma once

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <regex>

#include "proxy/http_server.hpp"
#include "support/event_loop_fixture.hpp"

namespace http_server_fixture {

using namespace lichenlanding;
using namespace lichenlanding::transport;
namespace http = boost::beast::http;

// A pod's reply to the next request on a connection. {id} in `bytes` is replaced by the id of the request.
struct Reply {
    std::string bytes;
    enum After { keep, close, reset, keepOpen } after = keep;
};

inline std::string ok(const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-" + body.substr(0, 9) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}

class HttpServerFixture {
  public:
    explicit HttpServerFixture(const std::string& routes = "", std::size_t bufferedBytes = 64 << 20,
                               int descriptors = 4096)
        : machine(limits::MachineLimits::fromSettings(256, descriptors)), buffers(bufferedBytes) {
        boot.zone = "z", boot.retrySlack = 20;
        router = std::make_unique<routing::Router>(boot, 1);
        router->setConfiguration(
            std::make_shared<config::Configuration>(config::Configuration::parse(configuration(routes))));
        router->setProxyCount(1, now() - 10 * kSecond);
        router->setRollouts({}, now());
        router->setEndpointsKnown();
        upstream = std::make_unique<proxy::UpstreamClient>(io, buffers);
        httpServer = std::make_unique<proxy::HttpServer>(io, *router, *upstream, buffers, machine,
                                                         [] { return true; });
        clients = std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0"));
        spawn(io, "clients", httpServer->serve(*clients));
    }
    ~HttpServerFixture() {
        ErrorCode ignored;
        clients->close(ignored);
        for (auto& [_, acceptor] : acceptors) acceptor->close(ignored);
        io.stop();
    }

    static std::string configuration(const std::string& more) {
        const auto route = [](const char* prefix, const char* kind) {
            return std::string(R"({"resource_type":"route_table","metadata":{"name":")") + prefix +
                   R"("},"spec":{"hostname":"h","path_prefix":")" + prefix + R"(","route_class":")" + kind +
                   R"(","timeout":"5s","target_latency":"4s","priority":1,"service_name":"s","max_attempts":2}},)";
        };
        return R"({"config_version":"00000001","resources":[)" + route("/read/", "idempotent") +
               route("/write/", "non_idempotent") +
               R"({"resource_type":"service_table","metadata":{"name":"s"},"spec":{"max_connections":100}},)"
               R"({"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":2048,"max_body_bytes":4096,"header_timeout":"3s","idle_timeout":"15s"}})" +
               (more.empty() ? "" : "," + more) + "]}";
    }

    // Applies the next configuration, with another value of one of the limits.
    void setLimit(const std::string& name, std::size_t value) {
        static const std::regex kVersion("\"00000001\"");
        const std::regex limit("\"" + name + "\":[0-9]+");
        auto text = std::regex_replace(configuration(""), kVersion, "\"00000002\"");
        text = std::regex_replace(text, limit, "\"" + name + "\":" + std::to_string(value));
        router->setConfiguration(std::make_shared<config::Configuration>(config::Configuration::parse(text)));
    }

    // Adds a pod that sends `replies` in order, one per request, over all its connections.
    void pod(const std::string& name, std::deque<Reply> replies) {
        scripts[name] = std::move(replies);
        acceptors[name] = std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0"));
        spawn(io, "pod", serve(name));
        addEndpoint(name, "127.0.0.1:" + std::to_string(acceptors[name]->local_endpoint().port()));
    }
    void addEndpoint(const std::string& name, const std::string& address, bool draining = false,
                     const std::string& version = "v1") {
        router->applyEndpointEvent({0, {name, "s", address, "z", version, 2, draining, 0}, false}, now());
    }

    // Sends bytes on a new connection and reads `responseCount` responses. With `expectEnd` it also reports
    // whether the connection then ends.
    std::string client(const std::string& bytes, int responseCount, bool expectEnd = false) {
        std::string received;
        bool done = false;
        spawn(io, "client", runClient(bytes, responseCount, expectEnd, received, done));
        until([&] { return done; });
        return received;
    }
    template <typename Done>
    void until(Done done) {
        event_loop_fixture::runUntil(io, 100'000, done);
    }
    void pollUntilIdle() {
        while (io.poll() > 0) {
        }
    }
    static std::string get(const std::string& id, const std::string& path = "/read/1",
                           const std::string& more = "") {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\n" +
               more + "\r\n";
    }
    static std::string post(const std::string& id, const std::string& body, const std::string& more = "") {
        return "POST /write/1?x=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
               "\r\nX-Deadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
               "\r\n" + body;
    }

    const limits::MachineLimits machine;
    limits::MemoryBudget buffers;
    asio::io_context io{1};
    config::BootstrapSettings boot;
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<proxy::UpstreamClient> upstream;
    std::unique_ptr<proxy::HttpServer> httpServer;
    std::unique_ptr<tcp::acceptor> clients;
    std::map<std::string, std::unique_ptr<tcp::acceptor>> acceptors;
    std::map<std::string, std::deque<Reply>> scripts;
    std::vector<std::string> arrivals;  // requests received by pods, in order
    std::map<std::string, int> connections;

    std::string receivedByPods() const {
        std::string all;
        for (const auto& line : arrivals) all += "  " + line + "\n";
        return all;
    }

  private:
    Task<> serve(std::string name) {
        auto& acceptor = *acceptors[name];
        while (acceptor.is_open()) {
            ErrorCode code;
            auto socket = co_await acceptor.async_accept(withErrorCode(code));
            if (code) co_return;
            ++connections[name];
            spawn(io, "pod connection", servePodConnection(name, std::move(socket)));
        }
    }
    Task<> servePodConnection(std::string name, tcp::socket socket) {
        beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            ErrorCode code;
            co_await http::async_read(socket, buffer, request, withErrorCode(code));
            if (code) {
                if (code != http::error::end_of_stream)
                    arrivals.push_back(name + ": a connection ended in the middle");
                co_return;
            }
            std::string line =
                name + ": " + std::string(request.method_string()) + " " + std::string(request.target());
            for (const auto& field : request) {
                const std::string key(field.name_string());
                line +=
                    " [" + key + ": " + (key == "X-Deadline-Ms" ? "left" : std::string(field.value())) + "]";
            }
            if (!request.body().empty())
                line +=
                    " body " + (request.body().size() > 40 ? std::to_string(request.body().size()) + " bytes"
                                                           : request.body());
            arrivals.push_back(line);
            auto& script = scripts[name];
            if (script.empty()) co_return;
            auto reply = script.front();
            script.pop_front();
            const std::string id(request["X-Attempt-Id"]);
            for (auto at = reply.bytes.find("{id}"); at != std::string::npos; at = reply.bytes.find("{id}"))
                reply.bytes.replace(at, 4, id);
            if (!reply.bytes.empty())
                co_await asio::async_write(socket, asio::buffer(reply.bytes), withErrorCode(code));
            if (reply.after == Reply::reset) socket.set_option(tcp::socket::linger(true, 0));
            if (reply.after == Reply::close || reply.after == Reply::reset) co_return;
            if (reply.after == Reply::keepOpen) {
                char byte;
                co_await socket.async_read_some(asio::buffer(&byte, 1), withErrorCode(code));
                co_return;
            }
        }
    }
    Task<> runClient(std::string bytes, int responseCount, bool expectEnd, std::string& received,
                     bool& done) {
        tcp::socket socket(io);
        ErrorCode code;
        co_await socket.async_connect(clients->local_endpoint(), withErrorCode(code));
        co_await asio::async_write(socket, asio::buffer(bytes), withErrorCode(code));
        beast::flat_buffer buffer;
        for (int number = 0; number < responseCount; ++number) {
            http::response<http::string_body> response;
            co_await http::async_read(socket, buffer, response, withErrorCode(code));
            if (code) {
                received += "  ended: " +
                            std::string(code == http::error::end_of_stream     ? "closed"
                                        : code == http::error::partial_message ? "cut short"
                                                                               : code.message()) +
                            "\n";
                done = true;
                co_return;
            }
            received += "  " + std::to_string(response.result_int());
            for (const auto& field : response)
                received += " [" + std::string(field.name_string()) + ": " + std::string(field.value()) + "]";
            auto body = response.body();
            if (!body.empty() && body.back() == '\n') body.pop_back();
            received += " " + (body.size() > 60 ? std::to_string(body.size()) + " bytes" : body) + "\n";
        }
        if (expectEnd) {
            char byte;
            co_await socket.async_read_some(asio::buffer(&byte, 1), withErrorCode(code));
            received += code ? "  then it ends\n" : "  then more comes\n";
        }
        done = true;
    }
};

}  // namespace http_server_fixture
