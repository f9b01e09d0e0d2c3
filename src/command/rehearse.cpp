// Rehearsals: the gateway's rooms under load, without traffic.
#include <CLI/CLI.hpp>

#include "command/gateway.hpp"

namespace lichenlanding::command {

// None yet: `rehearse scale` comes with docs/CAPACITY.md.
void addRehearse(CLI::App&, std::function<void()>&) {}

}  // namespace lichenlanding::command
