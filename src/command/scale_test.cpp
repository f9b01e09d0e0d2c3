// lichenlanding-gateway scale-test: runs a large gateway on one machine, without client traffic.
#include "scale_test/scale_test.hpp"

#include <CLI/CLI.hpp>
#include <filesystem>

#include "command/gateway.hpp"
#include "scale_test/hollow.hpp"

namespace lichenlanding::command {
namespace {

scale_test::ScenarioConfig readScenario(const std::string& file, const std::vector<std::string>& overrides) {
    scale_test::ScenarioConfig scenario;
    for (const auto& item : CLI::ConfigTOML().from_file(file)) {
        if (item.inputs.size() != 1)
            throw std::runtime_error(item.fullname() + ": expected exactly one value");
        scenario.set(item.fullname(), item.inputs.front());
    }
    for (const auto& assignment : overrides) {
        const auto separator = assignment.find('=');
        if (separator == std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos)
            throw std::runtime_error("--set: expected NAME=VALUE, found " + assignment);
        scenario.set(assignment.substr(0, separator), assignment.substr(separator + 1));
    }
    return scenario;
}

}  // namespace

void addScaleTest(CLI::App& app, Action& action) {
    const auto file = std::make_shared<std::string>();
    const auto overrides = std::make_shared<std::vector<std::string>>();
    auto* scaleTest = app.add_subcommand("scale-test",
                                         "run real control nodes with simulated proxies and pods on this "
                                         "machine; measure what each role costs and how "
                                         "fast changes propagate");
    // Not marked as required: CLI11 would parse the subcommand `hollow` as the file.
    scaleTest->add_option("file", *file, "the run's settings (TOML; examples are in bench/scale)")
        ->option_text("TEXT REQUIRED");
    scaleTest->add_option("--set", *overrides,
                          "override a setting of the file with NAME=VALUE; may be repeated");
    scaleTest->footer(
        "Example:\n  lichenlanding-gateway scale-test bench/scale/base.toml --set proxies=300 --set seed=2");

    const auto instructions = std::make_shared<std::string>();
    auto* hollow =
        scaleTest->add_subcommand("hollow", "simulated proxies; started by scale-test itself")->group("");
    hollow->add_option("instructions", *instructions, "what to simulate (JSON)")->required();
    hollow->callback([=, &action] {
        action = [=] { scale_test::runSimulatedProxies(nlohmann::json::parse(*instructions)); };
    });

    scaleTest->callback([=, &action] {
        if (hollow->parsed()) return;
        if (file->empty()) throw CLI::RequiredError("file");
        action = [=] {
            const auto program = std::filesystem::read_symlink("/proc/self/exe").string();
            if (!scale_test::runScaleTest(readScenario(*file, *overrides), program))
                throw std::runtime_error(
                    "scale-test: incomplete; the last lines of the output give the reason");
        };
    });
}

}  // namespace lichenlanding::command
