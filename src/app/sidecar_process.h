#pragma once

#include "app/exit_status.h"
#include "config/config.h"

namespace foxtailrudder {

/// Runs a sidecar until SIGTERM or SIGINT, then drains it.
ExitStatus RunSidecar(const SidecarSettings& settings);

}  // namespace foxtailrudder
