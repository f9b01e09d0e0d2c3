#include "scale_test/scale_test.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "config/configuration.hpp"
#include "scale_test/hollow.hpp"
#include "scale_test/measure.hpp"
#include "scale_test/platform.hpp"
#include "scale_test/report.hpp"
#include "scale_test/sizes.hpp"

namespace lichenlanding::scale_test {
namespace {

using namespace transport;
namespace http = boost::beast::http;
using Json = nlohmann::json;

constexpr Nanos kLook = 10 * kMillisecond;  // between two looks at whether something has come about
constexpr Nanos kPause = 200 * kMillisecond, kCallWithin = 20 * kSecond;
constexpr Nanos kForceWithin = 30 * kSecond;  // a change that is not everywhere by then has not come
constexpr Nanos kDownFor = 5 * kSecond;       // a control node that is lost
constexpr std::int64_t kProcessesAtMost = 200;
constexpr int kHeartbeat = 1500;                     // ms
constexpr int kPortsFrom = 20000, kPortsTo = 32000;  // below those that the kernel gives to connections

struct Process {
    pid_t id = -1;
    std::string role;
    std::vector<std::string> words;
    std::string settings;  // file; none for hollow ones
    std::unique_ptr<asio::posix::stream_descriptor> out, in;
};

class Scale {
  public:
    Scale(const ScenarioConfig& plan, std::string program)
        : plan_(plan), program_(std::move(program)), platform_(io_, plan) {
        checkRoom();
        auto made = (std::filesystem::temp_directory_path() / "scale-XXXXXX").string();
        if (!mkdtemp(made.data())) throw std::runtime_error("scale: no folder in " + made);
        folder_ = made;
        port_ = freePorts();
    }
    ~Scale() {
        for (auto& [_, process] : processes_) stop(process);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    bool run() {
        print({{"phase", "plan"}, {"settings", plan_.describe()}, {"port", port_}, {"load", load()}});
        print({{"phase", "sizes"}, {"of", sizes(plan_)}});
        start(io_, "scale", guarded());
        start(io_, "limit", limit());
        start(io_, "memory", watchMemory());
        io_.run();
        for (auto& [_, process] : processes_) stop(process);
        print({{"phase", "end"},
               {"whole", whole_},
               {"why", why_},
               {"seconds", seconds(now() - began_)},
               {"memory_mb", megabytes(most_)},
               {"load", load()},
               {"logs", logs_},
               {"seed", plan_.seed}});
        printTables();
        return whole_;
    }

  private:
    // ---- Room. ----

    void checkRoom() const {
        rlimit files{};
        getrlimit(RLIMIT_NOFILE, &files);
        const auto most = static_cast<std::int64_t>(files.rlim_cur);
        if (plan_.descriptors() > most)
            throw std::runtime_error("foyers_per_process: a process may hold " + std::to_string(most) +
                                     " descriptors and would need " + std::to_string(plan_.descriptors()));
        if (plan_.proxies + plan_.realProxies + 200 > most)
            throw std::runtime_error("foyers: a prompter may hold " + std::to_string(most) + " descriptors");
        if (plan_.processes() + plan_.controlNodes + plan_.realProxies > kProcessesAtMost)
            throw std::runtime_error("foyers_per_process: over " + std::to_string(kProcessesAtMost) +
                                     " processes");
    }

    int freePorts() const {
        for (int at = kPortsFrom + static_cast<int>(getpid()) * 8 % (kPortsTo - kPortsFrom), tried = 0;
             tried < 500; ++tried, at = at + 8 < kPortsTo ? at + 8 : kPortsFrom) {
            asio::io_context io;
            bool free = true;
            for (int one = at; one < at + 4 && free; ++one) {
                tcp::acceptor door(io);
                ErrorCode code;
                door.open(tcp::v4(), code);
                door.bind({tcp::v4(), static_cast<unsigned short>(one)}, code);
                free = !code;
            }
            if (free) return at;
        }
        throw std::runtime_error("scale: no free ports");
    }

    static Json load() {
        double averages[3] = {};
        return getloadavg(averages, 3) == 3 ? Json(averages) : Json();
    }

    // ---- Processes. ----

    std::string controlNodeAt(std::int64_t n, int port) const {
        return "127.71.0." + std::to_string(n + 1) + ":" + std::to_string(port_ + port);
    }
    static std::string controlNodeName(std::int64_t n) { return "prompter-" + std::to_string(n + 1); }
    std::string proxyAt(std::int64_t n, int port) const {
        return "127.72.0." + std::to_string(n + 1) + ":" + std::to_string(port_ + port);
    }

    std::string settings(const std::string& name, bool core, std::int64_t n, bool bootstrap) {
        const auto ip = hostOf(core ? controlNodeAt(n, 0) : proxyAt(n, 0));
        const auto disk = folder_ + "/" + name;
        if (core) std::filesystem::create_directories(disk);
        Json seeds = Json::array(), zones = Json::object();
        for (std::int64_t seed = 0; seed < std::min<std::int64_t>(plan_.controlNodes, 3); ++seed)
            seeds.push_back(controlNodeAt(seed, 1));
        for (std::int64_t zone = 0; zone < plan_.zones; ++zone) zones[zoneName(zone)] = "region";
        Json listens = core ? Json{{"control_plane", controlNodeAt(n, 1)}}
                            : Json{{"front_http", proxyAt(n, 2)}, {"readiness", proxyAt(n, 3)}};
        const Json told{
            {"node_name", name},
            {"role", core ? "prompter" : "foyer"},
            {"machine_class", core ? "core" : "edge"},
            {"serves", {core ? "control" : "edge"}},
            {"ip_address", ip},
            {"zone", zoneName(n % plan_.zones)},
            {"region", "region"},
            {"zones", zones},
            {"listen_addresses", std::move(listens)},
            {"internal_ports", {port_, port_}},
            {"seed_nodes", std::move(seeds)},
            {"bootstrap", bootstrap},
            {"quorum_member", core},
            {"limits", {{"disk_mb", core ? 256 : 0}, {"memory_mb", 256}}},
            {"data_dir", core ? Json(disk) : Json(nullptr)},
            {"heartbeat", std::to_string(kHeartbeat) + "ms"},
            {"fault_tolerance", {{"machines", (plan_.controlNodes - 1) / 2}, {"zones", 0}, {"regions", 0}}},
            {"cloud_api", {{"address", platform_.address()}, {"rate_per_s", plan_.calls}}}};
        const auto path = folder_ + "/" + name + ".json";
        std::ofstream(path) << told.dump();
        return path;
    }

    void launch(const std::string& name, const std::string& role, std::vector<std::string> words,
                const std::string& settings) {
        int out[2], in[2];
        if (pipe2(out, O_CLOEXEC) != 0 || pipe2(in, O_CLOEXEC) != 0)
            throw std::runtime_error("scale: no pipe");
        std::vector<char*> arguments{program_.data()};
        for (auto& word : words) arguments.push_back(word.data());
        arguments.push_back(nullptr);
        const auto parent = getpid();
        const auto id = fork();
        if (id < 0) throw std::runtime_error("scale: no process");
        if (id == 0) {
            // Ends with its parent, also where that is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) _exit(1);
            dup2(in[0], STDIN_FILENO), dup2(out[1], STDOUT_FILENO), dup2(out[1], STDERR_FILENO);
            if (!settings.empty()) setenv("LICHENLANDING_SETTINGS", settings.c_str(), 1);
            execv(program_.c_str(), arguments.data());
            _exit(127);
        }
        ::close(out[1]), ::close(in[0]);
        auto& process = processes_[name];
        process.id = id, process.role = role, process.words = std::move(words), process.settings = settings;
        process.out = std::make_unique<asio::posix::stream_descriptor>(io_, out[0]);
        process.in = std::make_unique<asio::posix::stream_descriptor>(io_, in[1]);
        start(io_, "lines", lines(name, process.out.get()));
    }

    static void stop(Process& process) {
        if (process.id <= 0) return;
        kill(process.id, SIGKILL);
        waitpid(process.id, nullptr, 0);
        process.id = -1;
    }

    void launchAll() {
        for (std::int64_t n = 0; n < plan_.controlNodes; ++n)
            launch(controlNodeName(n), "prompter", {"control-plane"}, settings(controlNodeName(n), true, n, true));
        for (std::int64_t n = 0; n < plan_.realProxies; ++n) {
            const auto name = "foyer-" + std::to_string(n + 1);
            launch(name, "foyer", {"proxy"}, settings(name, false, n, true));
        }
        Json seeds = Json::array();
        for (std::int64_t seed = 0; seed < std::min<std::int64_t>(plan_.controlNodes, 3); ++seed)
            seeds.push_back(controlNodeAt(seed, 0));
        for (std::int64_t first = 0; first < plan_.proxies; first += plan_.perProcess) {
            const Json told{{"first", first},
                            {"count", std::min(plan_.perProcess, plan_.proxies - first)},
                            {"port", port_},
                            {"seeds", seeds},
                            {"heartbeat_ms", kHeartbeat}};
            launch("hollow-from-" + std::to_string(first), "hollow", {"scale-test", "hollow", told.dump()}, "");
        }
    }

    // What processes say: facts of hollow proxies, log records of all.
    Task<> lines(std::string name, asio::posix::stream_descriptor* out) {
        asio::streambuf buffer;
        for (;;) {
            ErrorCode code;
            co_await asio::async_read_until(*out, buffer, '\n', withErrorCode(code));
            if (code) co_return;
            std::istream stream(&buffer);
            std::string line;
            std::getline(stream, line);
            const auto read = Json::parse(line, nullptr, false);
            if (read.is_object()) took(name, read);
        }
    }

    void took(const std::string& process, const Json& told) {
        if (!told.contains("fact")) {
            const auto event = told.value("event", "");
            const auto role = processes_.at(process).role;
            auto& count = logs_[role][event];
            count += 1 + told.value("held_back", 0);
            if (event == "ready" && role == "foyer") ready_[process].push_back(now());
            return;
        }
        const auto& fact = told.at("fact").get_ref<const std::string&>();
        if (fact == "tally") {
            tallies_[process] = told;
            return;
        }
        const auto name = told.at("name").get<std::string>();
        const auto at = told.at("ns").get<Nanos>();
        if (fact == "ready") ready_[name].push_back(at);
        else if (fact == "configuration")
            applied_[name].emplace_back(at, told.at("version").get<std::int64_t>());
        else if (fact == "pod") pods_[told.at("id").get<std::string>()].emplace(name, at);
        else if (fact == "link" && told.at("open").get<bool>())
            links_[told.at("to").get<std::string>()].insert(name);
        else if (fact == "link") links_[told.at("to").get<std::string>()].erase(name), ++ended_;
    }

    // ---- The operator, and real proxies asked for a route. ----

    Task<int> call(std::string address, http::request<http::string_body> request) {
        beast::tcp_stream stream(io_);
        stream.expires_after(span(kCallWithin));
        ErrorCode code;
        co_await stream.async_connect(endpoint(address), withErrorCode(code));
        if (code) co_return 0;
        request.set(http::field::host, request[http::field::host].empty() ? beast::string_view(address)
                                                                          : request[http::field::host]);
        request.prepare_payload();
        co_await http::async_write(stream, request, withErrorCode(code));
        if (code) co_return 0;
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, withErrorCode(code));
        co_return code ? 0 : static_cast<int>(response.result_int());
    }

