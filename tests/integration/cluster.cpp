// The gateway's own programs as processes on loopback addresses: three control nodes, two proxies, and
// stand-ins for the platform, the pods and the operator. Machines are killed, lose their disks and come back.
// Waiting is for lines of their logs and for answers, never for time alone.
#include <spawn.h>
#include <sys/wait.h>

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

using namespace lichenlanding::transport;
using lichenlanding::Nanos;
namespace http = boost::beast::http;
extern char** environ;

namespace {

struct Program {
    pid_t id = -1;
    std::unique_ptr<asio::posix::stream_descriptor> out;
    std::vector<Json> lines;
    int status = -1;
};

class House {
  public:
    House() {
        auto made = (std::filesystem::temp_directory_path() / "house-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(made.data()));
        folder = made;
        for (auto* port : {&internal, &control, &front, &probe}) {
            tcp::acceptor free(listen(io, "127.0.0.1:0"));
            *port = free.local_endpoint().port();
        }
        platform = std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0"));
        start(io, "platform", accept(*platform, [this](const auto& request) { return list(request); }));
        for (const auto* name : {"i-1", "i-2"}) {
            doors.push_back(std::make_unique<tcp::acceptor>(listen(io, "127.0.0.1:0")));
            pods[name] = "127.0.0.1:" + std::to_string(doors.back()->local_endpoint().port());
            start(io, "pod", accept(*doors.back(), [this](const auto& request) { return serve(request); }));
        }
    }
    ~House() {
        for (auto& [_, program] : programs) stop(program, SIGKILL);
        std::filesystem::remove_all(folder);
    }

    static std::string ip(const std::string& name) {
        return (name[0] == 'c' ? "127.0.1." : "127.0.2.") + name.substr(1);
    }
    std::string at(const std::string& name, unsigned port) const {
        return ip(name) + ":" + std::to_string(port);
    }

    void launch(const std::string& name, bool bootstrap = true) {
        const bool core = name[0] == 'c';
        const auto disk = folder + "/" + name;
        std::filesystem::create_directories(disk);
        Json settings{{"node_name", name},
                      {"ip_address", ip(name)},
                      {"zone", "z"},
                      {"internal_ports", {internal, internal}},
                      {"seed_nodes", {at("c1", control), at("c2", control), at("c3", control)}},
                      {"bootstrap", bootstrap},
                      {"quorum_member", core},
                      {"data_dir", disk},
                      {"limits", {{"disk_mb", 64}}},
                      {"fault_tolerance", {{"machines", 1}}},
                      {"bounds", {"grace=600ms"}},
                      {"cloud_api",
                       {{"address", "127.0.0.1:" + std::to_string(platform->local_endpoint().port())},
                        {"rate_per_s", 40.0}}},
                      {"listen_addresses",
                       {{"front_http", at(name, front)},
                        {"readiness", at(name, probe)},
                        {"control_plane", at(name, control)}}}};
        const auto file = disk + ".json";
        std::ofstream(file) << settings;
        spawn(programs[name], {core ? "prompter" : "foyer"}, "LICHENLANDING_SETTINGS=" + file);
    }
    void spawn(Program& program, std::vector<std::string> words, const std::string& variable) {
        int ends[2];
        CPPUNIT_ASSERT(pipe(ends) == 0);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], 2);
        posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
        posix_spawn_file_actions_addclose(&actions, ends[0]);
        words.insert(words.begin(), GATEWAY);
        std::vector<char*> arguments, variables;
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
        start(io, "log", follow(program));
    }
    void stop(Program& program, int signal) {
        if (program.id <= 0) return;
        kill(program.id, signal);
        waitpid(program.id, &program.status, 0);
        program.id = -1;
    }
    // Until the program has logged `event`, after the first `from` lines.
    std::size_t await(const std::string& name, const std::string& event, std::size_t from = 0) {
        auto& lines = programs[name].lines;
        for (std::size_t line = from;;) {
            for (; line < lines.size(); ++line)
                if (lines[line].value("event", "") == event) return line + 1;
            if (io.run_one_for(std::chrono::seconds(15)) > 0) continue;
            std::string all;
            for (const auto& seen : lines) all += seen.dump() + "\n";
            CPPUNIT_FAIL(name + " never said " + event + "; it said\n" + all);
        }
    }
    // One call on a connection of its own. {0, ""} where nobody answers.
    std::pair<int, std::string> call(const std::string& address, http::verb method, const std::string& target,
                                     const std::string& body = "", const std::string& id = "") {
        std::pair<int, std::string> answer{0, ""};
        bool done = false;
        start(io, "call", ask(address, method, target, body, id, answer, done));
        while (!done) CPPUNIT_ASSERT(io.run_one_for(std::chrono::seconds(15)) > 0);
        return answer;
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
    // Asked again until it says so; each try is a whole exchange.
    template <typename RoutedRequest>
    void until(const char* what, RoutedRequest holds) {
        for (const Nanos end = now() + 15 * kSecond; now() < end;)
            if (holds()) return;
        CPPUNIT_FAIL(std::string("never: ") + what);
    }
    static std::string configuration(int version, const std::string& prefix) {
        char digits[9];
        std::snprintf(digits, sizeof digits, "%08x", version);
        std::string all = std::string(R"({"config_version":")") + digits + R"(","resources":[)";
        for (const auto& [kind, path] : std::vector<std::pair<std::string, std::string>>{
                 {"idempotent", "/r/"}, {"non_idempotent", "/w/"}, {"idempotent", prefix}})
            all += R"({"resource_type":"route_table","metadata":{"name":")" + path +
                   R"("},"spec":{"hostname":"h","path_prefix":")" + path + R"(","route_class":")" + kind +
                   R"(","timeout":"2s","target_latency":"1s","service_name":"s","max_attempts":2}},)";
        return all +
               R"({"resource_type":"service_table","metadata":{"name":"s"},"spec":{"max_connections":50}}]})";
    }

    asio::io_context io{1};
    std::string folder;
    unsigned internal = 0, control = 0, front = 0, probe = 0;
    std::unique_ptr<tcp::acceptor> platform;
    std::vector<std::unique_ptr<tcp::acceptor>> doors;
    std::map<std::string, std::string> pods;
    std::multiset<std::string> ran;  // ids that pods have run
    std::map<std::string, Program> programs;

  private:
    Json list(const http::request<http::string_body>&) {
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
    Json serve(const http::request<http::string_body>& request) {
        ran.insert(std::string(request["X-Attempt-Id"]));
        return "served";
    }
    Task<> accept(tcp::acceptor& door, std::function<Json(const http::request<http::string_body>&)> handle) {
        for (;;) {
            ErrorCode code;
            auto socket = co_await door.async_accept(withErrorCode(code));
            if (code) co_return;
            start(io, "connection", answer(std::move(socket), handle));
        }
    }
    Task<> answer(tcp::socket socket, std::function<Json(const http::request<http::string_body>&)> handle) {
        beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            ErrorCode code;
            co_await http::async_read(socket, buffer, request, withErrorCode(code));
            if (code) co_return;
            http::response<http::string_body> response(http::status::ok, 11);
            response.set("X-Attempt-Id", request["X-Attempt-Id"]);
            response.set("X-Response-Seal", "seal");
            response.body() = handle(request).dump();
            response.prepare_payload();
            co_await http::async_write(socket, response, withErrorCode(code));
            if (code) co_return;
        }
    }
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
    Task<> ask(std::string address, http::verb method, std::string target, std::string body, std::string id,
               std::pair<int, std::string>& answer, bool& done) {
        beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds(3));
        ErrorCode code;
        co_await stream.async_connect(endpoint(address), withErrorCode(code));
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

}  // namespace

class HouseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HouseTest);
    CPPUNIT_TEST(machinesLost);
    CPPUNIT_TEST(allAtOnce);
    CPPUNIT_TEST(frozen);
    CPPUNIT_TEST(dutyGoesOn);
    CPPUNIT_TEST(outOfContact);
    CPPUNIT_TEST(words);
    CPPUNIT_TEST_SUITE_END();

    static void open(House& house) {
        for (const auto* name : {"c1", "c2", "c3", "e1", "e2"}) house.launch(name);
        for (const auto* name : {"c1", "c2", "c3"}) house.await(name, "formed");
        // Each has said that it is in contact: the first call at any of them is taken.
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c2", House::configuration(3, "/a/")));
        for (const auto* name : {"e1", "e2"}) house.await(name, "readiness_gained");
    }

  public:
    // A core machine dies, then a second, then one comes back with nothing on its disk.
    void machinesLost() {
        House house;
        open(house);
        const auto get = [&](const std::string& path) { return house.get("e1", path); };
        CPPUNIT_ASSERT_EQUAL(200, get("/r/1"));
        CPPUNIT_ASSERT_EQUAL(404, get("/b/1"));
        CPPUNIT_ASSERT_EQUAL(
            200, house.call(house.at("e2", house.front), http::verb::post, "/w/1", "body", "once").first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), house.ran.count("once"));
        for (const auto* name : {"c1", "c2", "c3"})
            CPPUNIT_ASSERT_EQUAL(House::configuration(3, "/a/"), house.rpc(name, "config.read").second);
        // Two bodies under one number at two control nodes: one of them is it, everywhere and for good.
        const auto one = House::configuration(4, "/b/"), other = House::configuration(4, "/c/");
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c1", one));
        const auto clash = house.rpc("c3", "config.replace", other);
        CPPUNIT_ASSERT_EQUAL(409, clash.first);
        CPPUNIT_ASSERT(clash.second.find("00000004") != clash.second.npos);
        for (const auto* name : {"c1", "c2", "c3"}) {
            CPPUNIT_ASSERT_EQUAL(200, house.replace(name, one));
            CPPUNIT_ASSERT_EQUAL(409, house.replace(name, other));
            CPPUNIT_ASSERT_EQUAL(one, house.rpc(name, "config.read").second);
        }
        CPPUNIT_ASSERT_EQUAL(
            200, house.replace("c2", House::configuration(2, "/old/")));  // old: taken, changes nothing
        CPPUNIT_ASSERT_EQUAL(400,
                             house.rpc("c2", "config.replace", "{\"config_version\":\"00000009\"").first);
        house.until("the foyer uses version 4", [&] { return get("/b/1") == 200 && get("/a/1") == 404; });
        house.stop(house.programs["c1"], SIGKILL);
        const auto five = House::configuration(5, "/five/");
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c2", five));  // two of three take it
        CPPUNIT_ASSERT_EQUAL(five, house.rpc("c3", "config.read").second);
        house.stop(house.programs["c3"], SIGKILL);
        CPPUNIT_ASSERT_EQUAL(503, house.replace("c2", House::configuration(6, "/six/")));
        CPPUNIT_ASSERT_EQUAL(503, house.rpc("c2", "config.read").first);
        // Clients are served meanwhile, by what was acknowledged last.
        house.until("the foyer uses version 5", [&] { return get("/five/1") == 200; });
        house.launch("c3", false);
        house.until("version 5 or 6 is read again",
                    [&] { return house.rpc("c3", "config.read").first == 200; });
        std::filesystem::remove_all(house.folder + "/c1");
        house.launch("c1", false);
        house.await("c1", "rejoined");
        house.stop(house.programs["c2"], SIGKILL);
        // Orders of before are known again by control nodes that have been down, one with an empty disk.
        int again = 503;
        house.until("the order of version 4 is answered", [&] {
            again = house.replace("c1", one);
            return again != 503;
        });
        CPPUNIT_ASSERT_EQUAL(200, again);
        CPPUNIT_ASSERT_EQUAL(409, house.replace("c1", other));
        house.until("the disk that was lost stands for another",
                    [&] { return house.replace("c1", House::configuration(7, "/seven/")) == 200; });
        house.until("the foyer uses version 7", [&] { return get("/seven/1") == 200; });
    }

    // All processes die at once and come back with their disks; orders and configurations are still there. A
    // proxy leaves in order.
    void allAtOnce() {
        House house;
        open(house);
        const std::string order = R"({"service_name":"s","target_version":"v2","deadline":"60s"})";
        for (const auto* name : {"c1", "c2"})
            CPPUNIT_ASSERT_EQUAL(200, house.rpc(name, "rollouts.begin", order).first);
        CPPUNIT_ASSERT_EQUAL(400, house.rpc("c2", "rollouts.begin", R"({"service_name":"s"})").first);
        CPPUNIT_ASSERT_EQUAL(404, house.rpc("c2", "rollouts.read&of=other").first);
        // Its age is a span, written down as it grows, and not lost when all restart.
        const auto age = [&](const std::string& name) {
            const auto status = house.status(name);
            return status.at("rollouts").empty() ? 0 : status.at("rollouts").at(0).at("age").get<int>();
        };
        house.until("the order's age is written", [&] { return age("c1") > 0; });
        const auto written = age("c1");
        for (auto& [_, program] : house.programs) house.stop(program, SIGKILL);
        for (const auto* name : {"c1", "c2", "c3", "e1"}) house.launch(name, false);
        house.await("e1", "readiness_gained");
        const auto read = house.rpc("c3", "rollouts.read&of=s");
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"in_progress","target_version":"v2"})"), read.second);
        CPPUNIT_ASSERT_EQUAL(House::configuration(3, "/a/"), house.rpc("c3", "config.read").second);
        const auto status = house.status("c1");
        CPPUNIT_ASSERT_EQUAL(std::string("00000003"), status.at("configuration").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), status.at("rollouts").size());
        CPPUNIT_ASSERT(age("c1") >= written);
        CPPUNIT_ASSERT_EQUAL(200, house.readiness("e1"));
        auto& proxy = house.programs["e1"];
        kill(proxy.id, SIGHUP);
        house.await("e1", "settings_reloaded");
        kill(proxy.id, SIGTERM);
        house.await("e1", "drain_started");
        CPPUNIT_ASSERT_EQUAL(503, house.readiness("e1"));
        CPPUNIT_ASSERT_EQUAL(200, house.get("e1", "/r/1"));
        house.await("e1", "proxy_stopped");
        house.stop(proxy, 0);
        CPPUNIT_ASSERT(WIFEXITED(proxy.status) && WEXITSTATUS(proxy.status) == 0);
        // A stopped control node's disk can be read.
        house.stop(house.programs["c2"], SIGKILL);
        const auto says = [&](const std::vector<std::string>& words) {
            Program tool;
            house.spawn(tool, words, "X=");
            house.stop(tool, 0);
            while (tool.lines.empty()) CPPUNIT_ASSERT(house.io.run_one_for(std::chrono::seconds(8)) > 0);
            while (house.io.poll() > 0) {  // the rest of what it wrote before it ended
            }
            CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(tool.status));
            std::string all;
            for (const auto& line : tool.lines) all += line.value("text", line.dump()) + "\n";
            return all;
        };
        const auto book = house.folder + "/c2/promptbook";
        CPPUNIT_ASSERT(says({"promptbook", "check", book}).find("all checksums right") != std::string::npos);
        CPPUNIT_ASSERT(says({"promptbook", "show", book}).find("version 00000003,") != std::string::npos);
        CPPUNIT_ASSERT(says({"promptbook", "show", book}).find("remembered 00000003\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(Json::parse(House::configuration(3, "/a/")),
                             Json::parse(says({"promptbook", "export", book})));
        const auto shown = says({"status", house.at("c1", house.control)});
        CPPUNIT_ASSERT_MESSAGE(shown, shown.find(", in contact") != shown.npos);
        CPPUNIT_ASSERT_MESSAGE(shown, shown.find("\nduty list: ") != shown.npos);
    }

    // A proxy stands still while a route is dropped and another is added, and wakes up with its old view.
    void frozen() {
        House house;
        open(house);
        const auto get = [&](const std::string& path) { return house.get("e1", path); };
        CPPUNIT_ASSERT_EQUAL(200, get("/a/1"));
        auto& proxy = house.programs["e1"];
        kill(proxy.id, SIGSTOP);
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c1", House::configuration(8, "/eight/")));
        house.await("c1", "link_silent");  // two seconds on, a control node has given it up
        kill(proxy.id, SIGCONT);
        house.await("e1", "standstill_detected");
        // How soon is a matter of this machine's speed (150 ms are waited for); it never goes back.
        house.until("the foyer uses version 8", [&] { return get("/a/1") == 404; });
        CPPUNIT_ASSERT_EQUAL(200, get("/eight/1"));
        for (int at = 0; at < 20; ++at) CPPUNIT_ASSERT_EQUAL(404, get("/a/1"));
    }

    // The holder of the duty for the list is killed, and comes back as another: terms rise, one has it at a
    // time.
    void dutyGoesOn() {
        House house;
        open(house);
        const auto duty = [&](const std::string& name) {
            return house.status(name).at("duties").value("list", Json{{"mine", false}, {"term", 0}});
        };
        std::string holder;
        house.until("one has the duty", [&] {
            for (const auto* name : {"c1", "c2", "c3"})
                if (duty(name).at("mine")) holder = name;
            return !holder.empty();
        });
        const auto first = duty(holder).at("term").get<int>();
        std::vector<std::string> others;
        for (const auto* name : {"c1", "c2", "c3"})
            if (name != holder) others.push_back(name);
        house.stop(house.programs[holder], SIGKILL);
        house.until("another has it", [&] {
            const auto one = duty(others[0]), two = duty(others[1]);
            return (one.at("mine") || two.at("mine")) && one.at("term") > first &&
                   one.at("term") == two.at("term");
        });
        const auto kSecond = duty(others[0]).at("term").get<int>();
        CPPUNIT_ASSERT_EQUAL(first + 1, kSecond);
        house.pods.erase("i-2");  // its list is followed
        house.until("it has told of a pod that went", [&] {
            const auto& told = duty(others[0]).at("mine") ? others[0] : others[1];
            const auto pods = house.status(told).at("pods");
            return pods.contains("s") && pods.at("s").at("v1").at(0) == 1;
        });
        house.launch(holder, false);
        house.await(holder, "contact");
        house.until("it knows of the term", [&] { return duty(holder).at("term") == kSecond; });
        CPPUNIT_ASSERT(!duty(holder).at("mine").get<bool>());
    }

    // Two of three core machines are gone: a proxy that starts takes what the third says only after a wait,
    // and has no pods from it; when there is contact again all is sure.
    void outOfContact() {
        House house;
        open(house);
        for (const auto* name : {"c1", "c3", "e1", "e2"}) house.stop(house.programs[name], SIGKILL);
        house.await("c2", "contact_lost");
        house.launch("e2", false);
        house.await("e2", "control_plane_contact_lost");
        const auto taken = house.await("e2", "unconfirmed_state_accepted");
        CPPUNIT_ASSERT_EQUAL(503, house.readiness("e2"));
        CPPUNIT_ASSERT_EQUAL(503, house.rpc("c2", "config.read").first);
        house.launch("c1", false);
        house.await("e2", "readiness_gained", house.await("e2", "control_plane_contact_established", taken) - 1);
        CPPUNIT_ASSERT_EQUAL(200, house.get("e2", "/r/1"));
    }

    // The tools' words and exit status.
    void words() {
        House house;
        std::ofstream(house.folder + "/good.json") << House::configuration(3, "/a/");
        std::ofstream(house.folder + "/bad.json")
            << R"({"config_version":"3","resources":[{"resource_type":"table"}]})";
        std::string seen;
        for (const auto& words : std::vector<std::vector<std::string>>{{"playbill", "check", "good.json"},
                                                                       {"playbill", "check", "bad.json"},
                                                                       {"playbill", "check", "none.json"},
                                                                       {"explain", "good.json", "h", "/a/1"},
                                                                       {"explain", "good.json", "h", "/none"},
                                                                       {"promptbook", "show", "none"},
                                                                       {"promptbook", "burn", "none"},
                                                                       {"encore"},
                                                                       {},
                                                                       {"foyer"}}) {
            auto full = words;
            std::string line;
            for (auto& word : full) {
                line += " " + word;
                if (word.find(".json") != word.npos || word == "none") word = house.folder + "/" + word;
            }
            Program tool;
            house.spawn(tool, full, "X=");
            waitpid(tool.id, &tool.status, 0);
            tool.id = -1;
            house.io.restart();
            for (int turn = 0; turn < 200 && house.io.poll() > 0; ++turn) {
            }
            seen += "$" + line + "\n";
            if (WEXITSTATUS(tool.status) != 2)
                for (const auto& out : tool.lines) {
                    auto text = out.value("text", out.dump());
                    for (auto at = text.find(house.folder); at != text.npos; at = text.find(house.folder))
                        text.replace(at, house.folder.size(), "FOLDER");
                    seen += "  " + text + "\n";
                }
            seen += "  status " + std::to_string(WEXITSTATUS(tool.status)) + "\n";
        }
        approve("words", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HouseTest);
