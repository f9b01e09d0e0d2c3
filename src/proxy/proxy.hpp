/// The proxy process: the gateway's data plane on machines that clients connect to. It connects sockets,
/// clients and hosts to the modules that make the decisions (routing, verdict, subscription), which do no
/// I/O.
#pragma once

#include "config/bootstrap_settings.hpp"

namespace lichenlanding::proxy {

/// Runs until a shutdown by SIGTERM has completed. Throws if settings or addresses are invalid.
void run(const config::BootstrapSettings& settings);

}  // namespace lichenlanding::proxy