    // Sends the configuration of so many changes until it is acknowledged.
    Task<> replace(std::int64_t changes) {
        const auto body = configuration(plan_, changes);
        bodyBytes_ = body.size();
        for (std::int64_t n = changes;; ++n) {
            http::request<http::string_body> request(http::verb::post, "/api/rpc?call=config.replace", 11);
            request.set(http::field::content_type, "application/json");
            request.body() = body;
            const auto status = co_await call(controlNodeAt(n % plan_.controlNodes, 1), std::move(request));
            if (status == 200) co_return;
            if (status >= 400 && status < 500)
                throw std::runtime_error("a configuration was refused: " + std::to_string(status));
            ++resent_;
            co_await sleep(kPause);
        }
    }

    Task<> askRoute(std::int64_t n, std::int64_t change, std::vector<Nanos>* into, int* open) {
        const Nanos end = now() + kForceWithin;
        while (now() < end) {
            http::request<http::string_body> request(http::verb::get, changedPath(change) + "x", 11);
            request.set(http::field::host, kChangedHost);
            request.set("X-Attempt-Id", "a" + std::to_string(n) + "." + std::to_string(now()));
            request.set("X-Deadline-Ms", "200");
            const auto status = co_await call(proxyAt(n, 2), std::move(request));
            if (status != 0 && status != 404) {
                into->push_back(now());
                break;
            }
            co_await sleep(kLook);
        }
        --*open;
    }

