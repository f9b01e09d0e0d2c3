// The scale test with a small scenario. Checks counts but no durations, which depend on the machine.
#include <sys/wait.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <ctime>
#include <sstream>

#include "config/configuration.hpp"
#include "scale_test/measure.hpp"
#include "scale_test/platform.hpp"
#include "scale_test/report.hpp"
#include "scale_test/scenario_config.hpp"
#include "support/transcript.hpp"

using namespace lichenlanding;
using Json = nlohmann::json;

class ScaleRunTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ScaleRunTest);
    CPPUNIT_TEST(settingsAreCheckedByName);
    CPPUNIT_TEST(configurationsAreValidAndGrow);
    CPPUNIT_TEST(quantilesAreObservedTimes);
    CPPUNIT_TEST(connectionTrafficIsCounted);
    CPPUNIT_TEST(smallRunCompletes);
    CPPUNIT_TEST(tooManyProcessesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static std::pair<int, std::vector<std::string>> runProgram(const std::string& arguments) {
        const auto command =
            std::string(GATEWAY " scale-test " TRANSCRIPTS "/../../bench/scale/") + arguments + " 2>&1";
        std::pair<int, std::vector<std::string>> result;
        auto* out = popen(command.c_str(), "r");
        CPPUNIT_ASSERT(out);
        std::string text;
        char part[4096];
        while (const auto received = fread(part, 1, sizeof part, out)) text.append(part, received);
        result.first = WEXITSTATUS(pclose(out));
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) result.second.push_back(line);
        return result;
    }

    static std::string errorOf(const std::string& name, const std::string& value) {
        scale_test::ScenarioConfig scenario;
        try {
            scenario.set(name, value);
        } catch (const std::runtime_error& error) {
            return error.what();
        }
        return "accepted";
    }

  public:
    void settingsAreCheckedByName() {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), errorOf("proxies", "1300"));
        CPPUNIT_ASSERT_EQUAL(std::string("proxies: must be 1 to 3000"), errorOf("proxies", "0"));
        CPPUNIT_ASSERT_EQUAL(std::string("proxies: not a whole number: many"), errorOf("proxies", "many"));
        CPPUNIT_ASSERT_EQUAL(std::string("proxy: unknown setting"), errorOf("proxy", "1"));
        // Names of the previous version are accepted for one version; errors give the current name.
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), errorOf("foyers", "1300"));
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), errorOf("real_foyers", "2"));
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), errorOf("foyers_per_process", "50"));
        CPPUNIT_ASSERT_EQUAL(std::string("control_nodes: must be 1 to 9"), errorOf("prompters", "0"));
        scale_test::ScenarioConfig scenario;
        scenario.set("pods", "15000"), scenario.set("loss", "true");
        const auto restored = scale_test::ScenarioConfig::from(scenario.describe());
        CPPUNIT_ASSERT(restored.describe() == scenario.describe());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{15000}, restored.pods);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, restored.loss);
    }

    void configurationsAreValidAndGrow() {
        scale_test::ScenarioConfig scenario;
        scenario.routes = 300;
        const auto first = config::Configuration::parse(scale_test::buildConfiguration(scenario, 0));
        const auto third = config::Configuration::parse(scale_test::buildConfiguration(scenario, 2));
        CPPUNIT_ASSERT_EQUAL(1U, first.version);
        CPPUNIT_ASSERT_EQUAL(3U, third.version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, first.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{302}, third.routes.size());
        const auto path = scale_test::addedRoutePath(2) + "x";
        CPPUNIT_ASSERT(!first.findRoute(scale_test::kAddedRouteHost, path));
        CPPUNIT_ASSERT(third.findRoute(scale_test::kAddedRouteHost, path));
    }

    void quantilesAreObservedTimes() {
        std::vector<Nanos> times;
        for (int n = 100; n >= 1; --n) times.push_back(n * 1'000'000);
        const auto summary = scale_test::summarizeTimes(times);
        CPPUNIT_ASSERT_EQUAL(50.0, summary.at("median_ms").get<double>());
        CPPUNIT_ASSERT_EQUAL(99.0, summary.at("p99_ms").get<double>());
        CPPUNIT_ASSERT_EQUAL(100.0, summary.at("max_ms").get<double>());
        CPPUNIT_ASSERT(scale_test::summarizeTimes({}).is_null());
        CPPUNIT_ASSERT_EQUAL(std::string("| a | b |\n| --- | ---: |\n| x | 1.23 |\n| - | 0.0457 |\n"),
                             scale_test::markdownTable({"a", "b"}, {{"x", 1.2345}, {nullptr, 0.04567}}));
    }

    // Traffic of a connection between two readings of this process, as reported by the kernel.
    void connectionTrafficIsCounted() {
        using namespace transport;
        asio::io_context io;
        auto acceptor = listen(io, "127.0.0.1:0");
        tcp::socket client(io);
        client.connect(acceptor.local_endpoint());
        auto server = acceptor.accept();
        const std::map<std::string, pid_t> ids{{"me", getpid()}};
        const auto before = scale_test::UsageReading::capture(ids);
        asio::write(client, asio::buffer(std::string(1000, 'x')));
        std::string received(1000, ' ');
        asio::read(server, asio::buffer(received));
        // The kernel updates a running thread's CPU time at timer ticks, so this runs for many of them.
        const auto cpuMilliseconds = [] {
            timespec cpuTime{};
            clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpuTime);
            return cpuTime.tv_sec * 1000 + cpuTime.tv_nsec / 1'000'000;
        };
        for (const auto start = cpuMilliseconds(); cpuMilliseconds() < start + 60;) {
        }
        const auto after = scale_test::UsageReading::capture(ids);
        const auto flows = after.flows(before, "me", {{"me", "role"}});
        const auto flow = flows.find("role");
        CPPUNIT_ASSERT(flow != flows.end());
        CPPUNIT_ASSERT(flow->second.open >= 2);
        CPPUNIT_ASSERT(flow->second.bytesIn >= 1000 && flow->second.bytesIn < 2000);
        CPPUNIT_ASSERT(after.usage.at("me").cpu > before.usage.at("me").cpu);
        CPPUNIT_ASSERT(after.usage.at("me").memory > 0);
    }

    void smallRunCompletes() {
        const auto [status, lines] = runProgram("small.toml");
        std::string result;
        for (const auto& line : lines) result += line + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result, 0, status);
        std::map<std::string, Json> times;
        Json end;
        Json simulatedProxies;
        std::map<std::string, int> controlNodes;
        for (const auto& line : lines) {
            const auto record = Json::parse(line, nullptr, false);
            if (!record.is_object()) continue;
            if (record.contains("time")) times[record.at("time").get<std::string>()] = record;
            if (record.value("phase", "") == "end") end = record;
            if (record.value("role", "") == "control_node")
                ++controlNodes[record.at("phase").get<std::string>()];
            if (record.value("role", "") == "hollow" && record.at("phase") == "changes")
                simulatedProxies = record;
        }
        const auto countOf = [&](const char* what) {
            CPPUNIT_ASSERT_MESSAGE(what, times.contains(what));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, times.at(what).value("missing", 0));
            return times.at(what).at("spread").at("n").get<int>();
        };
        CPPUNIT_ASSERT_EQUAL(13, countOf("start until ready"));  // 12 simulated proxies and a real one
        CPPUNIT_ASSERT_EQUAL(2, countOf("change acknowledged until at the last proxy"));
        CPPUNIT_ASSERT_EQUAL(2, countOf("change acknowledged until served by a real proxy"));
        CPPUNIT_ASSERT_EQUAL(2, countOf("pod draining until known to the last proxy"));
        CPPUNIT_ASSERT_EQUAL(2, countOf("restart of a proxy (500 ms away) until ready"));
        for (const auto* phase : {"start", "steady", "changes", "pods", "restarts"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(phase, 3, controlNodes[phase]);
        CPPUNIT_ASSERT_EQUAL(3.0,
                             simulatedProxies.at("each").at("control_node").at("connections").get<double>());
        CPPUNIT_ASSERT(simulatedProxies.at("each").at("control_node").at("messages_in_s").get<double>() > 0);
        CPPUNIT_ASSERT(end.at("whole").get<bool>());
        CPPUNIT_ASSERT_EQUAL(7, end.at("seed").get<int>());
    }

    void tooManyProcessesAreRejected() {
        const auto [status, lines] = runProgram("small.toml --set proxies=3000 --set proxies_per_process=1");
        CPPUNIT_ASSERT_EQUAL(1, status);
        CPPUNIT_ASSERT(lines.back().find("proxies_per_process: more than 200 processes") !=
                       std::string::npos);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ScaleRunTest);
