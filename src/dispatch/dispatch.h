#pragma once

/// Direct dispatch: the entry that accepts a job schedules it and places its tasks on workers with
/// free capacity; each worker's sidecar queues, starts and stops them. The code does no I/O and
/// reads no clock: callers pass in messages and times.

#include "dispatch/agreed_documents.h"  // IWYU pragma: export
#include "dispatch/claim_witness.h"     // IWYU pragma: export
#include "dispatch/dispatch_plan.h"     // IWYU pragma: export
#include "dispatch/document_sync.h"     // IWYU pragma: export
#include "dispatch/document_text.h"     // IWYU pragma: export
#include "dispatch/entry_dispatcher.h"  // IWYU pragma: export
#include "dispatch/fencing_token.h"     // IWYU pragma: export
#include "dispatch/heard_entries.h"     // IWYU pragma: export
#include "dispatch/job.h"               // IWYU pragma: export
#include "dispatch/report_schedule.h"   // IWYU pragma: export
#include "dispatch/shared_jobs.h"       // IWYU pragma: export
#include "dispatch/timing.h"            // IWYU pragma: export
#include "dispatch/witness_view.h"      // IWYU pragma: export
#include "dispatch/worker_executor.h"   // IWYU pragma: export
