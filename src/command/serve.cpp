// lichenlanding serve: the sidecar in the foreground. SIGTERM and SIGINT stop it, SIGHUP has its files read
// again.
#include <csignal>

#include "command/command.hpp"
#include "sidecar/sidecar.hpp"

namespace lichenlanding::command {

int serve(const std::string& metadata) {
    using namespace sidecar;
    const auto trust = metadata.empty() ? std::nullopt : std::optional(readTrustConfig(metadata));
    Sidecar sidecar(configFromEnvironment(), trust);
    const auto on = [&](int signal, std::function<void()> call) {
        return std::make_unique<EventWatch>(sidecar.loop(), signal, EventWatch::kSignal, std::move(call));
    };
    const auto terminate = on(SIGTERM, [&] { sidecar.stop(); });
    const auto interrupt = on(SIGINT, [&] { sidecar.stop(); });
    const auto hangup = on(SIGHUP, [&] {
        if (const auto config = reloadConfig()) sidecar.reload(*config);
        if (const auto again = metadata.empty() ? std::nullopt : reloadTrustConfig(metadata))
            sidecar.reload(*again);
    });
    sidecar.run();
    return success;
}

void addServe(CLI::App& app, Chosen& chosen) {
    auto* command = app.add_subcommand("serve", "serve hits (also without a subcommand)");
    auto file = std::make_shared<std::string>();
    command->add_option("--metadata", *file, "require signed release metadata, as this file says");
    command->footer(
        "Example:\n  RELAY_CONFIG=config.json lichenlanding serve --metadata deploy/metadata.json");
    command->callback([file, &chosen] { chosen = [file] { return serve(*file); }; });
}

}  // namespace lichenlanding::command