    // ---- Waiting, reading. ----

    template <typename Done>
    Task<bool> until(Done done, Nanos within) {
        const Nanos end = now() + within;
        while (!done()) {
            if (now() > end) co_return false;
            co_await sleep(kLook);
        }
        co_return true;
    }

    struct Mark {
        Reading reading;
        std::map<std::string, Json> tallies;
    };
    Mark mark() {
        std::map<std::string, pid_t> ids{{"operator and platform", getpid()}};
        for (const auto& [name, process] : processes_)
            if (process.id > 0) ids[name] = process.id;
        return {Reading::take(ids), tallies_};
    }

    std::map<std::string, std::string> roles() const {
        std::map<std::string, std::string> all{{"operator and platform", "outside"}};
        for (const auto& [name, process] : processes_)
            all[name] = process.role == "hollow" ? "foyer" : process.role;
        return all;
    }

    static double seconds(Nanos span) { return std::round(static_cast<double>(span) / 1e7) / 100; }
    static double megabytes(std::uint64_t bytes) {
        return std::round(static_cast<double>(bytes) / (1 << 20) * 10) / 10;
    }

    static std::uint64_t messages(const std::map<std::string, Json>& tallies, const char* way,
                                  const std::string& from) {
        std::uint64_t sum = 0;
        for (const auto& [_, tally] : tallies)
            if (const auto kinds = tally.at(way).find(from); kinds != tally.at(way).end())
                for (const auto& [_, count] : kinds->items()) sum += count.get<std::uint64_t>();
        return sum;
    }

