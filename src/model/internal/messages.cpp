#include "model/messages.h"

#include <array>

namespace foxtailrudder {

std::string_view MessageNameAt(std::size_t index) {
  static constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
      "heartbeat",          "heartbeat_reply", "peer_status",      "confirm_request",
      "confirm_reply",      "promise_request", "promise_reply",    "forward_job",
      "job_reply",          "cancel_job",      "query_job",        "job_status",
      "dispatch_task",      "task_refused",    "task_finished",    "cancel_task",
      "task_query",         "task_state",      "evidence_request", "evidence_reply",
      "handover_request",   "handover",        "handover_ack",     "wrong_incarnation",
      "place_tasks",        "withdraw_tasks",  "task_reports",     "worker_report",
      "entry_report",       "agreed_state",    "state_request",    "endpoint_crash",
      "claim_jobs",         "claim_answers",   "release_claim",    "attach_to_job",
      "attached_job_result"};
  static_assert(!kNames.back().empty());
  return kNames[index];
}

std::string_view MessageName(const Message& message) { return MessageNameAt(message.index()); }

}  // namespace foxtailrudder
