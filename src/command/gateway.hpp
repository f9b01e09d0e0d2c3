// Subcommands of the gateway that have a file of their own.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace lichenlanding::command {

/// What the command line has asked for; run once the whole line has been read.
using Action = std::function<void()>;

/// `store show|check|export|found`: the disk of a stopped control plane process.
void addStore(CLI::App& app, Action& action);
/// `scale-test`, and its hidden part `scale-test hollow`, which the run starts as child processes.
void addScaleTest(CLI::App& app, Action& action);

/// The arguments after the program's name, with subcommand names of version 0.3 replaced by the present ones.
std::vector<std::string> withPresentNames(std::vector<std::string> arguments);

}  // namespace lichenlanding::command