    void report(const std::string& phase, const Mark& from, const Mark& to) {
        const auto& [reading, tallies] = to;
        const double span = static_cast<double>(reading.at - from.reading.at) / 1e9;
        const auto known = roles();
        std::map<std::string, Flow> hollow;
        Nanos hollowCpu = 0;
        std::uint64_t hollowMemory = 0;
        double busiest = 0;
        Json busiestRow;
        std::vector<std::vector<Json>> proxyRows;
        for (const auto& [name, process] : processes_) {
            const auto at = reading.costs.find(name);
            if (at == reading.costs.end()) continue;
            const auto& cost = at->second;
            const auto before = from.reading.costs.find(name);
            const auto spent = cost.cpu - (before == from.reading.costs.end() ? 0 : before->second.cpu);
            const auto flows = reading.flows(from.reading, name, known);
            if (process.role == "hollow") {
                hollowCpu += spent, hollowMemory += cost.memory;
                for (const auto& [role, flow] : flows) {
                    auto& sum = hollow[role];
                    sum.open += flow.open, sum.in += flow.in, sum.out += flow.out;
                    sum.segmentsIn += flow.segmentsIn, sum.segmentsOut += flow.segmentsOut;
                }
                continue;
            }
            const double share = static_cast<double>(spent) / 1e9 / span;
            Flow sum;
            Json line{{"phase", phase},
                      {"role", process.role},
                      {"name", name},
                      {"seconds", seconds(reading.at - from.reading.at)},
                      {"cpu_s", static_cast<double>(spent) / 1e9},
                      {"cpu_of_core", share},
                      {"memory_mb", megabytes(cost.memory)},
                      {"peak_mb", megabytes(cost.peak)},
                      {"with", Json::object()}};
            for (const auto& [role, flow] : flows) {
                line["with"][role.empty() ? "other" : role] = {
                    {"connections", flow.open},
                    {"in_kb_s", static_cast<double>(flow.in) / 1e3 / span},
                    {"out_kb_s", static_cast<double>(flow.out) / 1e3 / span},
                    {"segments_in_s", static_cast<double>(flow.segmentsIn) / span},
                    {"segments_out_s", static_cast<double>(flow.segmentsOut) / span}};
                sum.open += flow.open, sum.in += flow.in, sum.out += flow.out;
                sum.segmentsIn += flow.segmentsIn, sum.segmentsOut += flow.segmentsOut;
            }
            print(line);
            std::vector<Json> row{phase + ", " + name,
                                  share * 100,
                                  static_cast<double>(sum.in) / 1e3 / span,
                                  static_cast<double>(sum.out) / 1e3 / span,
                                  static_cast<double>(sum.segmentsIn) / span,
                                  static_cast<double>(sum.segmentsOut) / span,
                                  sum.open,
                                  megabytes(cost.memory),
                                  megabytes(cost.peak)};
            if (process.role == "prompter" && share >= busiest) busiest = share, busiestRow = row;
            if (process.role == "foyer" && proxyRows.empty()) proxyRows.push_back(row);
        }
        const auto each = [&](double value) { return value / span / static_cast<double>(plan_.proxies); };
        Json line{{"phase", phase},
                  {"role", "hollow"},
                  {"foyers", plan_.proxies},
                  {"seconds", seconds(reading.at - from.reading.at)},
                  {"cpu_s", static_cast<double>(hollowCpu) / 1e9},
                  {"memory_mb", megabytes(hollowMemory)},
                  {"each", Json::object()}};
        Flow sum;
        double heard = 0, sent = 0;
        for (const auto& [role, flow] : hollow) {
            const auto kind = role.empty() ? std::string("other") : role;
            const auto in =
                static_cast<double>(messages(tallies, "heard", role) - messages(from.tallies, "heard", role));
            const auto out =
                static_cast<double>(messages(tallies, "sent", role) - messages(from.tallies, "sent", role));
            line["each"][kind] = {
                {"connections", static_cast<double>(flow.open) / static_cast<double>(plan_.proxies)},
                {"in_kb_s", each(static_cast<double>(flow.in)) / 1e3},
                {"out_kb_s", each(static_cast<double>(flow.out)) / 1e3},
                {"messages_in_s", each(in)},
                {"messages_out_s", each(out)}};
            sum.open += flow.open, sum.in += flow.in, sum.out += flow.out;
            heard += in, sent += out;
        }
        print(line);
        if (!busiestRow.is_null()) costs_.push_back(busiestRow.get<std::vector<Json>>());
        for (auto& row : proxyRows) costs_.push_back(std::move(row));
        costs_.push_back({phase + ", hollow foyer (mean)", nullptr, each(static_cast<double>(sum.in)) / 1e3,
                          each(static_cast<double>(sum.out)) / 1e3, each(heard), each(sent),
                          static_cast<double>(sum.open) / static_cast<double>(plan_.proxies),
                          megabytes(hollowMemory) / static_cast<double>(plan_.proxies), nullptr});
    }

