#pragma once

/// Load policies: decisions that neither read a clock nor do I/O.

#include "policy/admission.h"           // IWYU pragma: export
#include "policy/ejection.h"            // IWYU pragma: export
#include "policy/executor_choice.h"     // IWYU pragma: export
#include "policy/quota.h"               // IWYU pragma: export
#include "policy/random.h"              // IWYU pragma: export
#include "policy/retry_budget.h"        // IWYU pragma: export
#include "policy/run_time_estimator.h"  // IWYU pragma: export
#include "policy/urgency_queue.h"       // IWYU pragma: export
#include "policy/zone_ramp.h"           // IWYU pragma: export
