#pragma once

/// Headers of the roles of the binary. Each role runs until a stop is requested and returns the
/// exit status.

#include "app/ctl.h"              // IWYU pragma: export
#include "app/dispatch_roles.h"   // IWYU pragma: export
#include "app/entry_process.h"    // IWYU pragma: export
#include "app/explain.h"          // IWYU pragma: export
#include "app/sidecar_process.h"  // IWYU pragma: export
