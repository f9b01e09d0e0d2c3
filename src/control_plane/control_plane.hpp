// The control plane: the gateway's program on machines with a disk. Control nodes replicate the configuration
// and the rollouts, poll the platform's list of endpoints, serve the admin API and send proxies their routing
// data.
#pragma once

#include "config/bootstrap_settings.hpp"

namespace lichenlanding::control_plane {

/// Runs a control node until SIGTERM, on one thread besides the disk thread. Throws if settings are invalid
/// or an address cannot be used. `metrics` enables GET /metrics on the control address, in the Prometheus
/// text format.
void run(const config::BootstrapSettings& boot, bool metrics = false);

}  // namespace lichenlanding::control_plane
