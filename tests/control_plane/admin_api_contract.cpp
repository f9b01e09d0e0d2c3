// The operators' calls as docs/api/gateway.openapi.yaml has them, against the program: for each field that
// the file names, a configuration in which only that field is wrong is refused, and the refusal names it.
// Each status that the file names is brought about, none other, with the headers and fields that it requires.
#include <yaml-cpp/yaml.h>

#include <nlohmann/json.hpp>

#include "config/configuration.hpp"
#include "support/admin_api_fixture.hpp"
#include "support/transcript.hpp"

using namespace lichenlanding;
using Json = nlohmann::json;
namespace http = boost::beast::http;

namespace {

// What stands for a schema's field, right and wrong.
Json example(const YAML::Node& schema, bool right) {
    if (schema["$ref"]) return right ? Json("1500ms") : Json("soon");  // Time
    const auto type = schema["type"].as<std::string>();
    if (type == "integer") return right ? Json(5) : Json(-1);
    if (schema["enum"]) return right ? Json(schema["enum"][0].as<std::string>()) : Json("sometimes");
    if (schema["pattern"]) return right ? Json("/a/") : Json("a");
    if (type == "array") return right ? Json(Json::array({{{"service_name", "s"}, {"weight", 1}}})) : Json(7);
    return right ? Json("s") : Json(7);
}

std::string tell(const Json& configuration) {
    try {
        config::Configuration::parse(configuration.dump());
        return "taken";
    } catch (const config::ValidationError& refusal) {
        std::string all;
        for (const auto& mistake : refusal.errors) all += (all.empty() ? "" : "; ") + mistake;
        return all;
    }
}

}  // namespace

class AdminApiContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdminApiContractTest);
    CPPUNIT_TEST(wrongFieldIsNamed);
    CPPUNIT_TEST(documentedStatusesAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    // Those of 413 and 431, which the connection answers, are brought about in the tests of callers.
    void documentedStatusesAreAnswered() {
        const auto file = YAML::LoadFile(OPENAPI);
        const auto documented = file["paths"]["/api/rpc"]["post"]["responses"];
        using admin_api_fixture::configuration;
        admin_api_fixture::AdminApiFixture fixture;
        std::map<std::string, std::vector<control_plane::AdminResponse>> seen;
        const auto ask = [&](const std::string& call, const std::string& body) {
            const auto response = fixture.call(call, body);
            seen[std::to_string(response.result_int())].push_back(response);
        };
        ask("config.read", ""), ask("config.other", ""), ask("rollouts.read&of=s", "");
        ask("config.replace", "{}"), ask("rollouts.begin", "{}");
        ask("config.replace", configuration("00000002"));
        ask("config.replace", configuration("00000002", "/b/"));
        ask("rollouts.begin", admin_api_fixture::rollout("v2", "12s"));
        ask("rollouts.begin", admin_api_fixture::rollout("v2", "15s"));
        ask("config.read", ""), ask("rollouts.read&of=s", ""), ask("status", "");
        const auto read = fixture.ask("/api/rpc?call=config.read", "", http::verb::get);
        seen[std::to_string(read.result_int())].push_back(read);
        fixture.reg.contact = false;
        ask("config.replace", configuration("00000003"));
        seen["413"], seen["431"];
        for (const auto& [status, responses] : seen) {
            CPPUNIT_ASSERT_MESSAGE(status, documented[status]);
            for (const auto& response : responses) {
                for (const auto& header : documented[status]["headers"])
                    if (header.second["required"].as<bool>(false))
                        CPPUNIT_ASSERT_MESSAGE(status + " without " + header.first.as<std::string>(),
                                               response.count(header.first.as<std::string>()) == 1);
                const auto content = documented[status]["content"];
                if (!content) continue;
                const auto schema = content["application/json"]["schema"]["$ref"];
                const auto name =
                    schema.as<std::string>().substr(std::string("#/components/schemas/").size());
                const auto body = Json::parse(response.body());
                for (const auto& field : file["components"]["schemas"][name]["required"])
                    CPPUNIT_ASSERT_MESSAGE(status + " " + response.body(),
                                           body.contains(field.as<std::string>()));
                for (const auto& [field, _] : body.items())
                    CPPUNIT_ASSERT_MESSAGE(status + " tells " + field,
                                           file["components"]["schemas"][name]["properties"][field]);
            }
        }
        for (const auto& status : documented)
            CPPUNIT_ASSERT_MESSAGE(status.first.as<std::string>(),
                                   seen.contains(status.first.as<std::string>()));
        const auto& clashes = seen["409"];
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, clashes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("00000002"),
                             Json::parse(clashes[0].body()).at("config_version").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                             Json::parse(clashes[1].body()).at("target_version").get<std::string>());
    }

    void wrongFieldIsNamed() {
        const auto schemas = YAML::LoadFile(OPENAPI)["components"]["schemas"];
        std::string seen;
        const std::vector<std::pair<std::string, std::string>> kinds{
            {"Route", "route_table"}, {"Service", "service_table"}, {"Limits", "limits"}};
        Json whole{{"config_version", "00000001"}, {"resources", Json::array()}};
        for (const auto& [schema, kind] : kinds) {
            Json spec = Json::object();
            for (const auto& field : schemas[schema]["properties"])
                spec[field.first.as<std::string>()] = example(field.second, true);
            whole["resources"].push_back(
                {{"resource_type", kind}, {"metadata", {{"name", "s"}}}, {"spec", spec}});
        }
        whole["resources"][0]["spec"].erase("traffic_split");  // instead of service_name, not beside it
        CPPUNIT_ASSERT_EQUAL(std::string("taken"), tell(whole));
        std::size_t at = 0;
        for (const auto& [schema, kind] : kinds) {
            for (const auto& field : schemas[schema]["properties"]) {
                const auto name = field.first.as<std::string>();
                auto wrong = whole;
                auto& spec = wrong["resources"][at]["spec"];
                if (name == "traffic_split") spec.erase("service_name");
                spec[name] = example(field.second, false);
                const auto told = tell(wrong);
                CPPUNIT_ASSERT_MESSAGE(schema + "." + name + ": " + told,
                                       told.find(name) != std::string::npos);
                seen += schema + "." + name + ": " + told + "\n";
            }
            for (const auto& required : schemas[schema]["required"]) {
                auto wrong = whole;
                wrong["resources"][at]["spec"].erase(required.as<std::string>());
                const auto told = tell(wrong);
                CPPUNIT_ASSERT_MESSAGE(told, told.find(required.as<std::string>()) != std::string::npos);
                seen += schema + " without " + required.as<std::string>() + ": " + told + "\n";
            }
            ++at;
        }
        approve("contract-fields", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdminApiContractTest);
