// lichenlanding serve: runs the sidecar in the foreground. SIGTERM and SIGINT stop it, SIGHUP reloads its
// configuration files.
#include <csignal>

#include "command/command.hpp"
#include "sidecar/sidecar.hpp"

namespace lichenlanding::command {

int serve(const std::string& metadata) {
    using namespace sidecar;
    const auto trust = metadata.empty() ? std::nullopt : std::optional(readTrustConfig(metadata));
    Sidecar sidecar(configFromEnvironment(), trust);
    const auto onSignal = [&](int signal, std::function<void()> callback) {
        return std::make_unique<EventWatch>(sidecar.loop(), signal, EventWatch::kSignal, std::move(callback));
    };
    const auto terminate = onSignal(SIGTERM, [&] { sidecar.stop(); });
    const auto interrupt = onSignal(SIGINT, [&] { sidecar.stop(); });
    const auto hangup = onSignal(SIGHUP, [&] {
        if (const auto config = reloadConfig()) sidecar.reload(*config);
        if (const auto reloadedTrust = metadata.empty() ? std::nullopt : reloadTrustConfig(metadata))
            sidecar.reload(*reloadedTrust);
    });
    sidecar.run();
    return success;
}

void addServe(CLI::App& app, SelectedCommand& selected) {
    auto* command =
        app.add_subcommand("serve", "run the sidecar and serve requests (the default without a subcommand)");
    auto trustFile = std::make_shared<std::string>();
    command->add_option("--metadata", *trustFile, "require signed release metadata, configured by this file");
    command->footer(
        "Example:\n  RELAY_CONFIG=config.json lichenlanding serve --metadata deploy/metadata.json");
    command->callback([trustFile, &selected] { selected = [trustFile] { return serve(*trustFile); }; });
}

}  // namespace lichenlanding::command
