#pragma once

/// Cluster membership: the control and member rows, shard placement, permits, row freshness and the
/// propagation of row versions.

#include "membership/entry_membership.h"    // IWYU pragma: export
#include "membership/member_table.h"        // IWYU pragma: export
#include "membership/permit.h"              // IWYU pragma: export
#include "membership/placement.h"           // IWYU pragma: export
#include "membership/sidecar_membership.h"  // IWYU pragma: export
#include "membership/timing.h"              // IWYU pragma: export
