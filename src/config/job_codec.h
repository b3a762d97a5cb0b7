#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/fault.h"
#include "model/error_kind.h"
#include "model/job.h"

namespace foxtailrudder {

/// Longest time from now to a job's deadline. The bundle's max_deadline is usually shorter.
inline constexpr std::chrono::hours kMaxTimeToDeadline{24};

/// Parses the body of POST /v1/jobs and sets the digest. A deadline in the past is accepted, so
/// that a repeated submission still gets its answer. The key may be quoted, as in the header.
std::variant<JobSpec, Faults> ParseJob(std::string_view body, std::string_view idempotency_key,
                                       WallTime now);

/// Formats the answer to a finished job: state "complete" with all results, or a problem document
/// with state "failed". A result that is not UTF-8 is sent as "body_base64" instead of "body".
std::string FormatJobAnswer(const JobKey& key, const JobAnswer& answer);

/// Formats the progress of an unfinished job: state "in_progress" with task counts by state.
std::string FormatStatus(const JobKey& key, const JobProgress& progress);

/// Formats an application/problem+json document (RFC 9457) with extension members kind and not_run.
std::string FormatProblem(const Error& error);
/// Same as above, with the list of faults.
std::string FormatProblem(const Error& error, const Faults& faults);

}  // namespace foxtailrudder
