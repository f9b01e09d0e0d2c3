// The prompter: the gateway's program on machines with a disk. It keeps the register's copy, follows the
// platform's list, answers the operator and cues the foyers.
#pragma once

#include "config/bootstrap_settings.hpp"

namespace lichenlanding::prompter {

// Serves until SIGTERM. Throws on settings or addresses that cannot be used.
// `metrics`: GET /metrics is answered on the control address, in the text format that scrapers read.
void run(const playbill::Boot& boot, bool metrics = false);

}  // namespace lichenlanding::prompter
