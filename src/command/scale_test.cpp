// lichenlanding-gateway scale-test: the gateway at size, on one machine and without clients' traffic.
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
        if (item.inputs.size() != 1) throw std::runtime_error(item.fullname() + ": one value is needed");
        scenario.set(item.fullname(), item.inputs.front());
    }
    for (const auto& setting : overrides) {
        const auto sign = setting.find('=');
        if (sign == std::basic_string<char, std::char_traits<char>, std::allocator<char>>::npos)
            throw std::runtime_error("--set: no '=' in " + setting);
        scenario.set(setting.substr(0, sign), setting.substr(sign + 1));
    }
    return scenario;
}

}  // namespace

void addScaleTest(CLI::App& app, Action& action) {
    const auto file = std::make_shared<std::string>();
    const auto overrides = std::make_shared<std::vector<std::string>>();
    auto* scaleTest = app.add_subcommand(
        "scale-test",
        "real control planes with simulated proxies and pods, on this machine alone: what each role costs, "
        "and how fast changes arrive");
    // Not marked as required: CLI11 would take the word `hollow` for it.
    scaleTest->add_option("file", *file, "the run's settings (TOML; bench/scale has some)")
        ->option_text("TEXT REQUIRED");
    scaleTest->add_option("--set", *overrides, "NAME=VALUE in place of the file's; may come more than once");
    scaleTest->footer(
        "Example:\n  lichenlanding-gateway scale-test bench/scale/base.toml --set proxies=300 --set seed=2");

    const auto instructions = std::make_shared<std::string>();
    auto* hollow =
        scaleTest->add_subcommand("hollow", "simulated proxies of a scale test; started by it")->group("");
    hollow->add_option("instructions", *instructions, "what to simulate (JSON)")->required();
    hollow->callback(
        [=, &action] { action = [=] { scale_test::runHollow(nlohmann::json::parse(*instructions)); }; });

    scaleTest->callback([=, &action] {
        if (hollow->parsed()) return;
        if (file->empty()) throw CLI::RequiredError("file");
        action = [=] {
            const auto program = std::filesystem::read_symlink("/proc/self/exe").string();
            if (!scale_test::scale(readScenario(*file, *overrides), program))
                throw std::runtime_error("scale-test: incomplete; the last lines say why");
        };
    });
}

}  // namespace lichenlanding::command
