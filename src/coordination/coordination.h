#pragma once

/// Job routing (in the entry), job coordination and task execution (in the sidecar).

#include "coordination/cluster_view.h"  // IWYU pragma: export
#include "coordination/coordinator.h"   // IWYU pragma: export
#include "coordination/executor.h"      // IWYU pragma: export
#include "coordination/job_router.h"    // IWYU pragma: export
