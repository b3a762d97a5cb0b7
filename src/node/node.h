#pragma once

/// Decision logic of the entry and sidecar processes, composed of membership and coordination.

#include "node/entry_node.h"    // IWYU pragma: export
#include "node/sidecar_node.h"  // IWYU pragma: export
#include "node/zone_tracker.h"  // IWYU pragma: export
