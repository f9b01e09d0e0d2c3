// The control node: the gateway's program on machines with a disk. It keeps the register's copy, follows the
// platform's list, answers the operator and messages the proxies.
#pragma once

#include "config/bootstrap_settings.hpp"

namespace lichenlanding::control_plane {

// Serves until SIGTERM. Throws on settings or addresses that cannot be used.
// `metrics`: GET /metrics is answered on the control address, in the text format that scrapers read.
void run(const config::BootstrapSettings& boot, bool metrics = false);

}  // namespace lichenlanding::control_plane
