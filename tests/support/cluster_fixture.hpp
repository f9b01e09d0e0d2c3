// Runs the gateway's programs as processes on loopback addresses: three control nodes and two proxies. The
// test process itself plays the cloud API, the pods and the operator. Tests kill processes, delete their
// disks and restart them. They wait for log events and responses, never for a fixed time.
#pragma once

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <filesystem>
#include <set>

#include "support/transcript.hpp"
#include "transport/peer_connection.hpp"

namespace cluster {

using namespace lichenlanding::transport;
using lichenlanding::Nanos;
namespace http = boost::beast::http;

// A child process.
struct Program {
    pid_t id = -1;  ///< -1 while it is not running
    std::unique_ptr<asio::posix::stream_descriptor> out;
    std::vector<Json> lines;  ///< its output so far; a line that is no JSON object is {"text": line}
    int status = -1;          ///< as waitpid() returned it
};

// A response that does not end: its first bytes, and what follows again and again.
struct EndlessResponse {
    std::string begin, repeated;
    std::size_t bytes = 0;  // at most, on one connection
};

// `socket` must outlive the call.
inline Task<> sendEndless(tcp::socket& socket, std::string begin, std::string repeated, std::size_t bytes) {
    ErrorCode code;
    co_await asio::async_write(socket, asio::buffer(begin), withErrorCode(code));
    std::string block;
    while (block.size() < 64 << 10) block += repeated;
    for (std::size_t sent = 0; !code && sent < bytes; sent += block.size())
        co_await asio::async_write(socket, asio::buffer(block), withErrorCode(code));
}

class Cluster {
  public:
    Cluster() {
        auto path = (std::filesystem::temp_directory_path() / "cluster-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(path.data()));
        folder = path;
        // Checked on the addresses where the programs will listen, because a cluster of another test run may
        // occupy the port there.
        for (auto* port : {&internal, &control}) *port = freePort(ip("c1"));
        for (auto* port : {&front, &probe}) *port = freePort(ip("e1"));
        platform = std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0"));
        lichenlanding::transport::spawn(
            io, "platform",
            accept(
                *platform, [this](const auto& request) { return list(request); }, platformResponse));
        for (const auto* name : {"i-1", "i-2"}) {
            podAcceptors.push_back(std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0")));
            pods[name] = "127.0.0.1:" + std::to_string(podAcceptors.back()->local_endpoint().port());
            lichenlanding::transport::spawn(
                io, "pod",
                accept(
                    *podAcceptors.back(), [this](const auto& request) { return serve(request); },
                    podResponse));
        }
    }
    ~Cluster() {
        for (auto& [_, program] : programs) stop(program, SIGKILL);
        std::filesystem::remove_all(folder);
    }

    unsigned freePort(const std::string& address) {
        tcp::acceptor free(listen(io, address + ":0"));
        return free.local_endpoint().port();
    }
    // The loopback address of a program: "c1" to "c3" are control nodes, "e1" and "e2" are proxies. Each test
    // process has a network of its own: clusters of two test runs would otherwise meet on a port that one of
    // them gives up while it restarts a program.
    static std::string ip(const std::string& name) {
        constexpr int kNetworks = 250;
        const auto network = "127." + std::to_string(1 + getpid() % kNetworks);
        return network + (name[0] == 'c' ? ".1." : ".2.") + name.substr(1);
    }
    std::string at(const std::string& name, unsigned port) const {
        return ip(name) + ":" + std::to_string(port);
    }

    // The settings of the program `name`; creates its disk folder.
    Json settings(const std::string& name, bool bootstrap = true) const {
        const bool controlNode = name[0] == 'c';
        const auto disk = diskOf(name);
        std::filesystem::create_directories(disk);
        return {{"node_name", name},
                {"ip_address", ip(name)},
                {"zone", "z"},
                {"internal_ports", {internal, internal}},
                {"seed_nodes", {at("c1", control), at("c2", control), at("c3", control)}},
                {"bootstrap", bootstrap},
                {"quorum_member", controlNode},
                {"data_dir", disk},
                {"limits", limits(name)},
                {"fault_tolerance", {{"machines", 1}}},
                {"bounds", {"grace=" + grace, "ack=" + ack}},
                {"cloud_api",
                 {{"address", "127.0.0.1:" + std::to_string(platform->local_endpoint().port())},
                  {"rate_per_s", 40.0}}},
                {"listen_addresses",
                 {{"front_http", at(name, front)},
                  {"readiness", at(name, probe)},
                  {"control_plane", at(name, control)}}}};
    }
    Json limits(const std::string& name) const {
        Json limits{{"disk_mb", 64}};
        if (const auto memory = memoryMegabytes.find(name[0]); memory != memoryMegabytes.end())
            limits["memory_mb"] = memory->second;
        if (maxDescriptors > 0) limits["max_fds"] = maxDescriptors;
        return limits;
    }
    std::string diskOf(const std::string& name) const { return folder + "/" + name; }
    std::string settingsFileOf(const std::string& name) const { return diskOf(name) + ".json"; }
    // Writes the settings of the program `name`, creates its disk folder and starts it.
    void launch(const std::string& name, bool bootstrap = true) {
        std::ofstream(settingsFileOf(name)) << settings(name, bootstrap);
        start(name);
    }
    // Starts the program `name` with the settings file as it is.
    void start(const std::string& name) {
        spawn(programs[name], {name[0] == 'c' ? "control-plane" : "proxy"},
              "LICHENLANDING_SETTINGS=" + settingsFileOf(name));
    }
    // Starts the gateway binary with `words` as arguments and `variable` as its whole environment. Its output
    // goes to a pipe; `prepareOutput` may change the writing end first.
    void spawn(Program& program, std::vector<std::string> words, const std::string& variable,
               const std::function<void(int)>& prepareOutput = {}) {
        int ends[2];
        CPPUNIT_ASSERT(pipe(ends) == 0);
        if (prepareOutput) prepareOutput(ends[1]);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], 2);
        posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
        // The child must not inherit this process's sockets: peers would not notice when they are closed
        // here.
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        words.insert(words.begin(), GATEWAY);
        std::vector<char*> arguments;
        std::vector<char*> variables;
        for (auto& word : words) arguments.push_back(word.data());
        arguments.push_back(nullptr);
        auto text = variable;
        variables = {text.data(), nullptr};
        CPPUNIT_ASSERT(
            posix_spawn(&program.id, GATEWAY, &actions, nullptr, arguments.data(), variables.data()) == 0);
        posix_spawn_file_actions_destroy(&actions);
        close(ends[1]);
        program.lines.clear();
        program.out = std::make_unique<asio::posix::stream_descriptor>(io, ends[0]);
        lichenlanding::transport::spawn(io, "log", follow(program));
    }
    // Sends `signal` (0 for none) and waits until the process has ended.
    void stop(Program& program, int signal) {
        if (program.id <= 0) return;
        kill(program.id, signal);
        waitpid(program.id, &program.status, 0);
        program.id = -1;
    }
    // Waits until the program logs `event`, skipping the first `from` lines. Returns the number of lines up
    // to and including that event. Fails after 40 s, or after 15 s without any activity.
    std::size_t await(const std::string& name, const std::string& event, std::size_t from = 0) {
        auto& lines = programs[name].lines;
        const Nanos end = now() + 40 * kSecond;
        for (std::size_t line = from;;) {
            for (; line < lines.size(); ++line)
                if (lines[line].value("event", "") == event) return line + 1;
            if (io.run_one_for(std::chrono::seconds(15)) > 0 && now() < end) continue;
            std::string all;
            for (const auto& seen : lines) all += seen.dump() + "\n";
            CPPUNIT_FAIL(name + " did not log " + event + "; its output:\n" + all);
        }
    }
    // Sends one request on a new connection and returns status and body, or {0, ""} if there is no response.
    std::pair<int, std::string> call(const std::string& address, http::verb method, const std::string& target,
                                     const std::string& body = "", const std::string& id = "") {
        std::pair<int, std::string> answer{0, ""};
        bool done = false;
        lichenlanding::transport::spawn(io, "call", ask(address, method, target, body, id, answer, done));
        while (!done) CPPUNIT_ASSERT(io.run_one_for(std::chrono::seconds(15)) > 0);
        return answer;
    }
    // Sends `bytes` on a new connection and returns the status of the response, or 0 if there is none.
    int send(const std::string& address, const std::string& bytes) {
        int status = 0;
        bool done = false;
        lichenlanding::transport::spawn(io, "send", exchange(address, bytes, status, done));
        while (!done) CPPUNIT_ASSERT(io.run_one_for(std::chrono::seconds(15)) > 0);
        return status;
    }
    // Sends a POST as a coroutine; returns its status, or 0 if there is no response.
    Task<int> callAsync(std::string address, std::string target, std::string body) {
        std::pair<int, std::string> answer{0, ""};
        bool done = false;
        co_await ask(std::move(address), http::verb::post, std::move(target), std::move(body), "", answer,
                     done);
        co_return answer.first;
    }
    std::pair<int, std::string> rpc(const std::string& name, const std::string& what,
                                    const std::string& body = "") {
        return call(at(name, control), http::verb::post, "/api/rpc?call=" + what, body);
    }
    int replace(const std::string& name, const std::string& configuration) {
        return rpc(name, "config.replace", configuration).first;
    }
    Json status(const std::string& name) { return Json::parse(rpc(name, "status").second); }
    int get(const std::string& name, const std::string& path) {
        return call(at(name, front), http::verb::get, path, "", "get").first;
    }
    int readiness(const std::string& name) {
        return call(at(name, probe), http::verb::get, "/api/readiness").first;
    }
    // Polls `condition` until it is true; fails after 15 s. Conditions make a request, so this does not spin.
    template <typename Condition>
    void until(const char* what, Condition condition) {
        for (const Nanos end = now() + 15 * kSecond; now() < end;)
            if (condition()) return;
        CPPUNIT_FAIL(std::string("timed out waiting until ") + what);
    }
    // A configuration document of that version, with routes /r/ (idempotent), /w/ (non-idempotent) and
    // `prefix`, and `furtherRoutes` below /further/.
    static std::string configuration(int version, const std::string& prefix, int furtherRoutes = 0) {
        char digits[9];
        std::snprintf(digits, sizeof digits, "%08x", version);
        std::string all = std::string(R"({"config_version":")") + digits + R"(","resources":[)";
        std::vector<std::pair<std::string, std::string>> routes{
            {"idempotent", "/r/"}, {"non_idempotent", "/w/"}, {"idempotent", prefix}};
        for (int number = 0; number < furtherRoutes; ++number)
            routes.emplace_back("idempotent", "/further/" + std::to_string(number) + "/");
        for (const auto& [kind, path] : routes)
            all += R"({"resource_type":"route_table","metadata":{"name":")" + path +
                   R"("},"spec":{"hostname":"h","path_prefix":")" + path + R"(","route_class":")" + kind +
                   R"(","timeout":"2s","target_latency":"1s","service_name":"s","max_attempts":2}},)";
        return all +
               R"({"resource_type":"service_table","metadata":{"name":"s"},"spec":{"max_connections":50}}]})";
    }

    asio::io_context io{1};
    std::string folder, grace = "600ms", ack = "5s";
    unsigned internal = 0, control = 0, front = 0, probe = 0;
    std::map<char, long> memoryMegabytes;  // `memory_mb` of control nodes ('c') and proxies ('e')
    int maxDescriptors = 0;                // `max_fds`; 0: not in the settings
    bool podsHang = false;                 // pods read requests and do not respond
    std::string podField;                  // the value of a further field of pods' responses; empty: none
    std::optional<EndlessResponse> podResponse, platformResponse;  // instead of the ordinary ones
    std::unique_ptr<tcp::acceptor> platform;
    std::vector<std::unique_ptr<tcp::acceptor>> podAcceptors;
    std::map<std::string, std::string> pods;  // address by instance id
    std::multiset<std::string> ran;           // attempt ids of the requests that reached a pod
    std::map<std::string, Program> programs;

  private:
    // The cloud API's instance list, built from `pods`.
    Json list(const http::request<http::string_body>& /*unused*/) {
        Json entries = Json::array();
        for (const auto& [id, address] : pods)
            entries.push_back({{"instance_id", id},
                               {"service_name", "s"},
                               {"address", address},
                               {"zone", "z"},
                               {"config_version", "v1"},
                               {"capacity_slots", 2},
                               {"state", "ready"},
                               {"warmup_left", "0ms"}});
        return {{"instance_list", entries}, {"next_token", nullptr}};
    }
    // A pod's response; records the attempt id.
    Json serve(const http::request<http::string_body>& request) {
        ran.insert(std::string(request["X-Attempt-Id"]));
        return "served";
    }
    Task<> accept(tcp::acceptor& acceptor,
                  std::function<Json(const http::request<http::string_body>&)> handle,
                  const std::optional<EndlessResponse>& endless) {
        for (;;) {
            ErrorCode code;
            auto socket = co_await acceptor.async_accept(withErrorCode(code));
            if (code) co_return;
            lichenlanding::transport::spawn(io, "connection", answer(std::move(socket), handle, endless));
        }
    }
    Task<> answer(tcp::socket socket, std::function<Json(const http::request<http::string_body>&)> handle,
                  const std::optional<EndlessResponse>& endless) {
        beast::flat_buffer buffer;
        for (;;) {
            constexpr std::uint32_t kMaxHeaderBytes = 64 << 10;
            http::request_parser<http::string_body> parser;
            parser.header_limit(kMaxHeaderBytes);
            ErrorCode code;
            co_await http::async_read(socket, buffer, parser, withErrorCode(code));
            if (code) co_return;
            const auto request = parser.release();
            if (endless) {
                co_await sendEndless(socket, endless->begin, endless->repeated, endless->bytes);
                co_return;
            }
            http::response<http::string_body> response(http::status::ok, 11);
            response.set("X-Attempt-Id", request["X-Attempt-Id"]);
            response.set("X-Response-Seal", "seal");
            if (!podField.empty()) response.set("X-Further", podField);
            response.body() = handle(request).dump();
            while (podsHang) co_await sleep(20 * kMillisecond);
            response.prepare_payload();
            co_await http::async_write(socket, response, withErrorCode(code));
            if (code) co_return;
        }
    }
    // Reads the program's output into `program.lines`.
    Task<> follow(Program& program) {
        asio::streambuf buffer;
        for (;;) {
            ErrorCode code;
            co_await asio::async_read_until(*program.out, buffer, '\n', withErrorCode(code));
            if (code) co_return;
            std::istream stream(&buffer);
            std::string line;
            std::getline(stream, line);
            auto read = Json::parse(line, nullptr, false);
            program.lines.push_back(read.is_object() ? std::move(read) : Json{{"text", line}});
        }
    }
    Task<> exchange(std::string address, std::string bytes, int& status, bool& done) {
        beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds(3));
        ErrorCode code;
        co_await stream.async_connect(parseAddress(address), withErrorCode(code));
        if (!code) co_await asio::async_write(stream, asio::buffer(bytes), withErrorCode(code));
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!code) co_await http::async_read(stream, buffer, response, withErrorCode(code));
        if (!code) status = static_cast<int>(response.result_int());
        done = true;
    }
    Task<> ask(std::string address, http::verb method, std::string target, std::string body, std::string id,
               std::pair<int, std::string>& answer, bool& done) {
        beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds(3));
        ErrorCode code;
        co_await stream.async_connect(parseAddress(address), withErrorCode(code));
        if (!code) {
            http::request<http::string_body> request(method, target, 11);
            request.set(http::field::host, "h");
            if (!id.empty()) request.set("X-Attempt-Id", id), request.set("X-Deadline-Ms", "2000");
            request.body() = body;
            request.prepare_payload();
            co_await http::async_write(stream, request, withErrorCode(code));
            beast::flat_buffer buffer;
            http::response<http::string_body> response;
            if (!code) co_await http::async_read(stream, buffer, response, withErrorCode(code));
            if (!code) answer = {static_cast<int>(response.result_int()), response.body()};
        }
        done = true;
    }
};

}  // namespace cluster
