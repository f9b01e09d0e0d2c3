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

/// `proxy`: the data plane's process.
void addProxy(CLI::App& app, Action& action);
/// `control-plane`: the control plane's process.
void addControlPlane(CLI::App& app, Action& action);
/// Whether the selected subcommand is one of these two, which run until a signal stops them.
bool isServer(const CLI::App& app);

/// `store show|check|export|found`: inspects or repairs the store of a stopped control plane process.
void addStore(CLI::App& app, Action& action);
/// `scale-test`, and the hidden `scale-test hollow`: child processes with simulated proxies.
void addScaleTest(CLI::App& app, Action& action);

/// Replaces subcommand names of version 0.3 by the current ones. `arguments` is without the program's name.
std::vector<std::string> replaceLegacyNames(std::vector<std::string> arguments);

}  // namespace lichenlanding::command
