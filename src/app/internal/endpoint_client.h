#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

#include "http/http.h"
#include "membership/membership.h"
#include "model/model.h"

namespace foxtailrudder {

/// The endpoint ran the task or may have run it.
struct EndpointTaskDone {
  TaskRef task;
  TaskOutcome outcome;
};

/// The task was not started and will not be.
struct EndpointTaskNotStarted {
  TaskRef task;
  ErrorKind reason = ErrorKind::kEndpointUnavailable;
};

using EndpointTaskReport = std::variant<EndpointTaskDone, EndpointTaskNotStarted>;

struct EndpointTimeouts {
  std::chrono::milliseconds connect{500};
  /// Time limit for the answer to a started task; after it the outcome is unknown.
  std::chrono::milliseconds response{60'000};
};

/// Sends tasks to the endpoint as HTTP requests (docs/api.md) and reports the outcome of each.
class EndpointClient {
 public:
  /// `on_report` is called on the client's I/O thread exactly once for each task.
  static std::unique_ptr<EndpointClient> Create(EndpointTimeouts timeouts,
                                                std::function<void(EndpointTaskReport)> on_report);
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;
  ~EndpointClient();

  void SetEndpoint(const EndpointInfo& endpoint) { m_address = endpoint.address; }
  void Start(const StartTask& start);
  /// Aborts the request of a running task; its report follows.
  void Stop(const TaskRef& task);
  /// Forgets a task whose report has been handled.
  void Forget(const TaskRef& task) { m_calls.erase(task); }

 private:
  EndpointClient(EndpointTimeouts timeouts, std::function<void(EndpointTaskReport)> on_report);

  EndpointTimeouts m_timeouts;
  std::function<void(EndpointTaskReport)> m_on_report;
  std::string m_address;
  std::unordered_map<TaskRef, HttpCallId> m_calls;
  std::unique_ptr<HttpClient> m_client;
};

}  // namespace foxtailrudder
