#include "command/command.hpp"

#include <cstdio>

namespace lichenlanding::command {

int serve(const std::string& metadata);  // serve.cpp

int run(int argc, char** argv) {
    CLI::App app(
        "lichenlanding: routes hits while a fleet's software is replaced in stages, and votes on it.");
    app.set_version_flag("--version", std::string("lichenlanding ") + kVersion);
    app.footer(
        "Without a subcommand it serves, with the configuration named by RELAY_CONFIG.\n"
        "Exit status: 0 done, 1 refused or failed (one line tells), 2 wrong words.");
    Chosen chosen;
    addServe(app, chosen);
    auto* metadata =
        app.add_subcommand("metadata", "signed release metadata (TUF): client, repository, keys");
    metadata->require_subcommand(1);
    addMetadataClient(*metadata, chosen);
    addMetadataRepository(*metadata, chosen);
    addMetadataManifest(*metadata, chosen);
    addMetadataInspect(*metadata, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& wrong) {
        return app.exit(wrong) == 0 ? success : usage;
    }
    try {
        return chosen ? chosen() : serve({});
    } catch (const CLI::ParseError& wrong) {  // an option that this call needs beside those it has
        return app.exit(wrong), usage;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "lichenlanding: %s\n", failure.what());
        return refused;
    }
}

}  // namespace lichenlanding::command