    void time(const std::string& what, Json about) {
        about["time"] = what;
        print(about);
        const auto& spread = about.at("spread");
        const auto cell = [&](const char* name) { return spread.is_null() ? Json() : spread.at(name); };
        times_.push_back(
            {what, cell("n"), cell("median_ms"), cell("p99_ms"), cell("max_ms"), about.value("missing", 0)});
    }

    static void print(const Json& line) {
        std::printf("%s\n", line.dump().c_str());
        std::fflush(stdout);
    }

    void printTables() const {
        std::printf("\nOf one core in 100, kilobytes of payload and segments a second, megabytes:\n\n%s",
                    table({"phase, who", "core %", "kB/s in", "kB/s out", "messages/s in", "messages/s out",
                           "connections", "memory", "peak"},
                          costs_)
                        .c_str());
        std::printf("\n%s", table({"times, ms", "n", "median", "p99", "max", "missing"}, times_).c_str());
        std::fflush(stdout);
    }

    // ---- The run. ----

    // When each proxy held a version of at least `version`, if it did.
    std::vector<Nanos> reportedAt(std::int64_t version, Nanos from) const {
        std::vector<Nanos> all;
        for (const auto& [_, versions] : applied_)
            for (const auto& [at, held] : versions)
                if (held >= version) {
                    all.push_back(std::max<Nanos>(at - from, 0));
                    break;
                }
        return all;
    }

