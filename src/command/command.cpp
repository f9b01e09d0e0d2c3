#include "command/command.hpp"

#include <cstdio>

namespace lichenlanding::command {

int serve(const std::string& metadata);  // serve.cpp

int run(int argc, char** argv) {
    CLI::App app(
        "lichenlanding: sidecar that routes requests during staged rollouts and votes on the rollouts.");
    app.set_version_flag("--version", std::string("lichenlanding ") + kVersion);
    app.footer(
        "Without a subcommand it runs `serve` with the configuration file that RELAY_CONFIG names.\n"
        "Exit status: 0 success, 1 refused or failed (one line on standard error), 2 invalid command line.");
    SelectedCommand selected;
    addServe(app, selected);
    auto* metadata =
        app.add_subcommand("metadata", "signed release metadata (TUF): client, repository, keys");
    metadata->require_subcommand(1);
    addMetadataClient(*metadata, selected);
    addMetadataRepository(*metadata, selected);
    addMetadataManifest(*metadata, selected);
    addMetadataInspect(*metadata, selected);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? success : usageError;
    }
    try {
        return selected ? selected() : serve({});
    } catch (const CLI::ParseError& error) {  // an option that the subcommand requires is missing
        return app.exit(error), usageError;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "lichenlanding: %s\n", error.what());
        return refused;
    }
}

}  // namespace lichenlanding::command
