// Rehearsals: the gateway's rooms under load, without traffic.
#include "scale_test/scale_test.hpp"

#include <CLI/CLI.hpp>
#include <filesystem>

#include "command/gateway.hpp"
#include "scale_test/hollow.hpp"

namespace lichenlanding::command {
namespace {

scale_test::ScenarioConfig readPlan(const std::string& file, const std::vector<std::string>& others) {
    scale_test::ScenarioConfig plan;
    for (const auto& item : CLI::ConfigTOML().from_file(file)) {
        if (item.inputs.size() != 1) throw std::runtime_error(item.fullname() + ": one value is needed");
        plan.set(item.fullname(), item.inputs.front());
    }
    for (const auto& other : others) {
        const auto sign = other.find('=');
        if (sign == other.npos) throw std::runtime_error("--set: no '=' in " + other);
        plan.set(other.substr(0, sign), other.substr(sign + 1));
    }
    return plan;
}

}  // namespace

void addRehearse(CLI::App& app, std::function<void()>& chosen) {
    auto* rehearse = app.add_subcommand("rehearse", "runs at size, on this machine alone");
    rehearse->require_subcommand(1);
    const auto file = std::make_shared<std::string>();
    auto* scale = rehearse->add_subcommand(
        "scale", "real prompters before hollow foyers and pods: what each role costs, and how fast news is");
    scale->add_option("file", *file, "the run's settings (TOML; bench/scale has some)")->required();
    const auto others = std::make_shared<std::vector<std::string>>();
    scale->add_option("--set", *others, "NAME=VALUE in place of the file's; may come more than once");
    scale->footer(
        "Example:\n  lichenlanding-gateway rehearse scale bench/scale/base.toml --set foyers=300 --set "
        "seed=2");
    scale->callback([=, &chosen] {
        chosen = [=] {
            const auto program = std::filesystem::read_symlink("/proc/self/exe").string();
            if (!scale_test::scale(readPlan(*file, *others), program))
                throw std::runtime_error("rehearse scale: not whole; the last lines say why");
        };
    });
    auto* hollow = rehearse->add_subcommand("hollow", "a part of a scale run; started by it")->group("");
    hollow->add_option("told", *file, "what it is told")->required();
    hollow->callback([=, &chosen] { chosen = [=] { scale_test::runHollow(nlohmann::json::parse(*file)); }; });
}

}  // namespace lichenlanding::command
