// Subcommands of the gateway that have a file of their own. Each sets `chosen` to what is to be done.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace lichenlanding::command {

void addPromptbook(CLI::App& app, std::function<void()>& chosen);
void addRehearse(CLI::App& app, std::function<void()>& chosen);

}  // namespace lichenlanding::command