    Task<> phaseStart() {
        const Nanos began = now();
        Mark nothing;
        nothing.reading.at = began;
        launchAll();
        co_await replace(0);
        const Nanos acknowledged = now();
        const auto all = static_cast<std::size_t>(plan_.proxies + plan_.realProxies);
        const bool came = co_await until([&] { return ready_.size() >= all; }, plan_.limit * kSecond);
        std::vector<Nanos> times;
        for (const auto& [_, at] : ready_) times.push_back(at.front() - began);
        time("start until ready", {{"spread", spread(times)},
                                   {"missing", all - times.size()},
                                   {"acknowledged_ms", (acknowledged - began) / kMillisecond},
                                   {"body_bytes", bodyBytes_},
                                   {"links_ended", ended_}});
        report("start", nothing, mark());
        if (!came) throw std::runtime_error("not all were ready");
    }

    Task<> phaseChanges() {
        if (plan_.changes == 0) co_return;
        const auto from = mark();
        std::vector<std::pair<Nanos, Nanos>> asked;  // sent, acknowledged
        std::vector<std::vector<Nanos>> real(static_cast<std::size_t>(plan_.changes));
        int open = 0;
        const Nanos began = now();
        for (std::int64_t change = 1; change <= plan_.changes; ++change) {
            const Nanos sent = now();
            co_await replace(change);
            asked.emplace_back(sent, now());
            for (std::int64_t n = 0; n < plan_.realProxies; ++n)
                ++open, start(io_, "route",
                              askRoute(n, change, &real[static_cast<std::size_t>(change - 1)], &open));
            const Nanos next = began + change * plan_.changeEvery * kMillisecond;
            if (now() < next) co_await sleep(next - now());
        }
        co_await until(
            [&] {
                return reportedAt(1 + plan_.changes, 0).size() >= static_cast<std::size_t>(plan_.proxies) &&
                       open == 0;
            },
            kForceWithin);
        const auto to = mark();
        std::vector<Nanos> acknowledgements, lasts, medians, reals;
        std::int64_t missing = 0;
        for (std::int64_t change = 1; change <= plan_.changes; ++change) {
            const auto& [sent, acknowledged] = asked[static_cast<std::size_t>(change - 1)];
            acknowledgements.push_back(acknowledged - sent);
            auto held = reportedAt(1 + change, acknowledged);
            std::sort(held.begin(), held.end());
            if (held.size() < static_cast<std::size_t>(plan_.proxies)) ++missing;
            else lasts.push_back(held.back()), medians.push_back(held[held.size() / 2]);
            for (const auto at : real[static_cast<std::size_t>(change - 1)])
                reals.push_back(at - acknowledged);
        }
        time("change sent until acknowledged", {{"spread", spread(acknowledgements)}, {"resent", resent_}});
        time("change acknowledged until at half of the foyers",
             {{"spread", spread(medians)}, {"missing", missing}});
        time("change acknowledged until at the last foyer",
             {{"spread", spread(lasts)}, {"missing", missing}});
        time("change acknowledged until served by a real foyer",
             {{"spread", spread(reals)},
              {"missing", plan_.changes * plan_.realProxies - static_cast<std::int64_t>(reals.size())}});
        report("changes", from, to);
    }

    // Until the draining of a pod is known to the last proxy; 0 where it does not get there.
    Task<Nanos> podChange() {
        const auto id = platform_.change();
        const Nanos at = now();
        const bool came = co_await until(
            [&] { return pods_[id].size() >= static_cast<std::size_t>(plan_.proxies); }, kForceWithin);
        Nanos last = 0;
        for (const auto& [_, heard] : pods_[id]) last = std::max(last, heard - at);
        co_return came ? last : 0;
    }

