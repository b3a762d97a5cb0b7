#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "app/exit_status.h"
#include "http/http.h"
#include "model/model.h"

namespace foxtailrudder {

/// A failed request and the exit status for it.
struct CtlFailure {
  ExitStatus status = ExitStatus::kFailed;
  std::string message;
};

/// An answer with a 2xx status.
struct CtlAnswer {
  unsigned status = 200;
  std::string body;
};

using CtlResult = std::variant<CtlAnswer, CtlFailure>;

/// Sends each request to the configured entries in order until one answers. Requests are safe to
/// repeat: changes carry a change id and jobs an idempotency key.
class CtlClient {
 public:
  CtlClient(std::vector<std::string> entries, std::chrono::milliseconds timeout);

  CtlResult Get(const std::string& target);
  CtlResult Send(const std::string& method, const std::string& target, const HttpHeaders& headers,
                 const std::string& body);

  /// Polls until the control version is in force everywhere or the deadline passes. Prints progress
  /// on standard error if `show_progress` is set.
  CtlResult WaitInForce(Version control_version, bool show_progress);

 private:
  std::vector<std::string> m_entries;
  /// Shared by all requests and waits of this run of ctl.
  SteadyTime m_deadline;
  std::unique_ptr<HttpClient> m_client;
};

}  // namespace foxtailrudder
