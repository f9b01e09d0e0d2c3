// Configurations: what is refused, with which words; which route takes a path.
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

std::string whole(const std::string& routes, const std::string& version = "0000000c") {
    return R"({"config_version":")" + version + R"(","resources":[)" + (routes.empty() ? "" : routes + ",") +
           kServices + "]}";
}

std::string errors(const std::string& body) {
    try {
        return "taken, version " + formatVersion(Configuration::parse(body).version) + "\n";
    } catch (const ValidationError& refusal) {
        std::string text;
        for (const auto& mistake : refusal.errors) text += "  " + mistake + "\n";
        return "refused\n" + text;
    }
}

}  // namespace

class ConfigurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(mistakesAreAllNamed);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(routeIsFoundAmongMany);
    CPPUNIT_TEST(settingsFileIsReadOrRefused);
    CPPUNIT_TEST_SUITE_END();

  public:
    void mistakesAreAllNamed() {
        const auto good = route("r", "/p/", kTimes + kToA);
        std::string seen;
        const auto see = [&](const char* what, const std::string& body) {
            seen += std::string(what) + ": " + errors(body);
        };
        see("as it should be", whole(good));
        see("cut short", whole(good).substr(0, 200));
        see("no object", "[]");
        see("empty", "");
        see("unknown service", whole(route("r", "/p/", kTimes + R"("service_name":"c")")));
        see("same place twice", whole(good + "," + route("s", "/p/", kTimes + kToA)));
        see("weights of 0",
            whole(route(
                "r", "/p/",
                kTimes +
                    R"("traffic_split":[{"service_name":"a","weight":0},{"service_name":"b","weight":0}])")));
        see("timeout over ten minutes",
            whole(route("r", "/p/", R"("timeout":"601s","target_latency":"600ms",)" + kToA)));
        see("target a minute above the timeout",
            whole(route("r", "/p/", R"("timeout":"1500ms","target_latency":"61.5s",)" + kToA)));
        see("target just below that",
            whole(route("r", "/p/", R"("timeout":"1500ms","target_latency":"61.499s",)" + kToA)));
        see("version of seven digits", whole(good, "000000c"));
        see("version of other letters", whole(good, "0000000g"));
        see("prefix without its slash", whole(route("r", "/p", kTimes + kToA)));
        see("time of another kind",
            whole(route("r", "/p/", R"("timeout":1500,"target_latency":"fast",)" + kToA)));
        see("negative weight",
            whole(route("r", "/p/", kTimes + R"("traffic_split":[{"service_name":"a","weight":-1}])")));
        see("no service", whole(route("r", "/p/", R"("timeout":"1s","target_latency":"1s")")));
        see("all at once", whole(route("r", "p", R"("timeout":"700s")") + R"(,{"resource_type":"table"})"));
        approve("configuration-errors", seen);
    }

    void longestPrefixWins() {
        const auto configuration = Configuration::parse(whole(
            route("short", "/a/", kTimes + kToA) + "," + route("long", "/a/b/", kTimes + kToA) + "," +
            route(
                "root", "/",
                kTimes +
                    R"("traffic_split":[{"service_name":"a","weight":90},{"service_name":"b","weight":10}])")));
        std::string seen;
        for (const auto* path :
             {"/a/1", "/a/b/1", "/a/b", "/a/b/?q=/a/", "/ab/1", "/", "/?x", "/a/b/c/d/e", "", "a/"}) {
            const auto* found = configuration.findRoute("H.example:80", path);
            seen += std::string("'") + path + "' -> " + (found ? found->name : "none") + "\n";
        }
        seen += std::string("other host -> ") +
                (configuration.findRoute("i.example", "/a/1") ? "some" : "none") + "\n";
        const auto* root = configuration.findRoute("h.example", "/");
        seen += "draws 0, 89, 90, 99 -> ";
        for (int draw : {0, 89, 90, 99}) seen += root->serviceForDraw(draw) + " ";
        approve("configuration-routes", seen + "\n");
    }

    void routeIsFoundAmongMany() {
        std::string all;
        for (int at = 0; at < 520; ++at)
            all += (at ? "," : "") +
                   route("r" + std::to_string(at), "/p" + std::to_string(at) + "/", kTimes + kToA);
        const auto configuration = Configuration::parse(whole(all));
        for (int at = 0; at < 520; ++at)
            CPPUNIT_ASSERT_EQUAL(
                "r" + std::to_string(at),
                configuration.findRoute("h.example", "/p" + std::to_string(at) + "/x")->name);
    }

    void settingsFileIsReadOrRefused() {
        const std::string rest =
            R"("ip_address":"127.0.0.9","zone":"z","internal_ports":[7720,7735],"seed_nodes":[],"cloud_api":{"address":"127.0.0.1:1"},"new_field":[1])";
        std::string seen;
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
                const auto boot = BootstrapSettings::parse(text);
                seen += what + ": slack " + std::to_string(boot.retrySlack) + ", drain " +
                        std::to_string(boot.drainTime) + " ns, at " + boot.peerAddress(boot.ip) + "\n";
            } catch (const std::runtime_error& wrong) {
                seen += what + ": " + wrong.what() + "\n";
            }
        }
        approve("bootstrap-settings", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
