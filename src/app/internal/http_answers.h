#pragma once

#include "http/server.h"
#include "model/model.h"

namespace foxtailrudder {

/// application/problem+json with the status, the kind, the not_run flag and Retry-After of the
/// error.
HttpResponse ProblemResponse(const Error& error);

/// Answer to a job: 200 with all results, or a problem.
HttpResponse JobResponse(const JobKey& key, const JobAnswer& answer);

/// Answer to a status query: 200 with progress or results, or a problem.
HttpResponse StatusResponse(const JobKey& key,
                            const std::variant<JobProgress, JobComplete, Error>& state);

/// 202 for a caller that requested an asynchronous answer.
HttpResponse AcceptedResponse(const JobKey& key);

/// Plain text with a given status.
HttpResponse TextResponse(unsigned status, std::string text);

}  // namespace foxtailrudder
