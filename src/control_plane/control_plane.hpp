// The control plane: the gateway's program on machines with a disk. Its processes replicate configurations
// and rollouts, poll the platform's list of endpoints, answer the admin API and send proxies what they route
// by.
#pragma once

#include "config/bootstrap_settings.hpp"

namespace lichenlanding::control_plane {

/// Serves until SIGTERM, on one thread besides the disk's. Throws on settings or addresses that cannot be
/// used. `metrics`: GET /metrics is answered on the control address, in the text format that scrapers read.
void run(const config::BootstrapSettings& boot, bool metrics = false);

}  // namespace lichenlanding::control_plane
