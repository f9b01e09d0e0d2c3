// Validation errors of configurations and settings files, and the route that a path matches.
#include "config/configuration.hpp"

#include "config/bootstrap_settings.hpp"
#include "support/transcript.hpp"

using namespace lichenlanding;
using namespace lichenlanding::config;

namespace {

std::string route(const std::string& name, const std::string& prefix, const std::string& more) {
    return R"({"resource_type":"route_table","metadata":{"name":")" + name +
           R"("},"spec":{"hostname":"h.example","path_prefix":")" + prefix +
           R"(","route_class":"idempotent","max_attempts":2,"priority":1,)" + more + "}}";
}
const std::string kTimes = R"("timeout":"1500ms","target_latency":"0.6s",)";
const std::string kToA = R"("service_name":"a")";
const std::string kServices =
    R"({"resource_type":"service_table","metadata":{"name":"a"},"spec":{"health_check":"/health","max_connections":9}},)"
    R"({"resource_type":"service_table","metadata":{"name":"b"},"spec":{}},)"
    R"({"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":4096,"idle_timeout":"7s"}})";

std::string configurationWith(const std::string& routes, const std::string& version = "0000000c") {
    return R"({"config_version":")" + version + R"(","resources":[)" + (routes.empty() ? "" : routes + ",") +
           kServices + "]}";
}

std::string validate(const std::string& body) {
    try {
        return "taken, version " + formatVersion(Configuration::parse(body).version) + "\n";
    } catch (const ValidationError& error) {
        std::string text;
        for (const auto& message : error.errors) text += "  " + message + "\n";
        return "refused\n" + text;
    }
}

}  // namespace

class ConfigurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(mistakesAreAllNamed);
    CPPUNIT_TEST(onlySomeOfManyMistakesAreNamed);
    CPPUNIT_TEST(deepAndLongResourcesAreRefused);
    CPPUNIT_TEST(laterFieldsReplaceEarlierOnes);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(routeIsFoundAmongMany);
    CPPUNIT_TEST(settingsFileIsReadOrRefused);
    CPPUNIT_TEST_SUITE_END();

  public:
    void mistakesAreAllNamed() {
        const auto good = route("r", "/p/", kTimes + kToA);
        std::string transcript;
        const auto record = [&](const char* what, const std::string& body) {
            transcript += std::string(what) + ": " + validate(body);
        };
        record("as it should be", configurationWith(good));
        record("cut short", configurationWith(good).substr(0, 200));
        record("no object", "[]");
        record("empty", "");
        record("unknown service", configurationWith(route("r", "/p/", kTimes + R"("service_name":"c")")));
        record("same place twice", configurationWith(good + "," + route("s", "/p/", kTimes + kToA)));
        record(
            "weights of 0",
            configurationWith(route(
                "r", "/p/",
                kTimes +
                    R"("traffic_split":[{"service_name":"a","weight":0},{"service_name":"b","weight":0}])")));
        record("timeout over ten minutes",
               configurationWith(route("r", "/p/", R"("timeout":"601s","target_latency":"600ms",)" + kToA)));
        record(
            "target a minute above the timeout",
            configurationWith(route("r", "/p/", R"("timeout":"1500ms","target_latency":"61.5s",)" + kToA)));
        record(
            "target just below that",
            configurationWith(route("r", "/p/", R"("timeout":"1500ms","target_latency":"61.499s",)" + kToA)));
        record("version of seven digits", configurationWith(good, "000000c"));
        record("version of other letters", configurationWith(good, "0000000g"));
        record("prefix without its slash", configurationWith(route("r", "/p", kTimes + kToA)));
        record("time of another kind",
               configurationWith(route("r", "/p/", R"("timeout":1500,"target_latency":"fast",)" + kToA)));
        record("negative weight",
               configurationWith(
                   route("r", "/p/", kTimes + R"("traffic_split":[{"service_name":"a","weight":-1}])")));
        record("no service", configurationWith(route("r", "/p/", R"("timeout":"1s","target_latency":"1s")")));
        record("all at once",
               configurationWith(route("r", "p", R"("timeout":"700s")") + R"(,{"resource_type":"table"})"));
        approve("configuration-errors", transcript);
    }

    void onlySomeOfManyMistakesAreNamed() {
        constexpr std::size_t kMistakes = 1000;
        std::string all = "1";
        for (std::size_t number = 1; number < kMistakes; ++number) all += ",1";
        try {
            Configuration::parse(R"({"config_version":"0000000c","resources":[)" + all + "]}");
            CPPUNIT_FAIL("accepted");
        } catch (const ValidationError& error) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{101}, error.errors.size());
            CPPUNIT_ASSERT_EQUAL(std::string("further mistakes, if any, are not listed"),
                                 error.errors.back());
        }
    }

    void deepAndLongResourcesAreRefused() {
        const auto nested = [](std::size_t depth) {
            return configurationWith(
                route("r", "/p/",
                      kTimes + kToA + R"(,"more":)" + std::string(depth, '[') + std::string(depth, ']')));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("taken, version 0000000c\n"), validate(nested(20)));
        CPPUNIT_ASSERT_EQUAL(std::string("refused\n  body: is nested too deeply\n"), validate(nested(40)));
        std::string values = "1";
        while (values.size() < 50'000) values += ",1";
        CPPUNIT_ASSERT_EQUAL(
            std::string("refused\n  /resources/0: has too many values\n"),
            validate(configurationWith(route("r", "/p/", kTimes + kToA + R"(,"more":[)" + values + "]"))));
    }

    // As in other JSON readers, the last value of a name counts.
    void laterFieldsReplaceEarlierOnes() {
        const auto good = configurationWith(route("r", "/p/", kTimes + kToA));
        const auto configuration = Configuration::parse(
            R"({"resources":[7],"config_version":[{}],"other":{"resources":[1]},)" + good.substr(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, configuration.routes.size());
        CPPUNIT_ASSERT_EQUAL(12U, configuration.version);
        CPPUNIT_ASSERT_EQUAL(std::string("refused\n  /resources: must be a list\n"),
                             validate(good.substr(0, good.size() - 1) + R"(,"resources":{}})"));
    }

    void longestPrefixWins() {
        const auto configuration = Configuration::parse(configurationWith(
            route("short", "/a/", kTimes + kToA) + "," + route("long", "/a/b/", kTimes + kToA) + "," +
            route(
                "root", "/",
                kTimes +
                    R"("traffic_split":[{"service_name":"a","weight":90},{"service_name":"b","weight":10}])")));
        std::string transcript;
        for (const auto* path :
             {"/a/1", "/a/b/1", "/a/b", "/a/b/?q=/a/", "/ab/1", "/", "/?x", "/a/b/c/d/e", "", "a/"}) {
            const auto* found = configuration.findRoute("H.example:80", path);
            transcript += std::string("'") + path + "' -> " + (found ? found->name : "none") + "\n";
        }
        transcript += std::string("other host -> ") +
                      (configuration.findRoute("i.example", "/a/1") ? "some" : "none") + "\n";
        const auto* root = configuration.findRoute("h.example", "/");
        transcript += "draws 0, 89, 90, 99 -> ";
        for (int draw : {0, 89, 90, 99}) transcript += root->serviceForDraw(draw) + " ";
        approve("configuration-routes", transcript + "\n");
    }

    void routeIsFoundAmongMany() {
        std::string all;
        for (int at = 0; at < 520; ++at)
            all += (at ? "," : "") +
                   route("r" + std::to_string(at), "/p" + std::to_string(at) + "/", kTimes + kToA);
        const auto configuration = Configuration::parse(configurationWith(all));
        for (int at = 0; at < 520; ++at)
            CPPUNIT_ASSERT_EQUAL(
                "r" + std::to_string(at),
                configuration.findRoute("h.example", "/p" + std::to_string(at) + "/x")->name);
    }

    void settingsFileIsReadOrRefused() {
        const std::string rest =
            R"("ip_address":"127.0.0.9","zone":"z","internal_ports":[7720,7735],"seed_nodes":[],"cloud_api":{"address":"127.0.0.1:1"},"new_field":[1])";
        std::string transcript;
        for (const auto& [what, text] : std::vector<std::pair<std::string, std::string>>{
                 {"as it should be",
                  R"({"node_name":"n",)" + rest + R"(,"bounds":["retry_slack=64","drain=2.5s","other=x"]})"},
                 {"bounds on one line",
                  R"({"node_name":"n",)" + rest + R"(,"bounds":"retry_slack=7,drain=100ms"})"},
                 {"no name", "{" + rest + "}"},
                 {"name of another kind", R"({"node_name":3,)" + rest + "}"},
                 {"bound without a number",
                  R"({"node_name":"n",)" + rest + R"(,"bounds":["retry_slack=many"]})"},
                 {"bound without a unit", R"({"node_name":"n",)" + rest + R"(,"bounds":["drain=25"]})"},
                 {"heartbeat without a unit", R"({"node_name":"n","heartbeat":"15",)" + rest + "}"},
                 {"heartbeat of nothing", R"({"node_name":"n","heartbeat":"0ms",)" + rest + "}"},
                 {"no JSON", "node_name=n"}}) {
            try {
                const auto settings = BootstrapSettings::parse(text);
                transcript += what + ": slack " + std::to_string(settings.retrySlack) + ", drain " +
                              std::to_string(settings.drainTime) + " ns, at " +
                              settings.peerAddress(settings.ip) + "\n";
            } catch (const std::runtime_error& error) {
                transcript += what + ": " + error.what() + "\n";
            }
        }
        approve("bootstrap-settings", transcript);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
