#include <algorithm>
#include <string>
#include <vector>

#include "command/gateway.hpp"

namespace lichenlanding::command {
namespace {

struct RenamedSubcommand {
    std::vector<std::string> before, now;
};

/// Subcommands as version 0.3 named them. They are accepted for one version and are in no help text; remove
/// the table with the next one. The first row that matches counts, so longer names come first.
const std::vector<RenamedSubcommand> kRenamedSubcommands{
    {{"foyer"}, {"proxy"}},
    {{"prompter"}, {"control-plane"}},
    {{"playbill"}, {"config"}},
    {{"promptbook"}, {"store"}},
    {{"rehearse", "hollow"}, {"scale-test", "hollow"}},
    {{"rehearse", "scale"}, {"scale-test"}},
    {{"rehearse"}, {"scale-test"}},
};

}  // namespace

std::vector<std::string> withPresentNames(std::vector<std::string> arguments) {
    for (const auto& [before, now] : kRenamedSubcommands) {
        if (arguments.size() < before.size() || !std::equal(before.begin(), before.end(), arguments.begin()))
            continue;
        arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(before.size()));
        arguments.insert(arguments.begin(), now.begin(), now.end());
        break;
    }
    return arguments;
}

}  // namespace lichenlanding::command
