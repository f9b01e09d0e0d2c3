// Checks the admin API against docs/api/gateway.openapi.yaml. For each documented field, a configuration in
// which only that field is invalid must be rejected with an error that names it. Each documented status must
// occur, and no other, with the required headers and fields.
#include <yaml-cpp/yaml.h>

#include <nlohmann/json.hpp>

#include "config/configuration.hpp"
#include "support/admin_api_fixture.hpp"
#include "support/transcript.hpp"

using namespace lichenlanding;
using Json = nlohmann::json;
namespace http = boost::beast::http;

namespace {

// A valid or an invalid example value for a field of a schema.
Json example(const YAML::Node& schema, bool valid) {
    if (schema["$ref"]) return valid ? Json("1500ms") : Json("soon");  // Time
    const auto type = schema["type"].as<std::string>();
    if (type == "integer") return valid ? Json(5) : Json(-1);
    if (schema["enum"]) return valid ? Json(schema["enum"][0].as<std::string>()) : Json("sometimes");
    if (schema["pattern"]) return valid ? Json("/a/") : Json("a");
    if (type == "array") return valid ? Json(Json::array({{{"service_name", "s"}, {"weight", 1}}})) : Json(7);
    return valid ? Json("s") : Json(7);
}

std::string validationResult(const Json& configuration) {
    try {
        config::Configuration::parse(configuration.dump());
        return "accepted";
    } catch (const config::ValidationError& rejection) {
        std::string all;
        for (const auto& error : rejection.errors) all += (all.empty() ? "" : "; ") + error;
        return all;
    }
}

}  // namespace

class AdminApiContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdminApiContractTest);
    CPPUNIT_TEST(wrongFieldIsNamed);
    CPPUNIT_TEST(documentedStatusesAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    // AdminServer sends 413 and 431 itself; malformedRequestIsRejected in admin_api.cpp covers these.
    void documentedStatusesAreAnswered() {
        const auto file = YAML::LoadFile(OPENAPI);
        const auto documented = file["paths"]["/api/rpc"]["post"]["responses"];
        using admin_api_fixture::configuration;
        admin_api_fixture::AdminApiFixture fixture;
        std::map<std::string, std::vector<control_plane::AdminResponse>> seen;
        const auto callAndRecord = [&](const std::string& call, const std::string& body) {
            const auto response = fixture.call(call, body);
            seen[std::to_string(response.result_int())].push_back(response);
        };
        callAndRecord("config.read", ""), callAndRecord("config.other", ""),
            callAndRecord("rollouts.read&of=s", "");
        callAndRecord("config.replace", "{}"), callAndRecord("rollouts.begin", "{}");
        callAndRecord("config.replace", configuration("00000002"));
        callAndRecord("config.replace", configuration("00000002", "/b/"));
        callAndRecord("rollouts.begin", admin_api_fixture::rollout("v2", "12s"));
        callAndRecord("rollouts.begin", admin_api_fixture::rollout("v2", "15s"));
        callAndRecord("config.read", ""), callAndRecord("rollouts.read&of=s", ""),
            callAndRecord("status", "");
        const auto read = fixture.callTarget("/api/rpc?call=config.read", "", http::verb::get);
        seen[std::to_string(read.result_int())].push_back(read);
        fixture.simulatedRegister.contact = false;
        callAndRecord("config.replace", configuration("00000003"));
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
                    CPPUNIT_ASSERT_MESSAGE(status + " has undocumented field " + field,
                                           file["components"]["schemas"][name]["properties"][field]);
            }
        }
        for (const auto& status : documented)
            CPPUNIT_ASSERT_MESSAGE(status.first.as<std::string>(),
                                   seen.contains(status.first.as<std::string>()));
        const auto& conflicts = seen["409"];
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, conflicts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("00000002"),
                             Json::parse(conflicts[0].body()).at("config_version").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                             Json::parse(conflicts[1].body()).at("target_version").get<std::string>());
    }

    void wrongFieldIsNamed() {
        const auto schemas = YAML::LoadFile(OPENAPI)["components"]["schemas"];
        std::string seen;
        const std::vector<std::pair<std::string, std::string>> schemaTypes{
            {"Route", "route_table"}, {"Service", "service_table"}, {"Limits", "limits"}};
        Json configurationBody{{"config_version", "00000001"}, {"resources", Json::array()}};
        for (const auto& [schema, type] : schemaTypes) {
            Json spec = Json::object();
            for (const auto& field : schemas[schema]["properties"])
                spec[field.first.as<std::string>()] = example(field.second, true);
            configurationBody["resources"].push_back(
                {{"resource_type", type}, {"metadata", {{"name", "s"}}}, {"spec", spec}});
        }
        configurationBody["resources"][0]["spec"].erase(
            "traffic_split");  // instead of service_name, not beside it
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), validationResult(configurationBody));
        std::size_t at = 0;
        for (const auto& [schema, type] : schemaTypes) {
            for (const auto& field : schemas[schema]["properties"]) {
                const auto name = field.first.as<std::string>();
                auto invalid = configurationBody;
                auto& spec = invalid["resources"][at]["spec"];
                if (name == "traffic_split") spec.erase("service_name");
                spec[name] = example(field.second, false);
                const auto result = validationResult(invalid);
                CPPUNIT_ASSERT_MESSAGE(schema + "." + name + ": " + result,
                                       result.find(name) != std::string::npos);
                seen += schema + "." + name + ": " + result + "\n";
            }
            for (const auto& required : schemas[schema]["required"]) {
                auto invalid = configurationBody;
                invalid["resources"][at]["spec"].erase(required.as<std::string>());
                const auto result = validationResult(invalid);
                CPPUNIT_ASSERT_MESSAGE(result, result.find(required.as<std::string>()) != std::string::npos);
                seen += schema + " without " + required.as<std::string>() + ": " + result + "\n";
            }
            ++at;
        }
        approve("contract-fields", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdminApiContractTest);
