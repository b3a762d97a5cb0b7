#pragma once

#include "http/http.h"
#include "model/decision_log.h"
#include "model/time.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Logs the traffic of a process once a period, by type of message, so that the log shows what
/// shared a link with a late answer.
class TrafficLog {
 public:
  explicit TrafficLog(DecisionLog& log) : m_log(log) {}

  /// `server` is the one of the callers or the endpoint.
  void Tick(const Network& peers, const HttpServer& server, Now now);

 private:
  DecisionLog& m_log;
  SteadyTime m_next_at;
  NetworkCounters m_network;
  HttpServerCounters m_http;
};

}  // namespace foxtailrudder
