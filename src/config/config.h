#pragma once

/// Parsers and writers of JSON settings, bundles, jobs and rows. Parsers report each fault with
/// its path.

#include "config/bundle_codec.h"       // IWYU pragma: export
#include "config/dispatch_settings.h"  // IWYU pragma: export
#include "config/fault.h"              // IWYU pragma: export
#include "config/job_codec.h"          // IWYU pragma: export
#include "config/rfc3339.h"            // IWYU pragma: export
#include "config/row_codec.h"          // IWYU pragma: export
#include "config/settings.h"           // IWYU pragma: export
