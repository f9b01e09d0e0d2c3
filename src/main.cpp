// The sidecar as a program: configuration from the environment, SIGTERM and SIGINT stop it, SIGHUP has it
// read again.
#include <csignal>
#include <cstdio>
#include <exception>

#include "net/sidecar.hpp"

int main() {
    using namespace lichenlanding::net;
    try {
        Sidecar sidecar(configFromEnvironment());
        const auto on = [&](int signal, std::function<void()> call) {
            return std::make_unique<Watch>(sidecar.loop(), signal, Watch::signal, std::move(call));
        };
        const auto terminate = on(SIGTERM, [&] { sidecar.stop(); });
        const auto interrupt = on(SIGINT, [&] { sidecar.stop(); });
        const auto hangup = on(SIGHUP, [&] {
            if (const auto config = configAgain()) sidecar.reload(*config);
        });
        sidecar.run();
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "lichenlanding: %s\n", failure.what());
        return 1;
    }
    return 0;
}
