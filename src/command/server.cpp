// lichenlanding-gateway proxy and control-plane: the server processes.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <optional>
#include <utility>

#include "command/gateway.hpp"
#include "control_plane/control_plane.hpp"
#include "proxy/proxy.hpp"
#include "transport/process_signals.hpp"

namespace lichenlanding::command {
namespace {

using config::BootstrapSettings;
using transport::kMillisecond, transport::kSecond;

constexpr Nanos kSettingsRetryInterval = 100 * kMillisecond;
constexpr Nanos kSettingsTimeout = 10 * kSecond;

/// Reads the settings file, again while it is missing or incomplete: it may be being written. Returns nothing
/// after SIGTERM or SIGINT. Throws ParseError.
std::optional<BootstrapSettings> awaitSettings() {
    const Nanos deadline = transport::now() + kSettingsTimeout;
    for (bool reported = false;;) {
        try {
            return BootstrapSettings::fromEnvironment();
        } catch (const config::IncompleteSettingsError& error) {
            if (transport::now() >= deadline) throw;
            if (!std::exchange(reported, true))
                std::fprintf(stderr, "lichenlanding-gateway: %s; trying again\n", error.what());
        }
        const auto signal = transport::waitForSignal(kSettingsRetryInterval);
        if (signal == SIGTERM || signal == SIGINT) return std::nullopt;
    }
}

/// Runs a server with signals blocked, as main() has left them.
void runServer(const std::function<void(const BootstrapSettings&)>& run) {
    transport::openStandardStreams();
    transport::ignoreWriteSignals();
    if (const auto settings = awaitSettings()) run(*settings);
}

}  // namespace

void addProxy(CLI::App& app, Action& action) {
    auto* proxy =
        app.add_subcommand("proxy", "data plane: routes clients' requests to pods (on edge machines)");
    proxy->callback([&action] { action = [] { runServer(proxy::run); }; });
}

void addControlPlane(CLI::App& app, Action& action) {
    const auto metrics = std::make_shared<bool>(false);
    auto* controlPlane = app.add_subcommand(
        "control-plane",
        "control plane: replicates configurations and rollouts, discovers endpoints (on core machines)");
    controlPlane->add_flag("--metrics", *metrics, "answer GET /metrics on the control address");
    controlPlane->callback([=, &action] {
        action = [=] {
            runServer([&](const BootstrapSettings& settings) { control_plane::run(settings, *metrics); });
        };
    });
}

bool isServer(const CLI::App& app) {
    return app.got_subcommand("proxy") || app.got_subcommand("control-plane");
}

}  // namespace lichenlanding::command
