#include <algorithm>
#include <string>
#include <vector>

#include "command/gateway.hpp"

namespace lichenlanding::command {
namespace {

struct RenamedSubcommand {
    std::vector<std::string> legacyName, currentName;
};

/// Subcommand names of version 0.3. They are accepted for one version and appear in no help text; remove the
/// table in the next version. The first matching row applies, so longer names come first.
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

std::vector<std::string> replaceLegacyNames(std::vector<std::string> arguments) {
    for (const auto& [legacyName, currentName] : kRenamedSubcommands) {
        if (arguments.size() < legacyName.size() ||
            !std::equal(legacyName.begin(), legacyName.end(), arguments.begin()))
            continue;
        arguments.erase(arguments.begin(),
                        arguments.begin() + static_cast<std::ptrdiff_t>(legacyName.size()));
        arguments.insert(arguments.begin(), currentName.begin(), currentName.end());
        break;
    }
    return arguments;
}

}  // namespace lichenlanding::command
