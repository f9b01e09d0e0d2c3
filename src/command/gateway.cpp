// The gateway's command line: its two programs, and tools beside them. Exit status 0: done; 1: refused or
// failed, with a line on standard error for each mistake; 2: the words of the call are wrong.
#include "command/gateway.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "command/status.hpp"
#include "config/configuration.hpp"
#include "control_plane/control_plane.hpp"
#include "proxy/proxy.hpp"

namespace {

using namespace lichenlanding;

std::string contents(const std::string& path) {
    std::stringstream bytes;
    if (path == "-") {
        bytes << std::cin.rdbuf();
        return bytes.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error("cannot read " + path);
    bytes << file.rdbuf();
    return bytes.str();
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("lichenlanding-gateway: the API gateway around lichenlanding's decisions.");
    app.footer(
        "The programs read the settings file that LICHENLANDING_SETTINGS names.\n"
        "Exit status: 0 done, 1 refused or failed (a line tells), 2 wrong words.");
    app.require_subcommand(1);
    std::function<void()> chosen;
    std::string file, host, path, what, address;
    bool json = false, metrics = false;
    app.add_subcommand("foyer", "take clients' requests to pods (on edge machines)")->callback([&] {
        chosen = [] { proxy::run(config::BootstrapSettings::fromEnvironment()); };
    });
    auto* controlNode = app.add_subcommand(
        "prompter", "keep configurations and rollouts, follow the pods (on core machines)");
    controlNode->add_flag("--metrics", metrics, "answer GET /metrics on the control address");
    controlNode->callback(
        [&] { chosen = [&] { control_plane::run(config::BootstrapSettings::fromEnvironment(), metrics); }; });

    auto* configuration = app.add_subcommand("playbill", "configurations");
    configuration->require_subcommand(1);
    auto* check =
        configuration->add_subcommand("check", "all mistakes of a configuration, each with its place");
    check->add_option("file", file, "the configuration, - for standard input")->required();
    check->footer("Example:\n  lichenlanding-gateway playbill check config.json");
    check->callback([&] {
        chosen = [&] {
            const auto read = config::Configuration::parse(contents(file));
            std::printf("version %s: %zu routes, %zu services\n", config::formatVersion(read.version).c_str(),
                        read.routes.size(), read.services.size());
        };
    });
    auto* explain =
        app.add_subcommand("explain", "why a request goes where it goes, with each setting's origin");
    explain->add_option("file", file, "the configuration, - for standard input")->required();
    explain->add_option("host", host, "the request's Host")->required();
    explain->add_option("path", path, "the request's path")->required();
    explain->footer("Example:\n  lichenlanding-gateway explain config.json shop.example /orders/7");
    explain->callback(
        [&] { chosen = [&] { std::fputs(config::explain(contents(file), host, path).c_str(), stdout); }; });
    command::addPromptbook(app, chosen);
    command::addRehearse(app, chosen);
    auto* status = app.add_subcommand("status", "what a running prompter knows");
    status->add_option("address", address, "its control address, such as 10.1.0.16:8166")->required();
    status->add_flag("--json", json, "as it comes");
    status->callback([&] { chosen = [&] { std::fputs(command::status(address, json).c_str(), stdout); }; });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& wrong) {
        return app.exit(wrong) == 0 ? 0 : 2;
    }
    try {
        chosen();
    } catch (const config::ValidationError& refusal) {
        for (const auto& mistake : refusal.errors) std::fprintf(stderr, "%s\n", mistake.c_str());
        return 1;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "lichenlanding-gateway: %s\n", failure.what());
        return 1;
    }
}
