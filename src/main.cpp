// The sidecar as a program: configuration from the environment, SIGTERM and SIGINT stop it.
#include <csignal>
#include <cstdio>
#include <exception>

#include "net/sidecar.hpp"

int main() {
    try {
        lichenlanding::net::Sidecar sidecar(lichenlanding::net::configFromEnvironment());
        const auto stop = [&] { sidecar.stop(); };
        lichenlanding::net::Watch term(sidecar.loop(), SIGTERM, lichenlanding::net::Watch::signal, stop);
        lichenlanding::net::Watch interrupt(sidecar.loop(), SIGINT, lichenlanding::net::Watch::signal, stop);
        sidecar.run();
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "lichenlanding: %s\n", failure.what());
        return 1;
    }
    return 0;
}
