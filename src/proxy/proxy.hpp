/// The proxy: the gateway's program on machines that clients reach. It puts links, clients and pods around
/// the pure rooms; decisions are theirs.
#pragma once

#include "config/bootstrap_settings.hpp"

namespace lichenlanding::proxy {

/// Serves until SIGTERM has been carried out. Throws on settings or addresses that cannot be used.
void run(const config::BootstrapSettings& boot);

}  // namespace lichenlanding::proxy
