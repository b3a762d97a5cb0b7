#pragma once

#include "app/exit_status.h"
#include "config/config.h"

namespace foxtailrudder {

/// Runs an entry until SIGTERM or SIGINT, then drains it.
ExitStatus RunEntry(const EntrySettings& settings);

}  // namespace foxtailrudder
