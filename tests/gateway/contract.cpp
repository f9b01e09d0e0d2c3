// The operators' calls as docs/api/gateway.openapi.yaml has them, against the program: for each field that
// the file names, a configuration in which only that field is wrong is refused, and the refusal names it.
#include <yaml-cpp/yaml.h>

#include <nlohmann/json.hpp>

#include "playbill/playbill.hpp"
#include "transcript.hpp"

using namespace lichenlanding;
using Json = nlohmann::json;

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
        playbill::Playbill::read(configuration.dump());
        return "taken";
    } catch (const playbill::Refusal& refusal) {
        std::string all;
        for (const auto& mistake : refusal.mistakes) all += (all.empty() ? "" : "; ") + mistake;
        return all;
    }
}

}  // namespace

class ContractTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ContractTest);
    CPPUNIT_TEST(fields);
    CPPUNIT_TEST_SUITE_END();

    void fields() {
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
                CPPUNIT_ASSERT_MESSAGE(schema + "." + name + ": " + told, told.find(name) != told.npos);
                seen += schema + "." + name + ": " + told + "\n";
            }
            for (const auto& required : schemas[schema]["required"]) {
                auto wrong = whole;
                wrong["resources"][at]["spec"].erase(required.as<std::string>());
                const auto told = tell(wrong);
                CPPUNIT_ASSERT_MESSAGE(told, told.find(required.as<std::string>()) != told.npos);
                seen += schema + " without " + required.as<std::string>() + ": " + told + "\n";
            }
            ++at;
        }
        approve("contract-fields", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ContractTest);
