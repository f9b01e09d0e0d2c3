// lichenlanding-gateway: the data plane (`proxy`), the control plane and the operators' tools. Exit status 0:
// success; 1: rejected or failed, with a line on standard error for each error; 2: invalid command line.
#include "command/gateway.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "command/status.hpp"
#include "config/configuration.hpp"
#include "transport/process_signals.hpp"

namespace {

using namespace lichenlanding;
using command::Action;

enum ExitStatus : int { kSuccess = 0, kFailed = 1, kUsageError = 2 };

/// Reads a file, or standard input if the path is "-".
std::string readInput(const std::string& path) {
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

void addConfig(CLI::App& app, Action& action) {
    const auto file = std::make_shared<std::string>();
    auto* configurations = app.add_subcommand("config", "tools for configuration files");
    configurations->require_subcommand(1);
    auto* check =
        configurations->add_subcommand("check", "list all errors of a configuration with their JSON paths");
    check->add_option("file", *file, "the configuration file, - for standard input")->required();
    check->footer("Example:\n  lichenlanding-gateway config check config.json");
    check->callback([=, &action] {
        action = [=] {
            const auto configuration = config::Configuration::parse(readInput(*file));
            std::printf("version %s: %zu routes, %zu services\n",
                        config::formatVersion(configuration.version).c_str(), configuration.routes.size(),
                        configuration.services.size());
        };
    });
}

void addExplain(CLI::App& app, Action& action) {
    struct Arguments {
        std::string file, host, path;
    };
    const auto arguments = std::make_shared<Arguments>();
    auto* explain =
        app.add_subcommand("explain", "show how a request is routed and where each setting comes from");
    explain->add_option("file", arguments->file, "the configuration file, - for standard input")->required();
    explain->add_option("host", arguments->host, "the request's Host header")->required();
    explain->add_option("path", arguments->path, "the request's path")->required();
    explain->footer("Example:\n  lichenlanding-gateway explain config.json shop.example /orders/7");
    explain->callback([=, &action] {
        action = [=] {
            const auto& [file, host, path] = *arguments;
            std::fputs(config::explain(readInput(file), host, path).c_str(), stdout);
        };
    });
}

void addStatus(CLI::App& app, Action& action) {
    struct Arguments {
        std::string address;
        bool json = false;
    };
    const auto arguments = std::make_shared<Arguments>();
    auto* status = app.add_subcommand("status", "show the state of a running control plane process");
    status->add_option("address", arguments->address, "its control address, such as 10.1.0.16:8166")
        ->required();
    status->add_flag("--json", arguments->json, "print the JSON response unchanged");
    status->callback([=, &action] {
        action = [=] { std::fputs(command::status(arguments->address, arguments->json).c_str(), stdout); };
    });
}

}  // namespace

int main(int argc, char** argv) {
    transport::blockSignals();
    CLI::App app("lichenlanding-gateway: an API gateway with staged rollouts.");
    app.footer(
        "proxy and control-plane read the settings file that LICHENLANDING_SETTINGS names.\n"
        "Exit status: 0 success, 1 rejected or failed (lines on standard error), 2 invalid command line.");
    app.require_subcommand(1);
    app.name("lichenlanding-gateway");
    Action action;
    command::addProxy(app, action);
    command::addControlPlane(app, action);
    addConfig(app, action);
    addExplain(app, action);
    command::addStore(app, action);
    command::addScaleTest(app, action);
    addStatus(app, action);
    try {
        auto arguments = command::replaceLegacyNames({argv + 1, argv + argc});
        std::reverse(arguments.begin(), arguments.end());  // CLI11 expects them in reverse order
        app.parse(std::move(arguments));
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kSuccess : kUsageError;
    }
    if (!command::isServer(app)) transport::unblockSignals();
    try {
        action();
    } catch (const config::ValidationError& rejection) {
        for (const auto& line : rejection.errors) std::fprintf(stderr, "%s\n", line.c_str());
        return kFailed;
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "lichenlanding-gateway: %s\n", failure.what());
        return kFailed;
    }
}
