#pragma once

/// State machines: those interpreted from chart files (task, job, endpoint, zone) and those built
/// on Boost.MSM (process, connection, drain).

#include "lifecycle/built_in_machine.h"      // IWYU pragma: export
#include "lifecycle/chart.h"                 // IWYU pragma: export
#include "lifecycle/chart_machine.h"         // IWYU pragma: export
#include "lifecycle/connection_lifecycle.h"  // IWYU pragma: export
#include "lifecycle/drain_lifecycle.h"       // IWYU pragma: export
#include "lifecycle/endpoint_states.h"       // IWYU pragma: export
#include "lifecycle/process_lifecycle.h"     // IWYU pragma: export
#include "lifecycle/zone_phases.h"           // IWYU pragma: export
