#pragma once

/// Logging and metrics of a process.

#include "observe/event_log.h"          // IWYU pragma: export
#include "observe/latency_histogram.h"  // IWYU pragma: export
#include "observe/logging.h"            // IWYU pragma: export
#include "observe/prometheus.h"         // IWYU pragma: export
