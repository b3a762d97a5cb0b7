#include "app/internal/endpoint_client.h"

#include <utility>

#include "app/internal/clock.h"
#include "config/config.h"

namespace foxtailrudder {
namespace {

// Status of a request that arrived after its start deadline; the endpoint has not started the task.
constexpr unsigned kStatusNotStarted = 425;

std::string TaskKey(const TaskRef& task) {
  return task.job.team + "/" + task.job.idempotency_key + "/" + std::to_string(task.index);
}

EndpointTaskReport ReportOf(const TaskRef& task, const std::string& task_id,
                            HttpClientResult result) {
  if (auto* response = std::get_if<HttpClientResponse>(&result)) {
    if (response->status == kStatusNotStarted) {
      return EndpointTaskNotStarted{task, ErrorKind::kStartDeadlinePassed};
    }
    return EndpointTaskDone{task, TaskResult{task_id, static_cast<std::uint16_t>(response->status),
                                             std::move(response->body)}};
  }
  const auto& error = std::get<HttpClientError>(result);
  if (!error.sent) {
    const bool permit_expired = error.kind == HttpClientErrorKind::kNotAllowed;
    return EndpointTaskNotStarted{
        task, permit_expired ? ErrorKind::kNoPermit : ErrorKind::kEndpointUnavailable};
  }
  const bool aborted = error.kind == HttpClientErrorKind::kAborted;
  return EndpointTaskDone{
      task, Error{aborted ? ErrorKind::kCancelled : ErrorKind::kOutcomeUnknown, error.detail}};
}

}  // namespace

std::unique_ptr<EndpointClient> EndpointClient::Create(
    EndpointTimeouts timeouts, std::function<void(EndpointTaskReport)> on_report) {
  return std::unique_ptr<EndpointClient>(new EndpointClient(timeouts, std::move(on_report)));
}

EndpointClient::EndpointClient(EndpointTimeouts timeouts,
                               std::function<void(EndpointTaskReport)> on_report)
    : m_timeouts(timeouts), m_on_report(std::move(on_report)) {
  HttpClientConfig config;
  config.connect_timeout = timeouts.connect;
  m_client = HttpClient::Create(config);
}

EndpointClient::~EndpointClient() { m_client->Stop(); }

void EndpointClient::Start(const StartTask& start) {
  const Now now = ReadClocks();
  HttpClientRequest request;
  request.address = m_address;
  request.method = "POST";
  request.target = "/v1/tasks";
  request.headers.Add("Idempotency-Key", TaskKey(start.task));
  request.headers.Add("Task-Id", start.task_id);
  request.headers.Add("Service", start.service);
  request.headers.Add("Start-Deadline", FormatRfc3339(start.start_deadline));
  request.headers.Add("Content-Type", "application/json");
  request.body = start.payload;
  request.deadline = now.steady + m_timeouts.response;
  // Called immediately before the write, because this process may have been suspended since the
  // executor's check.
  request.may_write = [not_after = start.not_after, start_deadline = start.start_deadline] {
    const Now current = ReadClocks();
    return current.steady < not_after && current.wall < start_deadline;
  };
  m_calls[start.task] = m_client->Request(
      std::move(request),
      [this, task = start.task, task_id = start.task_id](HttpClientResult result) {
        m_on_report(ReportOf(task, task_id, std::move(result)));
      });
}

void EndpointClient::Stop(const TaskRef& task) {
  const auto found = m_calls.find(task);
  if (found != m_calls.end()) m_client->Abort(found->second);
}

}  // namespace foxtailrudder
