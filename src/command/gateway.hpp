// Subcommands of the gateway that have their own source files.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace lichenlanding::command {

/// The selected subcommand. Runs after the whole command line has been parsed.
using Action = std::function<void()>;

/// `store show|check|export|found`: inspects or repairs the store of a stopped control plane process.
void addStore(CLI::App& app, Action& action);
/// `scale-test`, and the hidden `scale-test hollow`: child processes with simulated proxies.
void addScaleTest(CLI::App& app, Action& action);

/// Replaces subcommand names of version 0.3 by the current ones. `arguments` is without the program's name.
std::vector<std::string> replaceLegacyNames(std::vector<std::string> arguments);

}  // namespace lichenlanding::command
