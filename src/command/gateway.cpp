// The gateway's command line: its two programs, and tools beside them. Exit status 0: done; 1: refused or
// failed, with one line on standard error; 2: the words of the call are wrong.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>

#include "foyer/foyer.hpp"
#include "prompter/prompter.hpp"

int main(int argc, char** argv) {
    using namespace lichenlanding;
    CLI::App app("lichenlanding-gateway: the API gateway around lichenlanding's decisions.");
    app.footer("The programs read the settings file that LICHENLANDING_SETTINGS names.");
    app.require_subcommand(1);
    std::function<void()> chosen;
    app.add_subcommand("foyer", "take clients' requests to pods (on edge machines)")->callback([&] {
        chosen = [] { foyer::run(playbill::Boot::fromEnvironment()); };
    });
    app.add_subcommand("prompter", "keep configurations and rollouts, follow the pods (on core machines)")
        ->callback([&] { chosen = [] { prompter::run(playbill::Boot::fromEnvironment()); }; });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& wrong) {
        return app.exit(wrong) == 0 ? 0 : 2;
    }
    try {
        chosen();
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "lichenlanding-gateway: %s\n", failure.what());
        return 1;
    }
}
