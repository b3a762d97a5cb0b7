#include "model/counters.h"

namespace foxtailrudder {

std::string_view CounterName(CounterId id) {
  static constexpr std::array<std::string_view, static_cast<std::size_t>(CounterId::kCount)>
      kNames = {"jobs_submitted",   "jobs_attached",       "jobs_complete",       "jobs_failed",
                "tasks_dispatched", "tasks_started",       "tasks_finished",      "messages_sent",
                "messages_stale",   "messages_duplicate",  "transitions_ignored", "permits_granted",
                "permits_refused",  "handovers_sent",      "handovers_received",  "takeovers",
                "shards_in_doubt",  "confirmations_asked", "confirmations_given", "changes_made",
                "ejections"};
  return kNames[static_cast<std::size_t>(id)];
}

}  // namespace foxtailrudder