    Task<> phasePods() {
        if (plan_.podChanges == 0) co_return;
        const auto from = mark();
        std::vector<Nanos> lasts;
        int open = 0;
        for (std::int64_t n = 0; n < plan_.podChanges; ++n) {
            ++open;
            start(io_, "pod", [](Scale& self, std::vector<Nanos>& into, int& left) -> Task<> {
                const auto last = co_await self.podChange();
                if (last > 0) into.push_back(last);
                --left;
            }(*this, lasts, open));
            co_await sleep(plan_.podEvery * kMillisecond);
        }
        co_await until([&] { return open == 0; }, kForceWithin + kSecond);
        time("pod draining until known to the last foyer",
             {{"spread", spread(lasts)},
              {"missing", plan_.podChanges - static_cast<std::int64_t>(lasts.size())}});
        report("pods", from, mark());
        std::vector<Nanos> gaps;
        for (std::size_t n = 1; n < platform_.wholes.size(); ++n)
            gaps.push_back(platform_.wholes[n] - platform_.wholes[n - 1]);
        time("between two whole lists", {{"spread", spread(gaps)}, {"refused", platform_.refused}});
    }

    Task<> phaseRestarts() {
        if (plan_.restarts == 0) co_return;
        const auto from = mark();
        std::vector<std::pair<std::string, Nanos>> asked;
        std::map<std::string, std::size_t> before;
        for (std::int64_t n = 0; n < plan_.restarts; ++n) {
            const auto proxy = (n * 7919 + plan_.seed) % plan_.proxies;
            const auto name = hollowName(proxy);
            if (before.emplace(name, ready_[name].size()).second) {
                asked.emplace_back(name, now());
                const auto line = "restart " + name + "\n";
                ErrorCode code;
                co_await asio::async_write(
                    *processes_
                         .at("hollow-from-" + std::to_string(proxy / plan_.perProcess * plan_.perProcess))
                         .in,
                    asio::buffer(line), withErrorCode(code));
            }
            co_await sleep(plan_.restartEvery * kMillisecond);
        }
        const auto back = [&](const auto& one) { return ready_[one.first].size() > before[one.first]; };
        co_await until([&] { return std::all_of(asked.begin(), asked.end(), back); }, kForceWithin);
        std::vector<Nanos> times;
        for (const auto& one : asked)
            if (back(one)) times.push_back(ready_[one.first].back() - one.second);
        time("restart of a foyer (500 ms away) until ready",
             {{"spread", spread(times)}, {"missing", asked.size() - times.size()}});
        report("restarts", from, mark());
    }

    // The control node that follows the platform's list.
    std::int64_t onDuty(const Mark& from, const Mark& to) const {
        std::int64_t most = 0;
        std::uint64_t bytes = 0;
        for (std::int64_t n = 0; n < plan_.controlNodes; ++n) {
            const auto flows = to.reading.flows(from.reading, controlNodeName(n), roles());
            if (const auto flow = flows.find("outside"); flow != flows.end() && flow->second.in > bytes)
                bytes = flow->second.in, most = n;
        }
        return most;
    }

