#include "app/internal/http_answers.h"

#include "config/config.h"
#include "http/target.h"

namespace foxtailrudder {

HttpResponse ProblemResponse(const Error& error) {
  const ErrorAnswer& row = ErrorAnswerOf(error.kind);
  HttpResponse response;
  response.status = row.http_status;
  response.content_type = "application/problem+json";
  response.body = FormatProblem(error);
  if (row.retry_after) {
    response.headers.Add("Retry-After", std::to_string(row.retry_after->count()));
  }
  return response;
}

HttpResponse JobResponse(const JobKey& key, const JobAnswer& answer) {
  if (const auto* error = std::get_if<Error>(&answer)) return ProblemResponse(*error);
  HttpResponse response;
  response.body = FormatJobAnswer(key, answer);
  return response;
}

HttpResponse StatusResponse(const JobKey& key,
                            const std::variant<JobProgress, JobComplete, Error>& state) {
  if (const auto* complete = std::get_if<JobComplete>(&state)) return JobResponse(key, *complete);
  if (const auto* error = std::get_if<Error>(&state)) return ProblemResponse(*error);
  HttpResponse response;
  response.body = FormatStatus(key, std::get<JobProgress>(state));
  return response;
}

HttpResponse AcceptedResponse(const JobKey& key) {
  HttpResponse response;
  response.status = 202;
  const std::string location =
      "/v1/jobs/" + PercentEncode(key.team) + "/" + PercentEncode(key.idempotency_key);
  response.body = "{\"state\":\"accepted\",\"location\":\"" + location + "\"}";
  response.headers.Add("Location", location);
  response.headers.Add("Preference-Applied", "respond-async");
  return response;
}

HttpResponse TextResponse(unsigned status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = std::move(text);
  return response;
}

}  // namespace foxtailrudder
