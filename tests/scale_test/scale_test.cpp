// The scale run at a small size: what is counted, never how long it took.
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
    CPPUNIT_TEST(quantilesAreOfTheTimesThemselves);
    CPPUNIT_TEST(aConnectionIsCounted);
    CPPUNIT_TEST(aSmallRunComesToItsEnd);
    CPPUNIT_TEST(whatHasNoRoomIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static std::pair<int, std::vector<std::string>> scale(const std::string& words) {
        const auto command =
            std::string(GATEWAY " scale-test " TRANSCRIPTS "/../../bench/scale/") + words + " 2>&1";
        std::pair<int, std::vector<std::string>> all;
        auto* out = popen(command.c_str(), "r");
        CPPUNIT_ASSERT(out);
        std::string text;
        char part[4096];
        while (const auto got = fread(part, 1, sizeof part, out)) text.append(part, got);
        all.first = WEXITSTATUS(pclose(out));
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) all.second.push_back(line);
        return all;
    }

    static std::string refusal(const std::string& name, const std::string& value) {
        scale_test::ScenarioConfig plan;
        try {
            plan.set(name, value);
        } catch (const std::runtime_error& wrong) {
            return wrong.what();
        }
        return "taken";
    }

  public:
    void settingsAreCheckedByName() {
        CPPUNIT_ASSERT_EQUAL(std::string("taken"), refusal("proxies", "1300"));
        CPPUNIT_ASSERT_EQUAL(std::string("proxies: must be 1 to 3000"), refusal("proxies", "0"));
        CPPUNIT_ASSERT_EQUAL(std::string("proxies: no whole number: many"), refusal("proxies", "many"));
        CPPUNIT_ASSERT_EQUAL(std::string("proxy: no such setting"), refusal("proxy", "1"));
        // Names of the version before are accepted for one version; what is wrong is told by the present
        // name.
        CPPUNIT_ASSERT_EQUAL(std::string("taken"), refusal("foyers", "1300"));
        CPPUNIT_ASSERT_EQUAL(std::string("taken"), refusal("real_foyers", "2"));
        CPPUNIT_ASSERT_EQUAL(std::string("taken"), refusal("foyers_per_process", "50"));
        CPPUNIT_ASSERT_EQUAL(std::string("control_nodes: must be 1 to 9"), refusal("prompters", "0"));
        scale_test::ScenarioConfig plan;
        plan.set("pods", "15000"), plan.set("loss", "true");
        const auto again = scale_test::ScenarioConfig::from(plan.describe());
        CPPUNIT_ASSERT(again.describe() == plan.describe());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{15000}, again.pods);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, again.loss);
    }

    void configurationsAreValidAndGrow() {
        scale_test::ScenarioConfig plan;
        plan.routes = 300;
        const auto first = config::Configuration::parse(scale_test::configuration(plan, 0));
        const auto third = config::Configuration::parse(scale_test::configuration(plan, 2));
        CPPUNIT_ASSERT_EQUAL(1U, first.version);
        CPPUNIT_ASSERT_EQUAL(3U, third.version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, first.routes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{302}, third.routes.size());
        const auto path = scale_test::changedPath(2) + "x";
        CPPUNIT_ASSERT(!first.findRoute(scale_test::kChangedHost, path));
        CPPUNIT_ASSERT(third.findRoute(scale_test::kChangedHost, path));
    }

    void quantilesAreOfTheTimesThemselves() {
        std::vector<Nanos> times;
        for (int n = 100; n >= 1; --n) times.push_back(n * 1'000'000);
        const auto told = scale_test::spread(times);
        CPPUNIT_ASSERT_EQUAL(50.0, told.at("median_ms").get<double>());
        CPPUNIT_ASSERT_EQUAL(99.0, told.at("p99_ms").get<double>());
        CPPUNIT_ASSERT_EQUAL(100.0, told.at("max_ms").get<double>());
        CPPUNIT_ASSERT(scale_test::spread({}).is_null());
        CPPUNIT_ASSERT_EQUAL(std::string("| a | b |\n| --- | ---: |\n| x | 1.23 |\n| - | 0.0457 |\n"),
                             scale_test::table({"a", "b"}, {{"x", 1.2345}, {nullptr, 0.04567}}));
    }

    // Bytes by connection, as the kernel tells them, between two readings of this process.
    void aConnectionIsCounted() {
        using namespace transport;
        asio::io_context io;
        auto door = listen(io, "127.0.0.1:0");
        tcp::socket one(io);
        one.connect(door.local_endpoint());
        auto other = door.accept();
        const std::map<std::string, pid_t> ids{{"me", getpid()}};
        const auto before = scale_test::Reading::take(ids);
        asio::write(one, asio::buffer(std::string(1000, 'x')));
        std::string got(1000, ' ');
        asio::read(other, asio::buffer(got));
        // The kernel adds a running thread's time up at its ticks: work of many of them lies in between.
        const auto spent = [] {
            timespec told{};
            clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &told);
            return told.tv_sec * 1000 + told.tv_nsec / 1'000'000;
        };
        for (const auto from = spent(); spent() < from + 60;) {
        }
        const auto after = scale_test::Reading::take(ids);
        const auto flows = after.flows(before, "me", {{"me", "role"}});
        const auto flow = flows.find("role");
        CPPUNIT_ASSERT(flow != flows.end());
        CPPUNIT_ASSERT(flow->second.open >= 2);
        CPPUNIT_ASSERT(flow->second.in >= 1000 && flow->second.in < 2000);
        CPPUNIT_ASSERT(after.costs.at("me").cpu > before.costs.at("me").cpu);
        CPPUNIT_ASSERT(after.costs.at("me").memory > 0);
    }

    void aSmallRunComesToItsEnd() {
        const auto [status, lines] = scale("small.toml");
        std::string all;
        for (const auto& line : lines) all += line + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all, 0, status);
        std::map<std::string, Json> times;
        Json end;
        Json hollow;
        std::map<std::string, int> controlNodes;
        for (const auto& line : lines) {
            const auto read = Json::parse(line, nullptr, false);
            if (!read.is_object()) continue;
            if (read.contains("time")) times[read.at("time").get<std::string>()] = read;
            if (read.value("phase", "") == "end") end = read;
            if (read.value("role", "") == "control_node") ++controlNodes[read.at("phase").get<std::string>()];
            if (read.value("role", "") == "hollow" && read.at("phase") == "changes") hollow = read;
        }
        const auto counted = [&](const char* what) {
            CPPUNIT_ASSERT_MESSAGE(what, times.contains(what));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, times.at(what).value("missing", 0));
            return times.at(what).at("spread").at("n").get<int>();
        };
        CPPUNIT_ASSERT_EQUAL(13, counted("start until ready"));  // 12 hollow proxies and a real one
        CPPUNIT_ASSERT_EQUAL(2, counted("change acknowledged until at the last proxy"));
        CPPUNIT_ASSERT_EQUAL(2, counted("change acknowledged until served by a real proxy"));
        CPPUNIT_ASSERT_EQUAL(2, counted("pod draining until known to the last proxy"));
        CPPUNIT_ASSERT_EQUAL(2, counted("restart of a proxy (500 ms away) until ready"));
        for (const auto* phase : {"start", "steady", "changes", "pods", "restarts"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(phase, 3, controlNodes[phase]);
        CPPUNIT_ASSERT_EQUAL(3.0, hollow.at("each").at("control_node").at("connections").get<double>());
        CPPUNIT_ASSERT(hollow.at("each").at("control_node").at("messages_in_s").get<double>() > 0);
        CPPUNIT_ASSERT(end.at("whole").get<bool>());
        CPPUNIT_ASSERT_EQUAL(7, end.at("seed").get<int>());
    }

    void whatHasNoRoomIsRefused() {
        const auto [status, lines] = scale("small.toml --set proxies=3000 --set proxies_per_process=1");
        CPPUNIT_ASSERT_EQUAL(1, status);
        CPPUNIT_ASSERT(lines.back().find("proxies_per_process: over 200 processes") != std::string::npos);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ScaleRunTest);