    Task<> phaseLoss(std::int64_t lost) {
        const auto from = mark();
        const auto ended = ended_;
        stop(processes_.at(controlNodeName(lost)));
        const Nanos at = now();
        const auto lists = platform_.wholes.size();
        co_await until([&] { return platform_.wholes.size() > lists; }, kForceWithin);
        const Nanos list = platform_.wholes.size() > lists ? platform_.wholes.back() - at : 0;
        const auto known = co_await podChange();
        const Nanos knownAt = now() - at;
        co_await replace(plan_.changes + 1);
        const Nanos acknowledged = now();
        co_await until(
            [&] {
                return reportedAt(2 + plan_.changes, 0).size() >= static_cast<std::size_t>(plan_.proxies);
            },
            kForceWithin);
        auto held = reportedAt(2 + plan_.changes, acknowledged);
        if (now() - at < kDownFor) co_await sleep(at + kDownFor - now());
        const auto lostEnds = ended_ - ended;
        const auto middle = mark();
        const auto name = controlNodeName(lost);
        const Nanos back = now();
        launch(name, "prompter", {"control-plane"}, settings(name, true, lost, false));
        const bool joined = co_await until(
            [&] { return links_[controlNodeAt(lost, 0)].size() >= static_cast<std::size_t>(plan_.proxies); },
            kForceWithin);
        const Nanos linked = now() - back;
        co_await sleep(plan_.settle * kMillisecond);
        time("prompter on duty lost until the next whole list",
             {{"spread", list > 0 ? spread({list}) : Json()}});
        time("pod draining after that, until known to the last foyer",
             {{"spread", known > 0 ? spread({known}) : Json()}, {"known_after_ms", knownAt / kMillisecond}});
        time("change acknowledged without it until at the last foyer",
             {{"spread", held.empty() ? Json() : spread({*std::max_element(held.begin(), held.end())})},
              {"missing", plan_.proxies - static_cast<std::int64_t>(held.size())}});
        time("prompter back until linked to all", {{"spread", joined ? spread({linked}) : Json()},
                                                   {"links_ended_by_loss", lostEnds},
                                                   {"links_ended_by_return", ended_ - ended - lostEnds}});
        report("loss", from, middle);
        report("return", middle, mark());
    }

    Task<> phases() {
        co_await phaseStart();
        phase_ = "steady";
        co_await sleep(plan_.settle * kMillisecond);
        const auto from = mark();
        const auto ended = ended_;
        co_await sleep(plan_.steady * kMillisecond);
        const auto to = mark();
        if (plan_.steady > 0) report("steady", from, to);
        print({{"phase", "steady"}, {"links_ended", ended_ - ended}, {"list_calls", platform_.calls}});
        phase_ = "changes";
        co_await phaseChanges();
        phase_ = "pods";
        co_await phasePods();
        phase_ = "restarts";
        co_await phaseRestarts();
        phase_ = "loss";
        if (plan_.loss != 0) co_await phaseLoss(onDuty(from, to));
        whole_ = true;
    }

    Task<> guarded() {
        try {
            co_await phases();
        } catch (const std::exception& failure) {
            why_ = phase_ + ": " + failure.what();
        }
        io_.stop();
    }

    Task<> limit() {
        co_await sleep(plan_.limit * kSecond);
        why_ = phase_ + ": over limit_s";
        io_.stop();
    }

    Task<> watchMemory() {
        const auto half = memory().total / 2;
        for (;;) {
            std::uint64_t sum = 0;
            for (const auto& [_, process] : processes_)
                if (process.id > 0) sum += resident(process.id);
            most_ = std::max(most_, sum);
            if (sum > half) {
                why_ = phase_ + ": over half of the machine's memory";
                io_.stop();
            }
            co_await sleep(kSecond / 2);
        }
    }

    const ScenarioConfig plan_;
    std::string program_, folder_;
    asio::io_context io_{1};
    Platform platform_;
    int port_ = 0;
    std::map<std::string, Process> processes_;
    std::map<std::string, std::vector<Nanos>> ready_;  // by proxy, one a life
    std::map<std::string, std::vector<std::pair<Nanos, std::int64_t>>> applied_;
    std::map<std::string, std::map<std::string, Nanos>> pods_;  // draining or gone: by id and proxy
    std::map<std::string, std::set<std::string>> links_;        // open, by control node
    std::map<std::string, Json> tallies_;
    std::map<std::string, std::map<std::string, std::int64_t>> logs_;  // records by role and event
    std::uint64_t ended_ = 0, resent_ = 0, most_ = 0;
    std::size_t bodyBytes_ = 0;
    const Nanos began_ = now();
    bool whole_ = false;
    std::string phase_ = "start", why_;
    std::vector<std::vector<Json>> costs_, times_;
};

}  // namespace

bool scale(const ScenarioConfig& plan, const std::string& program) { return Scale(plan, program).run(); }

}  // namespace lichenlanding::scale_test
