#pragma once

/// The data types shared by all modules: ids, times, errors, rows, jobs, messages and outputs.

#include "model/bundle.h"      // IWYU pragma: export
#include "model/changes.h"     // IWYU pragma: export
#include "model/counters.h"    // IWYU pragma: export
#include "model/error_kind.h"  // IWYU pragma: export
#include "model/ids.h"         // IWYU pragma: export
#include "model/job.h"         // IWYU pragma: export
#include "model/messages.h"    // IWYU pragma: export
#include "model/outputs.h"     // IWYU pragma: export
#include "model/rows.h"        // IWYU pragma: export
#include "model/time.h"        // IWYU pragma: export
